/// \file
/// Retry rules by verdict and retry safety.
#include "godwitlift/traffic/AttemptPolicy.h"

namespace godwitlift {

RetryDecision decideWithoutRetry(const FailedAttempt &attempt)
{
    if (attempt.hasAnswerBegun)
        return RetryDecision::AbortAnswer;
    return attempt.worstVerdict == Verdict::NotRun ? RetryDecision::Refuse : RetryDecision::Fail;
}

RetryDecision decideRetry(const FailedAttempt &attempt)
{
    const bool isProvedNotRun = attempt.worstVerdict == Verdict::NotRun;
    const bool isRetrySafe = isProvedNotRun || attempt.retrySafety == RetrySafety::Idempotent;
    if (attempt.hasAnswerBegun || !isRetrySafe)
        return decideWithoutRetry(attempt);
    if (attempt.serversReached >= attempt.attemptLimit)
        return decideWithoutRetry(attempt);
    if (attempt.timeLeft <= attempt.expectedServiceTime)
        return decideWithoutRetry(attempt);
    return RetryDecision::Retry;
}

} // namespace godwitlift
