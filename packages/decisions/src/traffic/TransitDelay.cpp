/// \file
/// Windowed minimum of clock differences.
#include "godwitlift/traffic/TransitDelay.h"

#include <algorithm>

namespace godwitlift {

absl::Duration TransitDelay::observe(absl::Duration sent, absl::Duration received)
{
    const absl::Duration difference = received - sent;
    if (received - m_windowStart > Window) {
        const bool isRecent = received - m_windowStart <= 2 * Window;
        m_lastLeast = isRecent ? m_least : absl::InfiniteDuration();
        m_least = absl::InfiniteDuration();
        m_windowStart = received;
    }
    m_least = std::min(m_least, difference);
    return difference - std::min(m_least, m_lastLeast);
}

} // namespace godwitlift
