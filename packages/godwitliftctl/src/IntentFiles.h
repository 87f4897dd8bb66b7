/// \file
/// Intents kept in files.
#pragma once

#include "godwitlift/configuration/ConfigurationDelta.h"

#include <string>

namespace godwitlift {

/// Reads one file as an intent. Fails with InputError whose paths start with the file's name.
Result<ConfigurationDelta> readIntentFile(const std::string &path);

/// Reads every `.json` file below \p directory as one whole configuration. An object declared in
/// two files is a fault. The result also passed the checks between objects.
Result<Configuration> readIntentDirectory(const std::string &directory);

} // namespace godwitlift
