/// \file
/// JSON encoding of configurations and deltas. Decoding reports every fault with its path.
#pragma once

#include "godwitlift/configuration/ConfigurationDelta.h"

#include <string>
#include <string_view>

namespace godwitlift {

/// Canonical JSON text of a configuration; equal configurations produce equal text.
std::string encode(const Configuration &configuration);
/// Canonical JSON text of a delta.
std::string encode(const ConfigurationDelta &delta);
/// Digest of the canonical text.
Digest digestOf(const Configuration &configuration);

/// Decodes a configuration, such as a directory of intents merged into one document.
/// Checks structure, types, units and ranges; Configuration::validate() checks the invariants
/// between items.
Result<Configuration> decodeConfiguration(std::string_view text);
/// Decodes a delta, the format in which an operator submits an intent:
/// `{"ranks": {...}, "services": {...}, "routes": {...}, "remove": ["route/x"]}`.
Result<ConfigurationDelta> decodeDelta(std::string_view text);

} // namespace godwitlift
