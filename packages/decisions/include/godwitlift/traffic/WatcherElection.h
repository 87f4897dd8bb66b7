/// \file
/// Selects the nodes of a zone that watch the store on behalf of the others.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <cstdint>
#include <vector>

namespace godwitlift {

/// A node that could watch the store.
struct WatcherCandidate
{
    HostId host;
    ZoneId zone;
    bool isStoreFailing = false; ///< The node gets no answers from the store.
    std::uint32_t linkMbps = 0;  ///< Bandwidth of its host's link; 0 if unknown.
};

/// Nodes that watch the store at the same time, at least. The second one takes over while the first
/// is suspended, or has failed without being detected yet.
inline constexpr std::size_t MinWatchers = 2;

/// Part of a node in following the store.
struct WatchRole
{
    bool isWatching = true;    ///< Watches the store on behalf of its zone.
    std::size_t rank = 0;      ///< Place among the nodes of its zone that could watch.
    std::size_t nodeCount = 1; ///< Of its zone, as far as it reaches them.

    friend bool operator==(const WatchRole &, const WatchRole &) = default;
};

/// The role of \p self. \p peers are the other nodes that it can reach, of all zones. Each
/// zone has one watcher; those of other zones stand in for it. A zone that reaches no other has
/// MinWatchers. No consensus is needed: with different views, more nodes than necessary watch, and
/// an isolated node watches for itself. Nodes that the store answers rank first, then those with
/// the fastest links, since watchers read full versions and forward them.
WatchRole watchRole(const WatcherCandidate &self, const std::vector<WatcherCandidate> &peers);

inline bool isWatcher(const WatcherCandidate &self, const std::vector<WatcherCandidate> &peers)
{
    return watchRole(self, peers).isWatching;
}

} // namespace godwitlift
