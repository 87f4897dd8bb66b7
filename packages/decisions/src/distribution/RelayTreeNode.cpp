/// \file
/// Choice of the parent, heartbeats and their timeouts.
#include "godwitlift/distribution/RelayTreeNode.h"

namespace godwitlift {

RelayTreeNode::RelayTreeNode(HostId self, ZoneId zone, RelayTreePolicy policy)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_policy(policy)
{}

std::set<HostId> RelayTreeNode::unreachableHosts() const
{
    std::set<HostId> hosts;
    for (const auto &entry : m_unreachableUntil)
        hosts.insert(entry.first);
    return hosts;
}

void RelayTreeNode::updateParent(const HostDirectory &directory, absl::Time now)
{
    const std::size_t expiredCount = std::erase_if(
            m_unreachableUntil, [&](const auto &entry) { return entry.second <= now; });
    const std::uint64_t directoryDigest = directory.digest();
    if (expiredCount == 0 && directoryDigest == m_topologyDigest)
        return;
    m_topologyDigest = directoryDigest;
    const RelayTopology topology(directory, m_zone, unreachableHosts(), m_policy.shape);
    m_level = topology.level(m_self);
    const HostId parent = topology.parent(m_self);
    if (parent == m_parent)
        return;
    m_parent = parent;
    m_unansweredSince.reset();
    m_connectionReplaced = false;
    makeHeartbeatDue();
}

void RelayTreeNode::checkHeartbeatAnswer(absl::Time now, RelayTreeActions &actions)
{
    if (!m_unansweredSince || m_parent.isEmpty())
        return;
    const absl::Duration unansweredFor = now - *m_unansweredSince;
    if (unansweredFor >= m_policy.answerTimeout && !m_connectionReplaced) {
        m_connectionReplaced = true;
        actions.connectionsToReplace.push_back(m_parent);
        makeHeartbeatDue();
    }
    if (unansweredFor >= 2 * m_policy.answerTimeout) {
        actions.unreachableParent = m_parent;
        m_unreachableUntil[m_parent] = now + m_policy.unreachablePeriod;
        m_topologyDigest = 0;
    }
}

RelayTreeActions RelayTreeNode::tick(const HostDirectory &directory, absl::Time now)
{
    RelayTreeActions actions;
    checkHeartbeatAnswer(now, actions);
    updateParent(directory, now);
    std::erase_if(m_followers, [&](const auto &entry) {
        return now - entry.second.lastHeartbeat >= m_policy.followerTimeout;
    });
    if (now < m_nextHeartbeat || m_parent.isEmpty())
        return actions;
    m_nextHeartbeat = now + m_policy.heartbeatPeriod;
    if (!m_unansweredSince)
        m_unansweredSince = now;
    actions.heartbeatTo = m_parent;
    return actions;
}

void RelayTreeNode::onFollowAnswer(const HostId &from, absl::Time)
{
    m_unreachableUntil.erase(from);
    if (from != m_parent)
        return;
    m_unansweredSince.reset();
    m_connectionReplaced = false;
}

void RelayTreeNode::updateFollower(const HostId &host, Follower follower)
{
    m_followers.insert_or_assign(host, std::move(follower));
}

} // namespace godwitlift
