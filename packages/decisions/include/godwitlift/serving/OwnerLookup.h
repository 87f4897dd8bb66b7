/// \file
/// Where the ingress finds the owners of keys.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <optional>

namespace godwitlift {

/// A host that is a member of the mesh now.
struct KnownHost
{
    Address address;
    Incarnation incarnation;
};

/// Looks hosts up in what the node knows. Called under the serving lock; an implementation may take
/// the control lock, never the other way round.
class OwnerLookup
{
public:
    virtual ~OwnerLookup() = default;
    /// Empty if the host is unknown, dead or has left.
    virtual std::optional<KnownHost> find(const HostId &host) const = 0;
};

} // namespace godwitlift
