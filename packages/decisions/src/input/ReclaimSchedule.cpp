/// \file
/// Reclaims after a drop of the held bytes.
#include "godwitlift/input/ReclaimSchedule.h"

#include <algorithm>

namespace godwitlift {

bool ReclaimSchedule::isDue(std::size_t heldBytes, absl::Time now)
{
    m_peakBytes = std::max(m_peakBytes, heldBytes);
    if (m_peakBytes - heldBytes < MinFreedBytes || now - m_lastReclaim < MinInterval)
        return false;
    m_peakBytes = heldBytes;
    m_lastReclaim = now;
    return true;
}

} // namespace godwitlift
