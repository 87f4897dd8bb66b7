/// \file
/// Full reads, watches and backoff.
#include "godwitlift/traffic/ConfigurationWatch.h"

#include <algorithm>

namespace godwitlift {

WatchRequest ConfigurationWatch::firstRequest(bool isFirstStart) const
{
    WatchRequest request;
    if (isFirstStart)
        request.delay = FirstStartDelay;
    return request;
}

WatchRequest ConfigurationWatch::delegatedRequest(WatchRequest request) const
{
    request.longPollTimeout = absl::ZeroDuration();
    request.delay = std::max(request.delay, DelegatedReadDelay * (0.5 + m_random.uniformReal()));
    return request;
}

WatchRequest ConfigurationWatch::onResult(WatchResult result, std::uint64_t revision)
{
    WatchRequest request;
    if (result == WatchResult::Failed) {
        m_backoff = m_backoff == absl::ZeroDuration() ? InitialBackoff
                                                      : std::min(m_backoff * 2, MaxBackoff);
        request.delay = m_backoff * (0.5 + 0.5 * m_random.uniformReal());
    } else {
        m_backoff = absl::ZeroDuration();
        m_needsFullRead = result == WatchResult::HistoryGone;
        if (!m_needsFullRead)
            m_revision = revision;
        if (result == WatchResult::Changed)
            request.delay = CoalescingDelay;
    }
    request.isWatch = !m_needsFullRead;
    if (request.isWatch) {
        request.afterRevision = m_revision;
        // While the store fails, requests that do not wait detect its recovery sooner.
        request.longPollTimeout = isFailing() ? absl::ZeroDuration() : LongPollTimeout;
    }
    return request;
}

} // namespace godwitlift
