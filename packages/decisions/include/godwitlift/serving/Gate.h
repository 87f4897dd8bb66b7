/// \file
/// Admission control for one backend server: concurrency slots, the server's request limit, a queue
/// for each rank, and early refusal of requests that cannot meet their deadline.
#pragma once

#include "godwitlift/base/Verdict.h"
#include "godwitlift/configuration/Configuration.h"
#include "godwitlift/serving/CommonWaitLimit.h"
#include "godwitlift/serving/FairQueue.h"
#include "godwitlift/serving/RequestRateLimit.h"
#include "godwitlift/serving/SlotLimit.h"

#include <absl/time/time.h>

#include <map>
#include <memory>
#include <span>
#include <vector>

namespace godwitlift {

/// A request that asks for admission.
struct GateRequest
{
    AttemptId attempt; ///< Unique at this gate.
    RankId rank;
    CallerId caller; ///< Client account; empty for requests without one.
    absl::Time deadline;
    /// Time by which the answer should arrive; a later answer is of little value.
    absl::Time objective = absl::InfiniteFuture();
};

/// Load of one gate; reported to the ingress with every answer.
struct GateLoad
{
    std::uint32_t inUse = 0;
    std::uint32_t limit = 0;
    std::uint32_t queued = 0;
    /// Of these, without those of accounts with more than their share; by this hosts compare.
    std::uint32_t queuedWithinShares = 0;

    friend bool operator==(const GateLoad &, const GateLoad &) = default;
};

/// A request that the backend server has not received and will not receive from this gate.
struct GateRefusal
{
    AttemptId attempt;
    Reason reason = Reason::None;
    absl::Duration retryAfter;
};

/// Requests to start or to refuse. A started request holds a slot until onRunEnded() is called for
/// it.
struct GateActions
{
    std::vector<AttemptId> starts;
    std::vector<GateRefusal> refusals;
};

/// How a started request ended.
enum class RunOutcome : std::uint8_t {
    Answered,     ///< A complete answer was received.
    Shed,         ///< The backend server refused the request without running it.
    NotConnected, ///< The request never reached the backend server.
    Failed        ///< The request was sent, but no complete answer was received.
};

/// The order in which queued requests are started.
enum class QueueDiscipline : std::uint8_t {
    PriorityWithFloors, ///< By urgency, with a floor and a ceiling for each rank and headroom for
                        ///< urgent ranks.
    Fifo,               ///< One queue for all ranks; a baseline for comparison.
    StrictPriority,     ///< By urgency without floors or ceilings; a baseline for comparison.
    FixedShares,        ///< Each rank within its floor's share only; a baseline for comparison.
    OnTimeFirst         ///< By urgency; requests that can no longer meet their objective come last,
                ///< but those of a rank that is served less often than a less urgent one come
                ///< right after the others of their rank.
};

/// Admission control for one backend server. Not thread-safe.
///
/// Invariants: when a request starts, the number of running requests does not exceed the slot
/// limit, and the request limit has a token for it; every request that is not cancelled is started
/// or refused exactly once; a refused request never starts.
class Gate final
{
public:
    Gate(SlotLimit slotLimit, const std::map<RankId, Rank> &ranks,
         QueueDiscipline discipline = QueueDiscipline::PriorityWithFloors);

    /// Applies the ranks of a new configuration version; queued requests stay queued.
    void setRanks(const std::map<RankId, Rank> &ranks);
    SlotLimit &slotLimit() { return m_slotLimit; }

    GateActions submit(const GateRequest &request, absl::Time now);
    /// Latest time at which \p request has to start for its answer to be in time, or, if it is late
    /// already, at which it may still start. Only with OnTimeFirst.
    absl::Time latestStart(const GateRequest &request, absl::Time now) const;
    GateActions onRunEnded(AttemptId attempt, RunOutcome outcome, absl::Time now);
    /// Removes a queued request. Returns false if the request is not queued, for instance because
    /// it has started.
    bool cancel(AttemptId attempt);
    /// Refuses all queued and all later requests; running requests continue.
    GateActions drain(absl::Time now);
    /// Admits requests again after a new process has replaced the drained one.
    void reopen() { m_draining = false; }
    /// The backend server takes only so many requests per second; none lifts the limit.
    GateActions setRequestLimit(std::optional<double> requestsPerSecond, absl::Time now);
    /// The backend server has been replaced by one that has stated no request limit yet.
    void resetRequestLimit() { m_rateLimit.reset(); }
    /// Counts a request to the backend server that did not pass the gate, such as a health probe.
    void onExternalRequest(absl::Time now) { m_rateLimit.onStarted(now); }
    /// Refuses queued requests that can no longer meet their deadline and starts others as slots
    /// become free. With OnTimeFirst, requests that were on time on arrival are refused when they
    /// can no longer meet their objective. Must be called about every 10 ms.
    GateActions tick(absl::Time now);

    GateLoad load(absl::Time now) const;
    const RequestRateLimit &rateLimit() const { return m_rateLimit; }
    bool isDraining() const { return m_draining; }
    std::uint32_t inUse() const { return m_inUse; }

private:
    /// Queue, slots in use and service time of one rank. With OnTimeFirst, each rank has a second
    /// level for its late requests.
    struct PriorityLevel
    {
        Rank policy;
        FairQueue queue;
        std::uint32_t inUse = 0;
        double meanServiceSeconds = 0;        ///< Moving average; 0 until the first answer.
        std::uint32_t peakDemand = 0;         ///< In the current window.
        std::uint32_t previousPeakDemand = 0; ///< In the previous window.
        CommonWaitLimit commonWaitLimit;      ///< Of on-time requests; with OnTimeFirst only.
        /// Requests of the level that started, and that were refused for load; halved each window.
        double started = 0;
        double refused = 0;

        std::uint32_t demand() const { return inUse + static_cast<std::uint32_t>(queue.size()); }
    };
    struct RunningRequest
    {
        std::size_t level = 0;
        absl::Time startTime;
    };

    std::size_t levelOf(const RankId &rank) const;
    /// Level for requests of \p level that can no longer meet their objective.
    std::size_t lateLevel(std::size_t level) const;
    GateActions submitOnTimeFirst(const GateRequest &request, absl::Time now);
    /// Orders the levels by the served shares of the ranks.
    void orderLevels();
    /// The levels that are served before \p level.
    std::span<const std::size_t> levelsBefore(std::size_t level) const;
    /// Expected wait behind the queues of \p level and of all more urgent levels when all slots are
    /// in use.
    absl::Duration expectedWaitAcrossLevels(std::size_t level, std::uint32_t limit) const;
    /// As above for a request behind \p ahead requests of \p level.
    absl::Duration expectedWaitBehind(std::size_t level, std::size_t ahead,
                                      std::uint32_t limit) const;
    /// Longest wait for which an on-time request of \p level is accepted. \p slack is the time
    /// until its objective.
    absl::Duration acceptedWait(std::size_t level, absl::Duration slack) const;
    std::uint32_t floorSlots(const PriorityLevel &level, std::uint32_t limit) const;
    std::uint32_t ceilingSlots(const PriorityLevel &level, std::uint32_t limit) const;
    /// Slots that \p level leaves free for more urgent levels.
    std::uint32_t headroom(std::size_t level, std::uint32_t limit) const;
    bool mayStart(std::size_t level, std::uint32_t limit, absl::Time now) const;
    std::optional<std::size_t> nextLevel(std::uint32_t limit, absl::Time now) const;
    /// Calls of backend servers, which come before all ranks of clients; with OnTimeFirst only.
    bool isCallLevel(std::size_t level) const;
    /// Time until the request limit has room for a request behind the queues of \p level and of all
    /// more urgent levels.
    absl::Duration waitForRequestLimit(std::size_t level, absl::Time now) const;
    void start(std::size_t level, AttemptId attempt, absl::Time now, GateActions &actions);
    void startQueued(absl::Time now, GateActions &actions);
    /// Expected wait behind the queue of \p level alone, given the slots that more urgent levels
    /// leave.
    absl::Duration expectedWaitInLevel(std::size_t level, std::uint32_t limit) const;
    absl::Duration expectedServiceTime(std::size_t level) const;
    void refuseUnmeetable(absl::Time now, GateActions &actions);
    void recordPeakDemand(absl::Time now);

    SlotLimit m_slotLimit;
    RequestRateLimit m_rateLimit;
    QueueDiscipline m_discipline;
    /// Most urgent first; never empty. With OnTimeFirst, the on-time levels of all ranks come
    /// before the late levels. See m_order for the order of service.
    std::vector<PriorityLevel> m_levels;
    std::vector<std::size_t> m_order; ///< Indexes of all levels in the order of service.
    std::map<RankId, std::size_t> m_levelByRank;
    std::map<AttemptId, RunningRequest> m_running;
    std::uint32_t m_inUse = 0; ///< Equals m_running.size().
    /// Queued calls of backend servers that started since a queued request of a client did, at most
    /// as many as may start in a row.
    std::uint32_t m_callsInRow = 0;
    bool m_draining = false;
    absl::Time m_peakWindowStart;
};

} // namespace godwitlift
