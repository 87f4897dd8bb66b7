/// \file
/// Full-jitter exponential backoff.
#include "godwitlift/distribution/Backoff.h"

#include <algorithm>

namespace godwitlift {

absl::Duration Backoff::delayAfterFailure(RandomSource &random)
{
    constexpr int MaxDoublings = 16;
    const int doublings = std::min(m_failures, MaxDoublings);
    ++m_failures;
    const absl::Duration bound = std::min(m_ceiling, m_base * (1 << doublings));
    return bound * random.uniformReal();
}

} // namespace godwitlift
