/// \file
/// Reports of the versions that hosts hold, aggregated up the relay tree and exchanged between
/// roots.
#pragma once

#include "godwitlift/distribution/RelayTreeNode.h"

#include <map>
#include <optional>
#include <vector>

namespace godwitlift {

/// Aggregates the reports of a subtree and keeps the newest report of each zone. Not thread-safe.
class FleetReports final
{
public:
    /// Largest number of hosts listed in a report; its counts cover all hosts.
    static constexpr std::size_t MaxLaggingHosts = 8;

    /// Report of this node and all of its followers' subtrees. Lists \p self only if this node lags
    /// or refused a version.
    static ZoneReport aggregateSubtree(const ZoneId &zone, const LaggingHost &self,
                                       const std::map<HostId, Follower> &followers, absl::Time now);
    /// Keeps \p report unless a newer report of its zone is stored.
    void merge(const ZoneReport &report);
    /// The newest report of each zone, in zone order.
    std::vector<ZoneReport> newestReports() const;

private:
    std::map<ZoneId, ZoneReport> m_byZone;
};

} // namespace godwitlift
