/// \file
/// JSON form of configurations, deltas and intents, with every fault named by its path.
#pragma once

#include "godwitlift/configuration/ConfigurationDelta.h"

#include <string>
#include <string_view>

namespace godwitlift {

/// Canonical JSON text of a configuration; equal configurations give equal text.
std::string encode(const Configuration &configuration);
/// Canonical JSON text of a delta.
std::string encode(const ConfigurationDelta &delta);
/// Digest of the canonical text.
Digest digestOf(const Configuration &configuration);

/// Reads a configuration, such as a directory of intents merged into one document.
/// Checks structure, types, units and ranges; invariants between objects are left to
/// Configuration::faults().
Result<Configuration> decodeConfiguration(std::string_view text);
/// Reads a delta, the form in which an intent is posted:
/// `{"ranks": {...}, "services": {...}, "routes": {...}, "remove": ["route/x"]}`.
Result<ConfigurationDelta> decodeDelta(std::string_view text);

} // namespace godwitlift
