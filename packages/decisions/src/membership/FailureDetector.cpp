/// \file
/// Probing, suspicion and self-doubt.
#include "godwitlift/membership/FailureDetector.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// Probe results that self-doubt looks at.
constexpr std::size_t RecentProbes = 6;
/// Zones smaller than this are too small for a majority to mean anything.
constexpr std::size_t SmallZone = 4;

HostRecord withLiveness(const HostRecord &record, Liveness liveness)
{
    HostRecord belief = record;
    belief.stamp.liveness = liveness;
    return belief;
}

} // namespace

FailureDetector::FailureDetector(HostId self, ZoneId zone, FailureDetectorPolicy policy)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_policy(policy)
{}

DetectorStep FailureDetector::tick(const HostDirectory &directory, absl::Time now,
                                   RandomSource &random)
{
    DetectorStep step;
    updateSelfDoubt(directory);
    followUp(directory, now, random, step);
    judgeSuspects(directory, now, step);
    if (now >= m_nextProbe)
        sendNext(directory, now, random, step);
    return step;
}

void FailureDetector::acknowledged(std::uint64_t number)
{
    if (m_pending.erase(number) > 0)
        noteResult(true);
}

void FailureDetector::noteResult(bool answered)
{
    m_recent.push_back(answered);
    if (m_recent.size() > RecentProbes)
        m_recent.pop_front();
}

void FailureDetector::updateSelfDoubt(const HostDirectory &directory)
{
    const auto members = directory.members(m_zone);
    std::size_t suspects = 0;
    for (const HostRecord *member : members)
        suspects += member->stamp.liveness == Liveness::Suspect ? 1 : 0;
    const auto lost = std::count(m_recent.begin(), m_recent.end(), false);
    const bool probesFail = 2 * static_cast<std::size_t>(lost) > RecentProbes;
    const bool zoneSuspect = members.size() >= SmallZone && 2 * suspects > members.size();
    m_doubtingItself = members.size() >= SmallZone && (probesFail || zoneSuspect);
}

void FailureDetector::sendNext(const HostDirectory &directory, absl::Time now, RandomSource &random,
                               DetectorStep &step)
{
    m_nextProbe = now + m_policy.probePeriod;
    if (m_round.empty()) {
        for (const HostRecord *member : directory.members(m_zone)) {
            if (member->host != m_self)
                m_round.push_back(member->host);
        }
        for (std::size_t i = m_round.size(); i > 1; --i)
            std::swap(m_round[i - 1], m_round[random.uniformBelow(i)]);
    }
    while (!m_round.empty()) {
        const HostId target = m_round.back();
        m_round.pop_back();
        const HostRecord *record = directory.find(target);
        if (record == nullptr || !record->isMember())
            continue;
        const std::uint64_t number = m_nextNumber++;
        m_pending[number] = { target, now, false };
        step.probes.push_back({ number, target, target });
        return;
    }
}

void FailureDetector::followUp(const HostDirectory &directory, absl::Time now, RandomSource &random,
                               DetectorStep &step)
{
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        Probe &probe = it->second;
        const HostRecord *record = directory.find(probe.target);
        if (record == nullptr || !record->isMember()) {
            it = m_pending.erase(it);
            continue;
        }
        if (now - probe.sent >= m_policy.probeTimeout) {
            noteResult(false);
            if (!m_doubtingItself && record->stamp.liveness == Liveness::Alive)
                step.beliefs.push_back(withLiveness(*record, Liveness::Suspect));
            it = m_pending.erase(it);
            continue;
        }
        if (!probe.indirect && now - probe.sent >= m_policy.directTimeout) {
            probe.indirect = true;
            const auto members = directory.members(m_zone);
            for (int i = 0; i < m_policy.indirectProbes; ++i) {
                const HostId &helper = members[random.uniformBelow(members.size())]->host;
                if (helper != m_self && helper != probe.target)
                    step.probes.push_back({ it->first, helper, probe.target });
            }
        }
        ++it;
    }
}

void FailureDetector::judgeSuspects(const HostDirectory &directory, absl::Time now,
                                    DetectorStep &step)
{
    std::map<HostId, absl::Time> still;
    for (const HostRecord *member : directory.members(m_zone)) {
        if (member->stamp.liveness != Liveness::Suspect || member->host == m_self)
            continue;
        const auto known = m_suspectedSince.find(member->host);
        const absl::Time since = known == m_suspectedSince.end() ? now : known->second;
        if (m_doubtingItself) {
            still[member->host] = now; // The suspicion starts again once the doubt is over.
            continue;
        }
        if (now - since < m_policy.suspicionTime) {
            still[member->host] = since;
            continue;
        }
        step.beliefs.push_back(withLiveness(*member, Liveness::Dead));
    }
    m_suspectedSince = std::move(still);
}

} // namespace godwitlift
