/// \file
/// Decides for how long and how often a node tries to reach a host that does not answer.
#pragma once

#include "godwitlift/base/RandomSource.h"

#include <absl/time/time.h>

#include <cstddef>

namespace godwitlift {

/// Retention of hosts that cannot be reached. Stateless.
///
/// A host may be lost for good, or be cut off and come back: zones lose each other for an hour now
/// and then. It is therefore kept for longer than that, but gets no requests, and is tried less
/// often the more such hosts there are. The store is not asked, so that the end of a partition
/// leads to no calls.
struct HostRetention
{
    /// Unreachable time after which a host is dormant: much longer than a restart.
    static constexpr absl::Duration DormancyDelay = absl::Seconds(60);
    /// Unreachable time after which a host is forgotten.
    static constexpr absl::Duration RetentionTime = absl::Hours(3);
    /// Mean interval between attempts to reach a dormant host: the larger of the minimum and the
    /// interval per dormant host times their number, so that a node makes at most twenty a second.
    static constexpr absl::Duration MinDormantInterval = absl::Seconds(3);
    static constexpr absl::Duration IntervalPerDormantHost = absl::Milliseconds(50);
    /// Time over which a node tries its dormant hosts once one of them has come back.
    static constexpr absl::Duration WakeSpread = absl::Seconds(1);

    static bool isDormant(absl::Duration downtime) { return downtime > DormancyDelay; }
    static bool isForgotten(absl::Duration downtime) { return downtime > RetentionTime; }
    /// True for a host that has said it stops for good and cannot be running any more, so that it
    /// takes no further part in quotas. \p stopTimeout bounds how long a node runs after that.
    static bool hasEnded(absl::Duration downtime, bool hasDeparted, absl::Duration stopTimeout)
    {
        return hasDeparted && downtime > stopTimeout;
    }
    /// Delay before the next attempt to reach a host that is one of \p dormantCount.
    static absl::Duration retryDelay(std::size_t dormantCount, RandomSource &random);
};

} // namespace godwitlift
