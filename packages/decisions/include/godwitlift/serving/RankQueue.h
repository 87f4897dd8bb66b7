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
struct WaitingCall
{
    AttemptId attempt;
    CallerId caller;
    absl::Time arrived;
    absl::Time deadline;
};

/// Bounded queue that serves its callers in turn. Not thread-safe.
///
/// When the queue is full, the caller with the most waiting requests gives way: its newest request
/// is displaced, unless that caller is the one that asks.
class RankQueue final
{
public:
    /// What became of a push.
    struct Push
    {
        bool queued = false;
        bool isOverShare =
                false; ///< Not queued because others wait too and the caller has its share.
        std::optional<WaitingCall> displaced;
    };

    Push push(WaitingCall call, std::size_t limit);
    std::optional<WaitingCall> pop();
    /// Takes out one request; false if it does not wait here.
    bool remove(AttemptId attempt);
    /// Takes out every request for which \p isHopeless holds.
    std::vector<WaitingCall> removeIf(const std::function<bool(const WaitingCall &)> &isHopeless);

    std::size_t size() const { return m_size; }
    bool isEmpty() const { return m_size == 0; }

private:
    void forgetIfEmpty(const CallerId &caller);

    std::map<CallerId, std::deque<WaitingCall>> m_byCaller; ///< No queue in it is empty.
    std::list<CallerId> m_turns; ///< Callers in m_byCaller, next one first.
    std::size_t m_size = 0;
};

} // namespace godwitlift
