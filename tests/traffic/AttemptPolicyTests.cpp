/// \file
/// What follows a failed attempt, by verdict and kind of route.
#include "godwitlift/traffic/AttemptPolicy.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

namespace {

FailedAttempt failed(Verdict worst, Replay replay)
{
    FailedAttempt attempt;
    attempt.verdict = worst;
    attempt.worst = worst;
    attempt.replay = replay;
    attempt.serversReached = 1;
    attempt.attemptLimit = 2;
    attempt.left = absl::Seconds(1);
    attempt.expectedService = absl::Milliseconds(50);
    return attempt;
}

} // namespace

TEST_CASE("a request that may have run is repeated only if it is idempotent")
{
    CHECK(nextStep(failed(Verdict::MayHaveRun, Replay::AtMostOnce)) == NextStep::Fail);
    CHECK(nextStep(failed(Verdict::MayHaveRun, Replay::Idempotent)) == NextStep::TryAgain);
    CHECK(nextStep(failed(Verdict::NotRun, Replay::AtMostOnce)) == NextStep::TryAgain);
}

TEST_CASE("refused as not run only if no attempt may have run")
{
    FailedAttempt attempt = failed(Verdict::NotRun, Replay::AtMostOnce);
    attempt.left = absl::ZeroDuration();
    CHECK(nextStep(attempt) == NextStep::Refuse);
    attempt.worst = Verdict::MayHaveRun;
    CHECK(nextStep(attempt) == NextStep::Fail);
}

TEST_CASE("no attempt beyond the route's limit or the time that is left")
{
    FailedAttempt attempt = failed(Verdict::MayHaveRun, Replay::Idempotent);
    attempt.serversReached = 2;
    CHECK(nextStep(attempt) == NextStep::Fail);
    attempt.serversReached = 1;
    attempt.left = absl::Milliseconds(40);
    CHECK(nextStep(attempt) == NextStep::Fail);
}

TEST_CASE("an answer that has begun is never followed by another")
{
    FailedAttempt attempt = failed(Verdict::MayHaveRun, Replay::Idempotent);
    attempt.hasAnswerBegun = true;
    CHECK(nextStep(attempt) == NextStep::CutOff);
}
