/// \file
/// A configuration together with its place in the total order.
#pragma once

#include "godwitlift/configuration/Configuration.h"

#include <memory>

namespace godwitlift {

/// An immutable configuration of one version. Shared freely between threads.
struct VersionedConfiguration
{
    Version version;
    Digest digest; ///< Digest of the canonical text of `content`.
    Configuration content;
};

using SharedConfiguration = std::shared_ptr<const VersionedConfiguration>;

} // namespace godwitlift
