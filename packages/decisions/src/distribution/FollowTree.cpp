/// \file
/// Placement, heartbeats and silence.
#include "godwitlift/distribution/FollowTree.h"

namespace godwitlift {

FollowTree::FollowTree(HostId self, ZoneId zone, FollowPolicy policy)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_policy(policy)
{}

std::set<HostId> FollowTree::unreachable() const
{
    std::set<HostId> hosts;
    for (const auto &entry : m_unreachableUntil)
        hosts.insert(entry.first);
    return hosts;
}

void FollowTree::place(const HostDirectory &directory, absl::Time now)
{
    const std::size_t forgotten = std::erase_if(
            m_unreachableUntil, [&](const auto &entry) { return entry.second <= now; });
    const std::uint64_t view = directory.digest();
    if (forgotten == 0 && view == m_placedFor)
        return;
    m_placedFor = view;
    const RelayTopology topology(directory, m_zone, unreachable(), m_policy.shape);
    m_level = topology.level(m_self);
    const HostId parent = topology.parent(m_self);
    if (parent == m_parent)
        return;
    m_parent = parent;
    m_unansweredSince.reset();
    m_connectionReplaced = false;
    hurry();
}

void FollowTree::watchSilence(absl::Time now, FollowStep &step)
{
    if (!m_unansweredSince || m_parent.isEmpty())
        return;
    const absl::Duration silence = now - *m_unansweredSince;
    if (silence >= m_policy.answerTimeout && !m_connectionReplaced) {
        m_connectionReplaced = true;
        step.connectionsToReplace.push_back(m_parent);
        hurry();
    }
    if (silence >= 2 * m_policy.answerTimeout) {
        step.abandoned = m_parent;
        m_unreachableUntil[m_parent] = now + m_policy.unreachableTime;
        m_placedFor = 0;
    }
}

FollowStep FollowTree::tick(const HostDirectory &directory, absl::Time now)
{
    FollowStep step;
    watchSilence(now, step);
    place(directory, now);
    std::erase_if(m_followers, [&](const auto &entry) {
        return now - entry.second.heard >= m_policy.followerTimeout;
    });
    if (now < m_nextHeartbeat || m_parent.isEmpty())
        return step;
    m_nextHeartbeat = now + m_policy.heartbeatPeriod;
    if (!m_unansweredSince)
        m_unansweredSince = now;
    step.heartbeatTo = m_parent;
    return step;
}

void FollowTree::answered(const HostId &from, absl::Time)
{
    m_unreachableUntil.erase(from);
    if (from != m_parent)
        return;
    m_unansweredSince.reset();
    m_connectionReplaced = false;
}

void FollowTree::heardFollower(const HostId &host, Follower follower)
{
    m_followers.insert_or_assign(host, std::move(follower));
}

} // namespace godwitlift
