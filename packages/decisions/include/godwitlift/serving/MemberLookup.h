/// \file
/// Lookup of member hosts, by which the ingress reaches the owners of idempotency keys.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <optional>

namespace godwitlift {

/// A current member of the mesh.
struct MemberHost
{
    Address address;
    Incarnation incarnation;
};

/// Looks hosts up in the node's host directory. Called with the serving lock held. Lock order: an
/// implementation may acquire the control lock; the serving lock must never be acquired with the
/// control lock held.
class MemberLookup
{
public:
    virtual ~MemberLookup() = default;
    /// Empty if the host is unknown, dead or has left.
    virtual std::optional<MemberHost> find(const HostId &host) const = 0;
};

} // namespace godwitlift
