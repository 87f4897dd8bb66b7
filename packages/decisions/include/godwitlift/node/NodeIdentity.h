/// \file
/// Who a node is, as its settings say.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <vector>

namespace godwitlift {

struct NodeIdentity
{
    HostId host;
    ZoneId zone;
    RegionId region;
    Address address;            ///< Where peers reach this node.
    std::vector<Address> seeds; ///< Peers to ask first, named in the settings.
    Incarnation incarnation;    ///< Grows with each start of the process on this host.
};

} // namespace godwitlift
