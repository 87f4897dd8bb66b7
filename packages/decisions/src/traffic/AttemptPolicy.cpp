/// \file
/// Retry rules by verdict and retry safety.
#include "godwitlift/traffic/AttemptPolicy.h"

namespace godwitlift {

RetryDecision decideWithoutRetry(const FailedAttempt &attempt)
{
    if (attempt.isAnswerStarted)
        return RetryDecision::AbortAnswer;
    return attempt.worstVerdict == Verdict::NotRun ? RetryDecision::Refuse : RetryDecision::Fail;
}

RetryDecision decideRetry(const FailedAttempt &attempt)
{
    const bool isProvedNotRun = attempt.worstVerdict == Verdict::NotRun;
    const bool isRetrySafe = isProvedNotRun || attempt.retrySafety == RetrySafety::Idempotent;
    if (attempt.isAnswerStarted || !isRetrySafe)
        return decideWithoutRetry(attempt);
    if (attempt.serversReached >= attempt.attemptLimit)
        return decideWithoutRetry(attempt);
    if (attempt.timeLeft <= attempt.minTimeForRetry)
        return decideWithoutRetry(attempt);
    return RetryDecision::Retry;
}

} // namespace godwitlift
