/// \file
/// Retry decisions by verdict, retry safety, attempt limit and remaining time.
#include "godwitlift/traffic/AttemptPolicy.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

namespace {

FailedAttempt failedAttempt(Verdict worstVerdict, RetrySafety retrySafety)
{
    FailedAttempt attempt;
    attempt.verdict = worstVerdict;
    attempt.worstVerdict = worstVerdict;
    attempt.retrySafety = retrySafety;
    attempt.serversReached = 1;
    attempt.attemptLimit = 2;
    attempt.timeLeft = absl::Seconds(1);
    attempt.minTimeForRetry = absl::Milliseconds(50);
    return attempt;
}

} // namespace

TEST_CASE("a request that may have run is retried only if it is idempotent")
{
    CHECK(decideRetry(failedAttempt(Verdict::MayHaveRun, RetrySafety::AtMostOnce))
          == RetryDecision::Fail);
    CHECK(decideRetry(failedAttempt(Verdict::MayHaveRun, RetrySafety::Idempotent))
          == RetryDecision::Retry);
    CHECK(decideRetry(failedAttempt(Verdict::NotRun, RetrySafety::AtMostOnce))
          == RetryDecision::Retry);
}

TEST_CASE("a request is refused as not run only if no attempt may have run")
{
    FailedAttempt attempt = failedAttempt(Verdict::NotRun, RetrySafety::AtMostOnce);
    attempt.timeLeft = absl::ZeroDuration();
    CHECK(decideRetry(attempt) == RetryDecision::Refuse);
    attempt.worstVerdict = Verdict::MayHaveRun;
    CHECK(decideRetry(attempt) == RetryDecision::Fail);
}

TEST_CASE("no retry beyond the route's attempt limit or the remaining time")
{
    FailedAttempt attempt = failedAttempt(Verdict::MayHaveRun, RetrySafety::Idempotent);
    attempt.serversReached = 2;
    CHECK(decideRetry(attempt) == RetryDecision::Fail);
    attempt.serversReached = 1;
    attempt.timeLeft = absl::Milliseconds(40);
    CHECK(decideRetry(attempt) == RetryDecision::Fail);
}

TEST_CASE("a request is not retried once part of an answer was sent")
{
    FailedAttempt attempt = failedAttempt(Verdict::MayHaveRun, RetrySafety::Idempotent);
    attempt.isAnswerStarted = true;
    CHECK(decideRetry(attempt) == RetryDecision::AbortAnswer);
}
