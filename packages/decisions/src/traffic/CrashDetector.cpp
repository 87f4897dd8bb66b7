/// \file
/// Lost answers and their confirmation.
#include "godwitlift/traffic/CrashDetector.h"

namespace godwitlift {

void CrashDetector::onAnswerLost(ContentDigest content, ServerProcess process, absl::Time now)
{
    if (content == ContentDigest())
        return;
    m_lostAnswers.push_back({ { content, process }, now });
}

void CrashDetector::onAnswer(absl::Time started)
{
    std::erase_if(m_lostAnswers, [&](const LostAnswer &lost) { return lost.time < started; });
}

std::vector<ServerCrash> CrashDetector::onServerEnded(absl::Time now)
{
    std::vector<ServerCrash> crashes;
    for (const LostAnswer &lost : m_lostAnswers) {
        if (now - lost.time <= ConfirmationTime)
            crashes.push_back(lost.crash);
    }
    m_lostAnswers.clear();
    return crashes;
}

} // namespace godwitlift
