/// \file
/// Full-jitter exponential backoff.
#include "godwitlift/distribution/Backoff.h"

#include <algorithm>

namespace godwitlift {

absl::Duration Backoff::failed(RandomSource &random)
{
    constexpr int DoublingLimit = 16;
    const int doublings = std::min(m_failures, DoublingLimit);
    ++m_failures;
    const absl::Duration ceiling = std::min(m_ceiling, m_base * (1 << doublings));
    return ceiling * random.uniformReal();
}

} // namespace godwitlift
