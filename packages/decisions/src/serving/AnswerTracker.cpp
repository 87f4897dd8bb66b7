/// \file
/// Checks of the identity, length and progress of an answer.
#include "godwitlift/serving/AnswerTracker.h"

namespace godwitlift {

Reason AnswerTracker::onHead(AttemptId attempt, std::optional<std::uint64_t> length, absl::Time now)
{
    if (attempt != m_expectedAttempt || m_isHeadSeen)
        return Reason::AnswerMismatched;
    m_isHeadSeen = true;
    m_expectedBytes = length;
    m_lastProgress = now;
    return Reason::None;
}

Reason AnswerTracker::onBody(std::uint64_t bytes, absl::Time now)
{
    m_receivedBytes += bytes;
    if (!m_isHeadSeen || (m_expectedBytes && m_receivedBytes > *m_expectedBytes))
        return Reason::AnswerMismatched;
    if (bytes > 0)
        m_lastProgress = now;
    return Reason::None;
}

Reason AnswerTracker::onEnd(absl::Time now)
{
    if (!m_isHeadSeen || (m_expectedBytes && m_receivedBytes != *m_expectedBytes))
        return Reason::AnswerTruncated;
    m_lastProgress = now;
    m_isComplete = true;
    return Reason::None;
}

Reason AnswerTracker::checkProgress(absl::Time now) const
{
    return !m_isComplete && now - m_lastProgress >= m_stallTimeout ? Reason::AnswerStalled
                                                                   : Reason::None;
}

} // namespace godwitlift
