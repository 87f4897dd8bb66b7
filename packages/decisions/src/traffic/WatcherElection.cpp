/// \file
/// Ranks the reachable nodes; ties are broken by a hash of the host id.
#include "godwitlift/traffic/WatcherElection.h"

#include "godwitlift/base/Hashing.h"

#include <tuple>

namespace godwitlift {

WatchRole watchRole(const WatcherCandidate &self, const std::vector<WatcherCandidate> &peers)
{
    const auto rank = [](const WatcherCandidate &candidate) {
        return std::make_tuple(candidate.isStoreFailing, UINT32_MAX - candidate.linkMbps,
                               hashOf(candidate.host.value()), candidate.host);
    };
    const auto ownRank = rank(self);
    WatchRole role;
    bool reachesOtherZone = false;
    for (const WatcherCandidate &peer : peers) {
        if (peer.zone != self.zone) {
            // A zone without the store cannot stand in for this one.
            reachesOtherZone = reachesOtherZone || !peer.isStoreFailing;
        } else {
            ++role.nodeCount;
            role.rank += rank(peer) < ownRank ? 1 : 0;
        }
    }
    role.isWatching = role.rank < (reachesOtherZone ? 1 : MinWatchers);
    return role;
}

} // namespace godwitlift
