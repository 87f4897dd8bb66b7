/// \file
/// Waiting requests of one rank, shared fairly among callers.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace godwitlift {

/// A request that waits for a slot.
struct QueuedRequest
{
    AttemptId attempt;
    CallerId caller;
    absl::Time arrivalTime;
    /// With QueueDiscipline::OnTimeFirst, the objective of a request that was on time on arrival,
    /// if that is earlier.
    absl::Time deadline;
};

/// Bounded queue that serves its callers in turn. Not thread-safe.
///
/// When the queue is full, a new request displaces the newest request of the caller with the most
/// queued requests if that caller has at least two more than the caller of the new request.
class FairQueue final
{
public:
    struct PushResult
    {
        bool isQueued = false;
        /// Not queued: the queue is full, several callers share it, and with this request its
        /// caller would have at least as many as any other.
        bool isOverFairShare = false;
        std::optional<QueuedRequest> displaced; ///< Removed to make room.
    };

    PushResult push(QueuedRequest request, std::size_t limit);
    std::optional<QueuedRequest> pop();
    /// Returns false if the request is not in the queue.
    bool remove(AttemptId attempt);
    /// Removes and returns every request for which \p predicate holds.
    std::vector<QueuedRequest>
    removeIf(const std::function<bool(const QueuedRequest &)> &predicate);

    /// Number of queued requests that would be popped before a new one of \p caller.
    std::size_t requestsAhead(const CallerId &caller) const;
    std::size_t size() const { return m_size; }
    /// Number of queued requests without what client accounts have above one more than the mean of
    /// the callers. Requests of other accounts do not wait for those.
    std::size_t sizeWithinShares() const;
    bool isEmpty() const { return m_size == 0; }

private:
    void removeIfEmpty(const CallerId &caller);

    std::map<CallerId, std::deque<QueuedRequest>> m_byCaller; ///< No queue in it is empty.
    std::list<CallerId> m_callerOrder; ///< Callers in m_byCaller, next one first.
    std::size_t m_size = 0;
};

} // namespace godwitlift
