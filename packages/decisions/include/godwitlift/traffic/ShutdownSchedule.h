/// \file
/// Timetable of a graceful stop, and which requests can still complete during it.
#pragma once

#include <absl/time/time.h>

namespace godwitlift {

/// What is known about a request that a stopping node could send to a backend server.
struct CompletionEstimate
{
    absl::Time deadline;             ///< The request ends by then, answered or not.
    absl::Duration expectedDuration; ///< Until its answer; zero if unknown.
};

/// Phases of the stop of a node, from SIGTERM to its exit. Immutable.
///
/// Invariants: isAccepting() ends before finalAnswerTime(), which is before exitTime(), and that is
/// before the end of the stop timeout.
class ShutdownSchedule final
{
public:
    ShutdownSchedule(absl::Time start, absl::Duration stopTimeout);

    /// Requests are accepted until the platform has withdrawn the node from its clients.
    bool isAccepting(absl::Time now) const { return now < m_acceptingUntil; }
    /// Calls that are still open at this time get their final answer.
    absl::Time finalAnswerTime() const { return m_finalAnswerTime; }
    /// The node exits by this time.
    absl::Time exitTime() const { return m_exitTime; }
    /// Whether a request that is sent to a backend server at \p now can be expected to be answered
    /// before finalAnswerTime(). One that cannot would be cut off while its server runs it.
    bool canComplete(const CompletionEstimate &request, absl::Time now) const;

private:
    absl::Time m_acceptingUntil;
    absl::Time m_finalAnswerTime;
    absl::Time m_exitTime;
};

} // namespace godwitlift
