/// \file
/// The only way to one backend server: slots, queues by rank, and true refusals.
#pragma once

#include "godwitlift/base/Verdict.h"
#include "godwitlift/configuration/Configuration.h"
#include "godwitlift/serving/RankQueue.h"
#include "godwitlift/serving/SlotLimit.h"

#include <absl/time/time.h>

#include <map>
#include <memory>
#include <vector>

namespace godwitlift {

/// A request at the gate.
struct GateCall
{
    AttemptId attempt; ///< Unique at this gate.
    RankId rank;
    CallerId caller;
    absl::Time deadline;
    absl::Time objective = absl::InfiniteFuture(); ///< An answer after it is worth little.
};

/// Load as the gate itself counts it; travels back with every answer.
struct GateLoad
{
    std::uint32_t inUse = 0;
    std::uint32_t limit = 0;
    std::uint32_t queued = 0;

    friend bool operator==(const GateLoad &, const GateLoad &) = default;
};

/// A request that did not run and will not.
struct GateRefusal
{
    AttemptId attempt;
    Reason reason = Reason::None;
    absl::Duration retryAfter;
};

/// What the gate decided; starts hold a slot until finished() is called for them.
struct GateStep
{
    std::vector<AttemptId> starts;
    std::vector<GateRefusal> refusals;
};

/// How a started request ended.
enum class RunEnd : std::uint8_t {
    Answered,     ///< A whole answer came.
    Shed,         ///< The backend server refused before running it.
    NotConnected, ///< The request never reached the backend server.
    Failed        ///< Handed over, no whole answer.
};

/// The order in which waiting requests are chosen.
enum class GateDiscipline : std::uint8_t {
    Ranked,      ///< Urgent first, floors for the others, ceilings, headroom.
    FirstCome,   ///< One queue for all; kept for comparison.
    StrictRank,  ///< Urgent first without floors or ceilings; kept for comparison.
    FixedShares, ///< Each rank only within its floor's share; kept for comparison.
    InTimeFirst  ///< Urgent first; what can no longer meet its objective comes after all that can.
};

/// Admission to one backend server. Not thread-safe.
///
/// Invariants: started and unfinished requests never exceed the slot limit at the time of the
/// start; every request is started or refused exactly once; a refused request never started.
class Gate final
{
public:
    Gate(SlotLimit limit, const std::map<RankId, Rank> &ranks,
         GateDiscipline discipline = GateDiscipline::Ranked);

    /// Takes over the policy of a new configuration version; waiting requests stay queued.
    void setRanks(const std::map<RankId, Rank> &ranks);
    SlotLimit &limit() { return m_limit; }

    GateStep arrive(const GateCall &call, absl::Time now);
    GateStep finished(AttemptId attempt, RunEnd end, absl::Time now);
    /// The caller gave up. True if the request was still waiting and now never runs.
    bool cancel(AttemptId attempt);
    /// Refuses what waits and everything that still comes; started requests go on.
    GateStep drain(absl::Time now);
    /// A new process took the place of the one that was drained.
    void reopen() { m_draining = false; }
    /// Refuses what can no longer be served in time. Call it about every 10 ms.
    GateStep tick(absl::Time now);

    GateLoad load(absl::Time now) const;
    bool isDraining() const { return m_draining; }
    std::uint32_t inUse() const { return m_inUse; }

private:
    /// Queue, slots and service time of one rank.
    struct Lane
    {
        Rank policy;
        RankQueue queue;
        std::uint32_t inUse = 0;
        double meanSeconds = 0;     ///< Moving mean of service times; 0 until the first answer.
        std::uint32_t peak = 0;     ///< Highest demand in the current window.
        std::uint32_t lastPeak = 0; ///< Highest demand in the window before.

        std::uint32_t demand() const { return inUse + static_cast<std::uint32_t>(queue.size()); }
    };
    struct Running
    {
        std::size_t lane = 0;
        absl::Time started;
    };

    std::size_t laneOf(const RankId &rank) const;
    /// Lane for a request of \p lane that can no longer meet its objective.
    std::size_t lateLane(std::size_t lane) const;
    GateStep arriveInTimeFirst(const GateCall &call, absl::Time now);
    /// Wait behind everything that comes first, if all slots are taken.
    absl::Duration queueWait(std::size_t lane, std::uint32_t limit) const;
    std::uint32_t floorSlots(const Lane &lane, std::uint32_t limit) const;
    std::uint32_t ceilingSlots(const Lane &lane, std::uint32_t limit) const;
    std::uint32_t headroom(std::size_t lane, std::uint32_t limit) const;
    bool mayStart(std::size_t lane, std::uint32_t limit) const;
    std::optional<std::size_t> nextLane(std::uint32_t limit) const;
    void start(std::size_t lane, AttemptId attempt, absl::Time now, GateStep &step);
    void startWaiting(absl::Time now, GateStep &step);
    absl::Duration expectedWait(std::size_t lane, std::uint32_t limit) const;
    absl::Duration expectedService(std::size_t lane) const;
    void refuseHopeless(absl::Time now, GateStep &step);
    void notePeaks(absl::Time now);

    SlotLimit m_limit;
    GateDiscipline m_discipline;
    /// Most urgent first; never empty. InTimeFirst: all ranks in time, then all ranks late.
    std::vector<Lane> m_lanes;
    std::map<RankId, std::size_t> m_laneByRank;
    std::map<AttemptId, Running> m_running;
    std::uint32_t m_inUse = 0; ///< Equals m_running.size().
    bool m_draining = false;
    absl::Time m_window; ///< Start of the current window of peaks.
};

} // namespace godwitlift
