/// \file
/// Charges, quarantine and trials of requests under which servers crash.
#include "godwitlift/traffic/CrashHistory.h"

#include <algorithm>

namespace godwitlift {

bool CrashHistory::charge(const ServerCrash &crash, absl::Time now)
{
    return !protectingAnswerAge(crash.content, now) && insert(crash, now, now);
}

std::optional<absl::Duration> CrashHistory::protectingAnswerAge(ContentDigest content,
                                                                absl::Time now) const
{
    const auto answer = m_answers.find(content);
    if (answer == m_answers.end() || now - answer->second >= AnswerProtection)
        return std::nullopt;
    return now - answer->second;
}

void CrashHistory::add(const AgedCrash &crash, absl::Time now)
{
    insert(crash.crash, now - crash.age, now);
}

bool CrashHistory::insert(const ServerCrash &crash, absl::Time crashTime, absl::Time now)
{
    const auto known = m_charges.find(crash.content);
    if (known != m_charges.end()
        && std::find(known->second.processes.begin(), known->second.processes.end(), crash.process)
                   != known->second.processes.end())
        return false;
    if (known == m_charges.end())
        evict(now);
    Charges &charges = m_charges[crash.content];
    charges.processes.push_back(crash.process);
    charges.lastCrash = std::max(charges.lastCrash, crashTime);
    return true;
}

void CrashHistory::evict(absl::Time now)
{
    absl::erase_if(m_charges, [&](const auto &entry) {
        return !isQuarantined(entry.first, now) && now - entry.second.lastCrash > ChargeExpiry;
    });
    if (m_charges.size() < MaxRequests)
        return;
    m_charges.erase(
            std::min_element(m_charges.begin(), m_charges.end(), [](const auto &a, const auto &b) {
                return a.second.lastCrash < b.second.lastCrash;
            }));
}

bool CrashHistory::onAnswered(ContentDigest content, absl::Time now)
{
    const auto [it, isNew] = m_answers.insert_or_assign(content, now);
    if (isNew) {
        m_answerOrder.push_back(content);
        if (m_answerOrder.size() > MaxAnswers) {
            m_answers.erase(m_answerOrder.front());
            m_answerOrder.pop_front();
        }
    }
    return m_charges.erase(content) > 0;
}

absl::Time CrashHistory::quarantineEnd(const Charges &charges)
{
    if (charges.processes.size() < CrashLimit)
        return absl::InfinitePast();
    absl::Duration length = InitialQuarantine;
    for (std::size_t i = CrashLimit; i < charges.processes.size() && length < MaxQuarantine; ++i)
        length *= 2;
    return charges.lastCrash + std::min(length, MaxQuarantine);
}

bool CrashHistory::isQuarantined(ContentDigest content, absl::Time now) const
{
    return quarantineLeft(content, now) > absl::ZeroDuration();
}

absl::Duration CrashHistory::quarantineLeft(ContentDigest content, absl::Time now) const
{
    const auto it = m_charges.find(content);
    if (it == m_charges.end())
        return absl::ZeroDuration();
    return std::max(quarantineEnd(it->second) - now, absl::ZeroDuration());
}

CrashAdmission CrashHistory::admit(ContentDigest content, absl::Time now)
{
    const auto it = m_charges.find(content);
    if (it == m_charges.end() || it->second.processes.size() < CrashLimit)
        return CrashAdmission::Send;
    if (now < quarantineEnd(it->second) || now - it->second.lastTrial < TrialInterval)
        return CrashAdmission::Refuse;
    it->second.lastTrial = now;
    return CrashAdmission::Trial;
}

bool CrashHistory::isTrialDue(ContentDigest content, const std::optional<CrashTrial> &latest,
                              absl::Time now) const
{
    if (isQuarantined(content, now))
        return false;
    const auto it = m_charges.find(content);
    const std::size_t crashCount = it == m_charges.end() ? 0 : it->second.processes.size();
    return !latest || latest->crashCount < crashCount || latest->age >= TrialExpiry;
}

std::vector<AgedCrash> CrashHistory::crashes(ContentDigest content, absl::Time now) const
{
    std::vector<AgedCrash> crashes;
    const auto it = m_charges.find(content);
    if (it == m_charges.end())
        return crashes;
    for (const ServerProcess process : it->second.processes)
        crashes.push_back({ { content, process }, now - it->second.lastCrash });
    return crashes;
}

std::vector<AgedCrash> CrashHistory::list(absl::Time now) const
{
    std::vector<AgedCrash> all;
    for (const auto &[content, charges] : m_charges) {
        const std::vector<AgedCrash> some = crashes(content, now);
        all.insert(all.end(), some.begin(), some.end());
    }
    return all;
}

} // namespace godwitlift
