/// \file
/// State changes of the host's own backend server.
#include "godwitlift/traffic/ServerLifecycle.h"

#include <algorithm>

namespace godwitlift {

std::string_view name(ServerState state)
{
    switch (state) {
    case ServerState::Absent:
        return "absent";
    case ServerState::Ready:
        return "ready";
    case ServerState::Draining:
        return "draining";
    }
    return "unknown";
}

void ServerLifecycle::markDrained(const BackendServerId &id, std::int64_t startedUnixMs)
{
    m_drained.add({ id, startedUnixMs });
    if (id == m_current.id && m_state == ServerState::Ready && hasDrained(m_current))
        m_state = ServerState::Draining;
}

bool ServerLifecycle::hasDrained(const ServerAnnouncement &announcement) const
{
    return m_drained.covers(announcement.id, announcement.startedUnixMs);
}

bool ServerLifecycle::isStale(const ServerAnnouncement &announcement) const
{
    if (m_current.id.isEmpty())
        return false;
    if (announcement.startedUnixMs != m_current.startedUnixMs)
        return announcement.startedUnixMs < m_current.startedUnixMs;
    return announcement.id == m_current.id && announcement.sequence <= m_current.sequence;
}

LifecycleChange ServerLifecycle::onAnnouncement(const ServerAnnouncement &announcement,
                                                absl::Time now)
{
    if (isStale(announcement))
        return LifecycleChange::Stale;
    const bool isOtherProcess = announcement.id != m_current.id
                                || announcement.startedUnixMs != m_current.startedUnixMs;
    const ServerState previousState = m_state;
    m_current = announcement;
    m_lastAnnouncement = now;
    m_coldUntil = now + announcement.coldRemaining;
    const bool acceptsRequests = !announcement.isDraining && !hasDrained(announcement);
    m_state = acceptsRequests ? ServerState::Ready : ServerState::Draining;
    if (announcement.isDraining)
        markDrained(announcement.id, announcement.startedUnixMs);
    if (isOtherProcess && m_state == ServerState::Ready)
        return LifecycleChange::Started;
    if (m_state == previousState && !isOtherProcess)
        return LifecycleChange::None;
    return m_state == ServerState::Draining ? LifecycleChange::Draining : LifecycleChange::Started;
}

LifecycleChange ServerLifecycle::onDeregistration(const BackendServerId &id, absl::Time wallClock)
{
    if (id != m_current.id && !m_current.id.isEmpty())
        return LifecycleChange::Stale;
    const bool wasReady = m_state == ServerState::Ready;
    // A process that is known and already drained has only repeated itself.
    const bool isKnownDrain = m_current.startedUnixMs != 0 && hasDrained(m_current);
    if (!isKnownDrain)
        markDrained(id, std::max(m_current.startedUnixMs, absl::ToUnixMillis(wallClock)));
    return wasReady ? LifecycleChange::Draining : LifecycleChange::None;
}

LifecycleChange ServerLifecycle::onLost()
{
    if (m_state == ServerState::Absent)
        return LifecycleChange::None;
    m_state = ServerState::Absent;
    return LifecycleChange::Lost;
}

bool ServerLifecycle::isOverdue(absl::Time now, absl::Duration limit) const
{
    return now - m_lastAnnouncement > limit;
}

} // namespace godwitlift
