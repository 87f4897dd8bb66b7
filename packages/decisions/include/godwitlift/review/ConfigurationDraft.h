/// \file
/// A configuration that is not sent yet: all its entries with their places, whether or not nodes
/// would use them.
#pragma once

#include "godwitlift/base/Failure.h"
#include "godwitlift/traffic/RouteCatalogue.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace godwitlift {

/// An entry of a draft and its place, such as `resources[2]`.
template<typename Entry>
struct PlacedEntry
{
    std::string place;
    Entry entry;
};

/// Result of decoding a configuration, before entries that others hide are left out.
struct ConfigurationDraft
{
    Version version;
    std::vector<PlacedEntry<SharedRoute>> routes; ///< One with a fault may lack destinations.
    std::vector<PlacedEntry<TrafficService>> services;
    std::vector<PlacedEntry<SharedAccount>> accounts;
    ClientLimits limits;
    std::vector<std::string> limitsPlaces; ///< Of each entry that sets limits.
    std::vector<InputFault> faults;        ///< With any of them, nodes refuse the whole version.
    /// What nodes accept but read otherwise than it is written, such as a member of another type.
    std::vector<InputFault> remarks;
    /// What the file calls the entry at a place, such as `routes 'pay'`.
    std::map<std::string, std::string> names;

    bool isAccepted() const { return faults.empty(); }
    /// The version as nodes use it. Requires isAccepted().
    std::shared_ptr<const RouteCatalogue> catalogue() const;
};

} // namespace godwitlift
