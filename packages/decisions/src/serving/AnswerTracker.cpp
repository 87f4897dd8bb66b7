/// \file
/// Length, identity and progress of answers.
#include "godwitlift/serving/AnswerTracker.h"

namespace godwitlift {

Reason AnswerTracker::head(AttemptId attempt, std::optional<std::uint64_t> length, absl::Time now)
{
    if (attempt != m_expected || m_headSeen)
        return Reason::AnswerMismatched;
    m_headSeen = true;
    m_length = length;
    m_progress = now;
    return Reason::None;
}

Reason AnswerTracker::body(std::uint64_t bytes, absl::Time now)
{
    m_received += bytes;
    if (!m_headSeen || (m_length && m_received > *m_length))
        return Reason::AnswerMismatched;
    if (bytes > 0)
        m_progress = now;
    return Reason::None;
}

Reason AnswerTracker::end(absl::Time now)
{
    if (!m_headSeen || (m_length && m_received != *m_length))
        return Reason::AnswerTruncated;
    m_progress = now;
    m_whole = true;
    return Reason::None;
}

Reason AnswerTracker::check(absl::Time now) const
{
    return !m_whole && now - m_progress >= m_stallTimeout ? Reason::AnswerStalled : Reason::None;
}

} // namespace godwitlift
