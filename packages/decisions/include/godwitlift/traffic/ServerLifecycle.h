/// \file
/// What this host knows of its own backend server: which process it is, and whether it takes work.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace godwitlift {

/// Whether a backend server takes new work.
enum class ServerState : std::uint8_t {
    Absent,  ///< None is known, or the last one has gone.
    Ready,   ///< Takes work.
    Draining ///< Finishes what it has; gets nothing new.
};

/// Stable lower-case name for logs.
std::string_view name(ServerState state);

/// One announcement of a backend server about itself.
struct ServerAnnouncement
{
    BackendServerId id;
    std::int64_t startedUnixMs = 0; ///< Start of the process; 0 if it did not say.
    Sequence sequence;              ///< Grows with each announcement of one process.
    std::uint32_t slots = 0;
    bool isDraining = false;
    absl::Duration coldFor; ///< How much longer it works slowly after its start.
};

/// What an announcement or probe changed.
enum class LifecycleChange : std::uint8_t {
    None,     ///< Known already, or only slots and warmth changed.
    Stale,    ///< Older than what is known; ignored.
    Started,  ///< Another process took over.
    Draining, ///< It begins to drain.
    Gone      ///< It has left.
};

/// Orders announcements that may arrive late or twice. Not thread-safe.
///
/// Invariants: a process that drained or left never takes work again; within one process only a
/// higher sequence counts; an earlier process never replaces a later one.
class ServerLifecycle final
{
public:
    /// Marks the process \p id that started at \p startedUnixMs as having drained or left.
    void recallDrained(const BackendServerId &id, std::int64_t startedUnixMs);
    LifecycleChange announced(const ServerAnnouncement &announcement, absl::Time now);
    /// The backend server said that it leaves for good.
    LifecycleChange deregistered(const BackendServerId &id);
    /// Another process answers at the address, or nobody does.
    LifecycleChange lost();
    /// No announcement came for too long, or its own probe failed.
    bool isSilent(absl::Time now, absl::Duration limit) const;

    ServerState state() const { return m_state; }
    const BackendServerId &id() const { return m_current.id; }
    std::uint32_t slots() const { return m_current.slots; }
    bool isCold(absl::Time now) const { return now < m_coldUntil; }
    std::int64_t startedUnixMs() const { return m_current.startedUnixMs; }

private:
    /// Drained ids kept; a host sees a few in its life.
    static constexpr std::size_t DrainedLimit = 64;

    bool isStale(const ServerAnnouncement &announcement) const;
    bool hasDrained(const ServerAnnouncement &announcement) const;

    ServerAnnouncement m_current;
    ServerState m_state = ServerState::Absent;
    absl::Time m_heard = absl::InfinitePast();
    absl::Time m_coldUntil = absl::InfinitePast();
    /// Processes that drained, by id with their start; an id may be used again by a later process.
    std::map<BackendServerId, std::int64_t> m_drained;
};

} // namespace godwitlift
