/// \file
/// Intervals of pings and detection of a failed connection.
#include "godwitlift/traffic/LinkProbe.h"

#include <algorithm>

namespace godwitlift {

void LinkProbe::onPingSent(absl::Time now)
{
    m_lastPing = now;
    m_unansweredSince = std::min(m_unansweredSince, now);
}

absl::Duration LinkProbe::idleInterval(std::size_t peerCount)
{
    return std::max(MinIdleInterval, IdleIntervalPerPeer * static_cast<double>(peerCount));
}

bool LinkProbe::isPingDue(absl::Time now, std::size_t peerCount) const
{
    const bool isUsed = now - m_lastUse < UseExpiry;
    return now - m_lastPing >= (isUsed ? UsedInterval : idleInterval(peerCount));
}

} // namespace godwitlift
