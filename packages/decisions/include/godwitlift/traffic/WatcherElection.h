/// \file
/// Which nodes of a zone follow the store on behalf of the others.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <cstdint>
#include <vector>

namespace godwitlift {

/// A node that could follow the store.
struct WatcherCandidate
{
    HostId host;
    bool isStoreFailing = false; ///< The store does not answer it.
    std::uint32_t linkMbps = 0;  ///< Bandwidth of its host; 0 is unknown.
};

/// Nodes of a zone that follow the store at the same time; the second one covers for the first
/// while that is frozen or about to be found dead.
inline constexpr std::size_t WatchersPerZone = 2;

/// True if \p self is one of the watchers among itself and \p peers, the nodes of its zone that it
/// reaches. Needs no agreement: nodes with different views may watch more than needed, and one that
/// is cut off watches alone. Candidates whom the store answers come first, then those with the
/// widest links, since watchers read whole versions and pass them on.
bool isWatcher(const WatcherCandidate &self, const std::vector<WatcherCandidate> &peers);

} // namespace godwitlift
