/// \file
/// Reads intents from JSON files.
#pragma once

#include "godwitlift/configuration/ConfigurationDelta.h"

#include <string>

namespace godwitlift {

/// Reads one file as an intent. Fails with an InputError whose paths begin with the file's path.
Result<ConfigurationDelta> readIntentFile(const std::string &path);

/// Merges every `.json` file below \p directory into one configuration and validates the
/// references between objects. Fails if two files declare the same object.
Result<Configuration> readIntentDirectory(const std::string &directory);

} // namespace godwitlift
