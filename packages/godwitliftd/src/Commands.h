/// \file
/// What the node's command line runs.
#pragma once

#include <string>

namespace godwitlift {

inline constexpr int ExitOk = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitBadInput = 2;
inline constexpr int ExitUnclean = 3;

/// Text of a file; false with a line on standard error if it cannot be read.
bool readTextFile(const std::string &path, std::string &text);

/// Runs a mesh node on the users' platform, or only checks its settings.
int runMeshNode(const std::string &settingsFile, bool checkOnly);

/// Runs a stand-alone node with its own interface, or only checks its settings.
int runStandAloneNode(const std::string &settingsFile, bool checkOnly);

} // namespace godwitlift
