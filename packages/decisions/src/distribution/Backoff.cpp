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
    const absl::Duration ceiling = std::min(m_ceiling, m_base * (1 << doublings));
    return ceiling * random.uniformReal();
}

} // namespace godwitlift
