/// \file
/// The subcommand that checks a configuration of mesh nodes before it is sent.
#pragma once

#include "Commands.h"
#include "Printer.h"

#include <string>

namespace godwitlift {

struct ReviewOptions
{
    std::string file;         ///< `-` is standard input.
    std::string inForceFile;  ///< Empty: nothing to compare with.
    std::string settingsFile; ///< Empty: no settings to check against.
};

/// Decodes the file as nodes do, prints the findings and what differs; contacts no node.
ExitCode review(const ReviewOptions &options, const Printer &printer);

} // namespace godwitlift
