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
    m_entries[announcement.id] = { server, now };
    return true;
}

bool LocalBackendServers::drain(const BackendServerId &id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.server.state == BackendServerState::Draining)
        return false;
    it->second.server.state = BackendServerState::Draining;
    return true;
}

bool LocalBackendServers::drainAll()
{
    bool changed = false;
    for (const auto &entry : m_entries)
        changed = drain(entry.first) || changed;
    return changed;
}

bool LocalBackendServers::expire(absl::Time now)
{
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
