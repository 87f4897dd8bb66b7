/// \file
/// Phases of a graceful stop.
#include "godwitlift/traffic/ShutdownSchedule.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// Time after SIGTERM in which the node still accepts requests, until the platform has withdrawn it
/// from the clients: the platform checks readiness once a second and acts on two failures in a row.
constexpr absl::Duration ReadinessPropagationTime = absl::Milliseconds(2300);
/// Part of the stop timeout that is reserved for answering the calls that are still open: a few
/// round trips to a client and the exit.
constexpr absl::Duration FinalAnswerMargin = absl::Milliseconds(250);
/// Part of the stop timeout that is reserved for exiting; longer than the node's tick.
constexpr absl::Duration ExitMargin = absl::Milliseconds(150);
/// Largest part of the stop timeout that the margins take together.
constexpr double MaxMarginShare = 1.0 / 8;
/// Factor on the expected duration of a request, since durations vary.
constexpr double DurationMargin = 1.5;

} // namespace

ShutdownSchedule::ShutdownSchedule(absl::Time start, absl::Duration stopTimeout)
    : m_finalAnswerTime(start + stopTimeout
                        - std::min(FinalAnswerMargin, stopTimeout * MaxMarginShare))
    , m_exitTime(start + stopTimeout - std::min(ExitMargin, stopTimeout * MaxMarginShare / 2))
{
    m_acceptingUntil = std::min(start + ReadinessPropagationTime, m_finalAnswerTime);
}

bool ShutdownSchedule::canComplete(const CompletionEstimate &request, absl::Time now) const
{
    return request.deadline <= m_finalAnswerTime
           || now + request.expectedDuration * DurationMargin <= m_finalAnswerTime;
}

} // namespace godwitlift
