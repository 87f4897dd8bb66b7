/// \file
/// What follows the end of one attempt of a request: another attempt or a final answer.
#pragma once

#include "godwitlift/base/Verdict.h"
#include "godwitlift/traffic/RouteCatalogue.h"

#include <absl/time/time.h>

#include <cstdint>

namespace godwitlift {

/// What is known when an attempt has ended without an answer that can be passed on.
struct FailedAttempt
{
    Verdict verdict = Verdict::MayHaveRun; ///< Of this attempt.
    Verdict worst = Verdict::NotRun;       ///< Gravest verdict of all attempts of the request.
    Replay replay = Replay::AtMostOnce;
    bool hasAnswerBegun = false;      ///< Part of an answer has gone to the client.
    std::uint32_t serversReached = 0; ///< Attempts that reached a backend server.
    std::uint32_t attemptLimit = 1;
    absl::Duration left;            ///< Until the client's deadline or the route's timeout.
    absl::Duration expectedService; ///< Shortest time in which another attempt can succeed.
};

/// The next step.
enum class NextStep : std::uint8_t {
    TryAgain, ///< If the retry budget allows it.
    Refuse,   ///< 503: has not run and never will.
    Fail,     ///< 502 or 504: may have run.
    CutOff    ///< The answer has begun: end it so that it is visibly incomplete.
};

/// Decides after an attempt that brought no answer.
NextStep nextStep(const FailedAttempt &attempt);

/// The step that is left if no other attempt can be made.
NextStep finalStep(const FailedAttempt &attempt);

} // namespace godwitlift
