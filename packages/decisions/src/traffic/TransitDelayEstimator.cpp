/// \file
/// Minimum filter over clock differences.
#include "godwitlift/traffic/TransitDelayEstimator.h"

#include <algorithm>

namespace godwitlift {

absl::Duration TransitDelayEstimator::observe(absl::Duration sent, absl::Duration received)
{
    const absl::Duration difference = received - sent;
    if (received - m_windowStart > Window) {
        const bool isRecent = received - m_windowStart <= 2 * Window;
        m_previousMinDifference = isRecent ? m_minDifference : absl::InfiniteDuration();
        m_minDifference = absl::InfiniteDuration();
        m_windowStart = received;
    }
    m_minDifference = std::min(m_minDifference, difference);
    return difference - std::min(m_minDifference, m_previousMinDifference);
}

} // namespace godwitlift
