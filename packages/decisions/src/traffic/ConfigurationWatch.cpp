/// \file
/// Reading, watching, backing off.
#include "godwitlift/traffic/ConfigurationWatch.h"

#include <algorithm>

namespace godwitlift {

WatchStep ConfigurationWatch::answered(WatchResult result, std::uint64_t revision)
{
    WatchStep step;
    if (result == WatchResult::Failed) {
        m_backoff = m_backoff == absl::ZeroDuration() ? FirstBackoff
                                                      : std::min(m_backoff * 2, LongestBackoff);
        step.delay = m_backoff * (0.5 + 0.5 * m_random.uniformReal());
    } else {
        m_backoff = absl::ZeroDuration();
        m_mustRead = result == WatchResult::HistoryGone;
        if (!m_mustRead)
            m_revision = revision;
        if (result == WatchResult::Changed)
            step.delay = CoalescingTime;
    }
    step.isWatch = !m_mustRead;
    if (step.isWatch) {
        step.after = m_revision;
        // While the store fails, short questions find its return soon.
        step.wait = isFailing() ? absl::ZeroDuration() : WatchTime;
    }
    return step;
}

} // namespace godwitlift
