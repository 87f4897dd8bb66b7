/// \file
/// Intervals of attempts to reach dormant hosts.
#include "godwitlift/traffic/HostRetention.h"

#include <algorithm>

namespace godwitlift {

absl::Duration HostRetention::retryDelay(std::size_t dormantCount, RandomSource &random)
{
    const absl::Duration interval = std::max(
            MinDormantInterval, IntervalPerDormantHost * static_cast<double>(dormantCount));
    return interval * (0.5 + random.uniformReal());
}

} // namespace godwitlift
