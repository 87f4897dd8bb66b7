/// \file
/// Announcements of the host's own backend server.
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

void ServerLifecycle::recallDrained(const BackendServerId &id, std::int64_t startedUnixMs)
{
    if (m_drained.size() >= DrainedLimit)
        m_drained.erase(m_drained.begin());
    std::int64_t &known = m_drained[id];
    known = std::max(known, startedUnixMs);
    if (id == m_current.id && m_state == ServerState::Ready && hasDrained(m_current))
        m_state = ServerState::Draining;
}

bool ServerLifecycle::hasDrained(const ServerAnnouncement &announcement) const
{
    const auto it = m_drained.find(announcement.id);
    return it != m_drained.end() && announcement.startedUnixMs <= it->second;
}

bool ServerLifecycle::isStale(const ServerAnnouncement &announcement) const
{
    if (m_current.id.isEmpty())
        return false;
    if (announcement.startedUnixMs != m_current.startedUnixMs)
        return announcement.startedUnixMs < m_current.startedUnixMs;
    return announcement.id == m_current.id && announcement.sequence <= m_current.sequence;
}

LifecycleChange ServerLifecycle::announced(const ServerAnnouncement &announcement, absl::Time now)
{
    if (isStale(announcement))
        return LifecycleChange::Stale;
    const bool isOther = announcement.id != m_current.id
                         || announcement.startedUnixMs != m_current.startedUnixMs;
    const ServerState before = m_state;
    m_current = announcement;
    m_heard = now;
    m_coldUntil = now + announcement.coldFor;
    const bool mayWork = !announcement.isDraining && !hasDrained(announcement);
    m_state = mayWork ? ServerState::Ready : ServerState::Draining;
    if (announcement.isDraining)
        recallDrained(announcement.id, announcement.startedUnixMs);
    if (isOther && m_state == ServerState::Ready)
        return LifecycleChange::Started;
    if (m_state == before && !isOther)
        return LifecycleChange::None;
    return m_state == ServerState::Draining ? LifecycleChange::Draining : LifecycleChange::Started;
}

LifecycleChange ServerLifecycle::deregistered(const BackendServerId &id)
{
    if (id != m_current.id && !m_current.id.isEmpty())
        return LifecycleChange::Stale;
    const bool wasReady = m_state == ServerState::Ready;
    recallDrained(id, m_current.startedUnixMs);
    return wasReady ? LifecycleChange::Draining : LifecycleChange::None;
}

LifecycleChange ServerLifecycle::lost()
{
    if (m_state == ServerState::Absent)
        return LifecycleChange::None;
    m_state = ServerState::Absent;
    return LifecycleChange::Gone;
}

bool ServerLifecycle::isSilent(absl::Time now, absl::Duration limit) const
{
    return now - m_heard > limit;
}

} // namespace godwitlift
