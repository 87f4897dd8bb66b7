/// \file
/// Repetition of questions to peers.
#include "godwitlift/access/AccessFreshness.h"

#include <algorithm>

namespace godwitlift {

bool AccessFreshness::shouldAsk(absl::Duration age, absl::Duration now)
{
    if (!isStrict() || age <= m_limit * AskShare) {
        m_askInterval = MinAskInterval;
        m_nextAsk = -absl::InfiniteDuration();
        return false;
    }
    if (now < m_nextAsk)
        return false;
    m_nextAsk = now + m_askInterval;
    m_askInterval = std::min(m_askInterval * 2, MaxAskInterval);
    return true;
}

} // namespace godwitlift
