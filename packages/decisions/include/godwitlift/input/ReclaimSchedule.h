/// \file
/// Decides when a node returns freed memory to the system.
#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace godwitlift {

/// The allocator keeps freed blocks for later ones, which a larger message does not fit into: the
/// process would need room for both. Freed memory is therefore returned after many held bytes have
/// been released. Not thread-safe.
class ReclaimSchedule final
{
public:
    /// Fewer freed bytes are not worth the effort; they fit into what the budgets leave free.
    static constexpr std::size_t MinFreedBytes = std::size_t(8) * 1024 * 1024;
    /// Shortest time between two reclaims, each of which walks through the heap.
    static constexpr absl::Duration MinInterval = absl::Milliseconds(500);

    /// True if memory is to be returned now. \p heldBytes are those that connections hold.
    bool isDue(std::size_t heldBytes, absl::Time now);

private:
    std::size_t m_peakBytes = 0; ///< Most bytes held since the last reclaim.
    absl::Time m_lastReclaim = absl::InfinitePast();
};

} // namespace godwitlift
