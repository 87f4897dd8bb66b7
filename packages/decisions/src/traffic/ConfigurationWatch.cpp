/// \file
/// Full reads, watches and backoff.
#include "godwitlift/traffic/ConfigurationWatch.h"

#include <algorithm>

namespace godwitlift {

WatchRequest ConfigurationWatch::readRequest() const
{
    WatchRequest request;
    request.isWatch = !m_needsFullRead;
    if (request.isWatch)
        request.after = m_position;
    return request;
}

WatchRequest ConfigurationWatch::onResult(const WatchRequest &request, WatchResult result,
                                          StorePosition position)
{
    if (result == WatchResult::Failed) {
        m_backoff = std::clamp(m_backoff * 2, InitialBackoff, MaxBackoff);
        // Requests that do not wait detect the store's recovery sooner.
        WatchRequest next = readRequest();
        next.delay = m_backoff * (0.5 + 0.5 * m_random.uniformReal());
        return next;
    }
    m_backoff = absl::ZeroDuration();
    if (position.era == 0)
        position.era = m_position.era;
    // The revision of the request belongs to another history, which may have given it to other
    // rows: changes may be missing from the answer.
    const bool isOtherEra = request.isWatch && position.era != request.after.era;
    m_needsFullRead = result == WatchResult::HistoryGone || isOtherEra;
    if (m_needsFullRead)
        return readRequest();
    m_position = position.era == m_position.era ? std::max(m_position, position) : position;
    WatchRequest next = readRequest();
    if (result == WatchResult::Changed)
        next.delay = CoalescingDelay;
    else
        next.longPollTimeout = m_pollTimeout;
    return next;
}

void ConfigurationWatch::adopt(StorePosition position)
{
    if (position <= m_position)
        return;
    m_position = position;
    m_needsFullRead = false;
}

} // namespace godwitlift
