/// \file
/// Decides whether a failed attempt of a request is retried or how the request ends.
#pragma once

#include "godwitlift/base/Verdict.h"
#include "godwitlift/traffic/RouteCatalogue.h"

#include <absl/time/time.h>

#include <cstdint>

namespace godwitlift {

/// State of a request after an attempt that brought no usable answer.
struct FailedAttempt
{
    Verdict verdict = Verdict::MayHaveRun;  ///< Of this attempt.
    Verdict worstVerdict = Verdict::NotRun; ///< Most severe verdict of all attempts so far.
    RetrySafety retrySafety = RetrySafety::AtMostOnce;
    bool isAnswerStarted = false;     ///< Part of an answer was sent to the client.
    std::uint32_t serversReached = 0; ///< Attempts that reached a backend server.
    std::uint32_t attemptLimit = 1;
    absl::Duration timeLeft; ///< Until the client's deadline or the route's timeout.
    /// Shortest time in which another attempt can succeed; a retry needs more time left than this.
    absl::Duration minTimeForRetry;
};

/// What to do after a failed attempt.
enum class RetryDecision : std::uint8_t {
    Retry,      ///< Send another attempt if the retry budget allows it.
    Refuse,     ///< Answer 503: the request did not run and will not run.
    Fail,       ///< Answer 502 or 504: the request may have run.
    AbortAnswer ///< Abort the started answer so that the client sees it as incomplete.
};

/// Retries if the request is safe to repeat and has attempts and time left.
RetryDecision decideRetry(const FailedAttempt &attempt);

/// The decision if no further attempt is possible.
RetryDecision decideWithoutRetry(const FailedAttempt &attempt);

} // namespace godwitlift
