/// \file
/// The backend servers that announced themselves to the node on their host.
#pragma once

#include "godwitlift/membership/HostRecord.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace godwitlift {

/// One announcement, repeated as a heartbeat.
struct Announcement
{
    BackendServerId id;
    ServiceId service;
    Address address;
    std::uint32_t slots = 0;
    bool isDraining = false;
};

/// Keeps the announced backend servers of this host. Not thread-safe.
///
/// A backend server whose heartbeats stop is taken out after HeartbeatTimeout. Draining is final
/// for a process: a later heartbeat without the flag does not undo it, only a new address or a
/// pause longer than the timeout (a new process) does.
class LocalBackendServers final
{
public:
    static constexpr absl::Duration HeartbeatTimeout = absl::Seconds(3);

    /// True if the announced set changed in anything but the time of the heartbeat.
    bool announce(const Announcement &announcement, absl::Time now);
    /// Marks one backend server as being handed back; true if that changed it.
    bool drain(const BackendServerId &id);
    /// Marks all as being handed back, for the node's own shutdown.
    bool drainAll();
    /// Takes out those whose heartbeats stopped; true if any was.
    bool expire(absl::Time now);
    /// Sorted by id.
    std::vector<BackendServer> list() const;

private:
    struct Entry
    {
        BackendServer server;
        absl::Time heard;
    };

    std::map<BackendServerId, Entry> m_entries;
};

} // namespace godwitlift
