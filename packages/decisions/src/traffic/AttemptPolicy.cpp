/// \file
/// Retry rules by verdict.
#include "godwitlift/traffic/AttemptPolicy.h"

namespace godwitlift {

NextStep finalStep(const FailedAttempt &attempt)
{
    if (attempt.hasAnswerBegun)
        return NextStep::CutOff;
    return attempt.worst == Verdict::NotRun ? NextStep::Refuse : NextStep::Fail;
}

NextStep nextStep(const FailedAttempt &attempt)
{
    const bool isProvedUnrun = attempt.worst == Verdict::NotRun;
    const bool mayRepeat = isProvedUnrun || attempt.replay == Replay::Idempotent;
    if (attempt.hasAnswerBegun || !mayRepeat)
        return finalStep(attempt);
    if (attempt.serversReached >= attempt.attemptLimit)
        return finalStep(attempt);
    if (attempt.left <= attempt.expectedService)
        return finalStep(attempt);
    return NextStep::TryAgain;
}

} // namespace godwitlift
