/// \file
/// Identity and location of a node, from its settings.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <vector>

namespace godwitlift {

struct NodeIdentity
{
    HostId host;
    ZoneId zone;
    RegionId region;
    Address address;            ///< Address at which peers connect to this node.
    std::vector<Address> seeds; ///< Peers from the settings that are contacted to join.
    Incarnation incarnation;    ///< Increases with each start of the process on this host.
};

} // namespace godwitlift
