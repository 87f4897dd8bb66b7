/// \file
/// Announcements, draining and heartbeat timeouts.
#include "godwitlift/membership/LocalBackendServers.h"

namespace godwitlift {

bool LocalBackendServers::announce(const Announcement &announcement, absl::Time now)
{
    BackendServer server;
    server.id = announcement.id;
    server.service = announcement.service;
    server.address = announcement.address;
    server.slots = announcement.slots;
    server.state =
            announcement.isDraining ? BackendServerState::Draining : BackendServerState::Ready;
    server.startedUnixMs = absl::ToUnixMillis(now);
    const auto it = m_entries.find(announcement.id);
    if (it != m_entries.end() && it->second.server.address == server.address
        && now - it->second.lastHeartbeat < HeartbeatTimeout) {
        server.startedUnixMs = it->second.server.startedUnixMs;
        if (it->second.server.state == BackendServerState::Draining)
            server.state = BackendServerState::Draining;
        const bool changed = server != it->second.server;
        it->second = { server, now };
        return changed;
    }
    const auto early = m_earlyDrains.find(announcement.id);
    if (early != m_earlyDrains.end()) {
        if (now - early->second < HeartbeatTimeout)
            server.state = BackendServerState::Draining;
        m_earlyDrains.erase(early);
    }
    m_entries[announcement.id] = { server, now };
    return true;
}

bool LocalBackendServers::markDraining(BackendServer &server)
{
    if (server.state == BackendServerState::Draining)
        return false;
    server.state = BackendServerState::Draining;
    return true;
}

bool LocalBackendServers::drain(const BackendServerId &id, absl::Time now)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end())
        return markDraining(it->second.server);
    m_earlyDrains[id] = now;
    return false;
}

bool LocalBackendServers::drainAll()
{
    bool changed = false;
    for (auto &[id, entry] : m_entries)
        changed = markDraining(entry.server) || changed;
    return changed;
}

bool LocalBackendServers::expire(absl::Time now)
{
    std::erase_if(m_earlyDrains,
                  [&](const auto &entry) { return now - entry.second >= HeartbeatTimeout; });
    return std::erase_if(m_entries,
                         [&](const auto &entry) {
                             return now - entry.second.lastHeartbeat >= HeartbeatTimeout;
                         })
           > 0;
}

std::vector<BackendServer> LocalBackendServers::list() const
{
    std::vector<BackendServer> servers;
    servers.reserve(m_entries.size());
    for (const auto &entry : m_entries)
        servers.push_back(entry.second.server);
    return servers;
}

} // namespace godwitlift
