/// \file
/// State of the host's own backend server: its process, and whether it accepts requests.
#pragma once

#include "godwitlift/base/StrongId.h"
#include "godwitlift/traffic/DrainRecords.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace godwitlift {

/// Whether a backend server accepts new requests.
enum class ServerState : std::uint8_t {
    Absent,  ///< None is known, or the last one was lost.
    Ready,   ///< Accepts requests.
    Draining ///< Finishes its requests and gets no new ones.
};

/// Stable lower-case name for logs.
std::string_view name(ServerState state);

/// Announcement that a backend server sends to the node on its host.
struct ServerAnnouncement
{
    BackendServerId id;
    std::int64_t startedUnixMs = 0; ///< Start of the process; 0 if unknown.
    Sequence sequence;              ///< Increases with each announcement of a process.
    std::uint32_t slots = 0;
    ServerVersion version; ///< Of the server's program; empty if unknown.
    bool isDraining = false;
    absl::Duration coldRemaining; ///< Time until the end of the cold start.
};

/// Effect of an announcement, a deregistration or a failed probe.
enum class LifecycleChange : std::uint8_t {
    None,     ///< No change of state; slots and cold start may differ.
    Stale,    ///< Older than the current state; ignored.
    Started,  ///< Another process is ready, or the same one again.
    Draining, ///< Started to drain.
    Lost      ///< The process was lost.
};

/// Tracks the backend server by announcements that may arrive late or twice. Not thread-safe.
///
/// Invariants: a process that drained or deregistered never accepts requests again, whether or not
/// it was the current one at that time; of one process, only announcements with a higher sequence
/// are applied; an earlier process never replaces a later one. If the host had an earlier process
/// of the node, a process of the backend server accepts requests only after it has answered this
/// one.
class ServerLifecycle final
{
public:
    /// Marks the processes \p id that started by \p startedUnixMs as drained or deregistered.
    LifecycleChange markDrained(const BackendServerId &id, std::int64_t startedUnixMs);
    /// An earlier process of the node may have acknowledged drains that are not known yet. An
    /// announcement may have been sent before such a drain, so that it proves nothing; the answer
    /// to a health probe shows the present state.
    void awaitDrainRecall();
    /// The drains that have a copy are known. One that was lost with all its copies is not, so that
    /// an answer of the process is still required.
    LifecycleChange onDrainsRecalled();
    /// The host had no earlier process of the node, so that no drain was acknowledged.
    LifecycleChange onFirstStart();
    LifecycleChange onAnnouncement(const ServerAnnouncement &announcement, absl::Time now);
    /// The process \p id has answered a health probe as healthy. \p slots is 0 if unknown.
    LifecycleChange onHealthyProbe(const BackendServerId &id, std::uint32_t slots);
    /// The current process has answered a health probe as unhealthy, without saying that it leaves.
    /// It may fail its health check only, or leave; after the recall, its next announcement tells
    /// these apart.
    void onUnhealthyProbe();
    /// A process \p id leaves. The message does not tell which one, so that every process of that
    /// id which had started by \p wallClock is drained. Stale if another id is current.
    LifecycleChange onDeregistration(const BackendServerId &id, absl::Time wallClock);
    /// An answer of the current process says that it leaves. If its start is not known yet, every
    /// process of its id that had started by \p wallClock is drained.
    LifecycleChange onLeavingNotice(absl::Time wallClock);
    /// The address is used by another process or by none.
    LifecycleChange onLost();
    /// A process that never answers probes is confirmed after it has announced itself for this
    /// long: no announcement arrives so late.
    static constexpr absl::Duration ConfirmationPeriod = absl::Seconds(10);
    /// The last announcement is older than \p limit.
    bool isOverdue(absl::Time now, absl::Duration limit) const;

    ServerState state() const { return m_state; }
    const BackendServerId &id() const { return m_current.id; }
    /// Increases with each process that becomes the current one, so that a caller can tell whether
    /// an answer is from the current process.
    std::uint64_t processNumber() const { return m_processNumber; }
    std::uint32_t slots() const { return m_current.slots; }
    /// Empty until the current process has announced itself.
    const ServerVersion &version() const { return m_current.version; }
    bool isCold(absl::Time now) const { return now < m_coldUntil; }
    std::int64_t startedUnixMs() const { return m_current.startedUnixMs; }
    /// All processes that get no more requests.
    const DrainRecords &drains() const { return m_drained; }
    /// The current process is ready by its announcements, but has to answer a probe first.
    bool needsProbe() const;

private:
    bool isStale(const ServerAnnouncement &announcement) const;
    bool hasDrained(const ServerAnnouncement &announcement) const;
    ServerState determineState() const;
    /// Determines the state again; \p isOtherProcess tells that the current process has changed.
    LifecycleChange updateState(bool isOtherProcess);
    void resetConfirmation();

    ServerAnnouncement m_current;
    std::uint64_t m_processNumber = 0;
    ServerState m_state = ServerState::Absent;
    bool m_isLost = false;      ///< The current process was lost and has not shown itself since.
    bool m_isConfirmed = false; ///< The current process has shown that it does not leave.
    bool m_isConfirmationRequired = false; ///< An earlier process of the node may have existed.
    bool m_isRecallAwaited = false; ///< Drains of an earlier process of the node are not known yet.
    /// Announcements of the current process with a higher sequence confirm it; none if it has not
    /// answered as unhealthy.
    std::optional<Sequence> m_unhealthySequence;
    absl::Time m_firstAnnouncement = absl::InfiniteFuture(); ///< Of the current process.
    absl::Time m_lastAnnouncement = absl::InfinitePast();
    absl::Time m_coldUntil = absl::InfinitePast();
    DrainRecords m_drained;
};

} // namespace godwitlift
