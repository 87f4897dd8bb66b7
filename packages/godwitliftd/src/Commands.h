/// \file
/// Commands and exit codes of the node's executable.
#pragma once

#include <string>

namespace godwitlift {

inline constexpr int ExitOk = 0;
inline constexpr int ExitStartFailed = 1;
inline constexpr int ExitInvalidInput = 2;
inline constexpr int ExitRequestsInProgress = 3;

/// Reads a file into \p text. Returns false and prints an error if it cannot be read.
bool readTextFile(const std::string &path, std::string &text);

/// Runs a mesh node on the deployment platform, or only validates its settings. If
/// \p settingsFile is empty, the platform supplies the path.
int runMeshNode(const std::string &settingsFile, bool checkOnly);

/// Runs a stand-alone node, which uses the project's own protocols, or only validates its settings.
int runStandAloneNode(const std::string &settingsFile, bool checkOnly);

} // namespace godwitlift
