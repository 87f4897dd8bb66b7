/// \file
/// Ranks the reachable nodes; ties are broken by a hash of the host id.
#include "godwitlift/traffic/WatcherElection.h"

#include "godwitlift/base/Hashing.h"

#include <algorithm>
#include <tuple>

namespace godwitlift {

bool isWatcher(const WatcherCandidate &self, const std::vector<WatcherCandidate> &peers)
{
    const auto rank = [](const WatcherCandidate &candidate) {
        return std::make_tuple(candidate.isStoreFailing, UINT32_MAX - candidate.linkMbps,
                               hashOf(candidate.host.value()), candidate.host);
    };
    const auto ownRank = rank(self);
    const auto rankedBefore = std::count_if(peers.begin(), peers.end(),
                                            [&](const auto &peer) { return rank(peer) < ownRank; });
    return static_cast<std::size_t>(rankedBefore) < WatchersPerZone;
}

} // namespace godwitlift
