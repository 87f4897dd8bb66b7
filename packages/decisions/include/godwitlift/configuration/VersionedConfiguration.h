/// \file
/// A configuration with its version and digest.
#pragma once

#include "godwitlift/configuration/Configuration.h"

#include <memory>

namespace godwitlift {

/// One version of the configuration. Immutable; may be shared between threads.
struct VersionedConfiguration
{
    Version version;
    Digest digest; ///< Digest of the canonical text of `content`.
    Configuration content;
};

using SharedConfiguration = std::shared_ptr<const VersionedConfiguration>;

} // namespace godwitlift
