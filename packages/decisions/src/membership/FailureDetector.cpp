/// \file
/// Probes, suspicions and detection of the node's own isolation.
#include "godwitlift/membership/FailureDetector.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// Number of latest probe results that the isolation check considers.
constexpr std::size_t RecentResultCount = 6;
/// In smaller zones a majority carries no information.
constexpr std::size_t MinMajorityZoneSize = 4;

HostRecord withLiveness(const HostRecord &record, Liveness liveness)
{
    HostRecord updated = record;
    updated.stamp.liveness = liveness;
    return updated;
}

} // namespace

FailureDetector::FailureDetector(HostId self, ZoneId zone, FailureDetectorPolicy policy)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_policy(policy)
{}

FailureDetectorActions FailureDetector::tick(const HostDirectory &directory, absl::Time now,
                                             RandomSource &random)
{
    FailureDetectorActions actions;
    updateIsolation(directory);
    checkPendingProbes(directory, now, random, actions);
    checkSuspicionTimeouts(directory, now, actions);
    if (now >= m_nextProbe)
        probeNextHost(directory, now, random, actions);
    return actions;
}

void FailureDetector::onProbeAnswer(std::uint64_t number)
{
    if (m_pending.erase(number) > 0)
        recordProbeResult(true);
}

void FailureDetector::recordProbeResult(bool answered)
{
    m_recentResults.push_back(answered);
    if (m_recentResults.size() > RecentResultCount)
        m_recentResults.pop_front();
}

void FailureDetector::updateIsolation(const HostDirectory &directory)
{
    const auto members = directory.members(m_zone);
    std::size_t suspects = 0;
    for (const HostRecord *member : members)
        suspects += member->stamp.liveness == Liveness::Suspect ? 1 : 0;
    const auto failed = std::count(m_recentResults.begin(), m_recentResults.end(), false);
    const bool mostProbesFailed = 2 * static_cast<std::size_t>(failed) > RecentResultCount;
    const bool mostMembersSuspected =
            members.size() >= MinMajorityZoneSize && 2 * suspects > members.size();
    m_isolated =
            members.size() >= MinMajorityZoneSize && (mostProbesFailed || mostMembersSuspected);
}

void FailureDetector::probeNextHost(const HostDirectory &directory, absl::Time now,
                                    RandomSource &random, FailureDetectorActions &actions)
{
    m_nextProbe = now + m_policy.probePeriod;
    if (m_probeRound.empty()) {
        for (const HostRecord *member : directory.members(m_zone)) {
            if (member->host != m_self)
                m_probeRound.push_back(member->host);
        }
        for (std::size_t i = m_probeRound.size(); i > 1; --i)
            std::swap(m_probeRound[i - 1], m_probeRound[random.uniformBelow(i)]);
    }
    while (!m_probeRound.empty()) {
        const HostId target = m_probeRound.back();
        m_probeRound.pop_back();
        const HostRecord *record = directory.find(target);
        if (record == nullptr || !record->isMember())
            continue;
        const std::uint64_t number = m_nextNumber++;
        m_pending[number] = { target, now, false };
        actions.probes.push_back({ number, target, target });
        return;
    }
}

void FailureDetector::checkPendingProbes(const HostDirectory &directory, absl::Time now,
                                         RandomSource &random, FailureDetectorActions &actions)
{
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        PendingProbe &probe = it->second;
        const HostRecord *record = directory.find(probe.target);
        if (record == nullptr || !record->isMember()) {
            it = m_pending.erase(it);
            continue;
        }
        if (now - probe.sentAt >= m_policy.probeTimeout) {
            recordProbeResult(false);
            if (!m_isolated && record->stamp.liveness == Liveness::Alive)
                actions.livenessUpdates.push_back(withLiveness(*record, Liveness::Suspect));
            it = m_pending.erase(it);
            continue;
        }
        if (!probe.sentIndirectly && now - probe.sentAt >= m_policy.directProbeTimeout) {
            probe.sentIndirectly = true;
            const auto members = directory.members(m_zone);
            for (int i = 0; i < m_policy.indirectProbeCount; ++i) {
                const HostId &intermediary = members[random.uniformBelow(members.size())]->host;
                if (intermediary != m_self && intermediary != probe.target)
                    actions.probes.push_back({ it->first, intermediary, probe.target });
            }
        }
        ++it;
    }
}

void FailureDetector::checkSuspicionTimeouts(const HostDirectory &directory, absl::Time now,
                                             FailureDetectorActions &actions)
{
    std::map<HostId, absl::Time> stillSuspected;
    for (const HostRecord *member : directory.members(m_zone)) {
        if (member->stamp.liveness != Liveness::Suspect || member->host == m_self)
            continue;
        const auto known = m_suspectedSince.find(member->host);
        const absl::Time since = known == m_suspectedSince.end() ? now : known->second;
        if (m_isolated) {
            stillSuspected[member->host] = now; // The timeout restarts after the isolation.
            continue;
        }
        if (now - since < m_policy.suspicionTimeout) {
            stillSuspected[member->host] = since;
            continue;
        }
        actions.livenessUpdates.push_back(withLiveness(*member, Liveness::Dead));
    }
    m_suspectedSince = std::move(stillSuspected);
}

} // namespace godwitlift
