/// \file
/// The backend servers that announced themselves to the node on the same host.
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
/// A backend server is removed when no heartbeat has arrived for HeartbeatTimeout. Draining is
/// final for a process: a later heartbeat without the flag does not undo it. A new address, or a
/// gap of at least the timeout, indicates a new process, whose draining state and start time are
/// set anew.
class LocalBackendServers final
{
public:
    static constexpr absl::Duration HeartbeatTimeout = absl::Seconds(3);

    /// True if anything but the time of the heartbeat changed.
    bool announce(const Announcement &announcement, absl::Time now);
    /// Marks one backend server as draining; true if it was known and not draining before. If it is
    /// not known, its first announcement within HeartbeatTimeout is taken as draining.
    bool drain(const BackendServerId &id, absl::Time now);
    /// Marks all as draining, for the node's own shutdown; true if any was not draining before.
    bool drainAll();
    /// Removes the backend servers whose heartbeats stopped; true if there were any.
    bool expire(absl::Time now);
    /// Sorted by id.
    std::vector<BackendServer> list() const;

private:
    struct Entry
    {
        BackendServer server;
        absl::Time lastHeartbeat;
    };

    static bool markDraining(BackendServer &server);

    std::map<BackendServerId, Entry> m_entries;
    /// When backend servers that were not known were drained.
    std::map<BackendServerId, absl::Time> m_earlyDrains;
};

} // namespace godwitlift
