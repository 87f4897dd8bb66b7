/// \file
/// Reports of held versions, gathered up the tree and exchanged between roots.
#pragma once

#include "godwitlift/distribution/FollowTree.h"

#include <map>
#include <optional>
#include <vector>

namespace godwitlift {

/// Gathers the subtree's report and keeps the newest report of each zone. Not thread-safe.
class FleetReports final
{
public:
    /// Hosts named in one report; the counts cover all.
    static constexpr std::size_t LaggingLimit = 8;

    /// Report of this node and everything below it.
    static ZoneReport subtree(const ZoneId &zone, const LaggingHost &self,
                              const std::map<HostId, Follower> &followers, absl::Time now);
    /// Keeps \p report unless a newer one of its zone is held.
    void merge(const ZoneReport &report);
    /// Newest report of each zone, in zone order.
    std::vector<ZoneReport> all() const;

private:
    std::map<ZoneId, ZoneReport> m_byZone;
};

} // namespace godwitlift
