/// \file
/// A node's links in the relay tree: its parent, its followers and the hosts that do not answer.
#pragma once

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/distribution/PeerMessages.h"
#include "godwitlift/distribution/RelayTopology.h"
#include "godwitlift/distribution/TokenBucket.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace godwitlift {

/// Heartbeat timing and shape of the relay tree.
struct RelayTreePolicy
{
    absl::Duration heartbeatPeriod = absl::Seconds(1);
    absl::Duration answerTimeout = absl::Milliseconds(1500); ///< Then the connection is replaced.
    /// Time for which a host that did not answer is skipped.
    absl::Duration unreachablePeriod = absl::Seconds(10);
    absl::Duration followerTimeout = absl::Seconds(4);
    FanOutShape shape = FanOutShape::Tree;
};

/// A node that follows this one.
struct Follower
{
    Address address;
    Version heldVersion;
    Version refusedVersion;
    absl::Time lastHeartbeat;
    ZoneReport subtreeReport;
};

/// What the caller must do after a tick.
struct RelayTreeActions
{
    HostId heartbeatTo; ///< Empty if no heartbeat is due.
    std::vector<HostId> connectionsToReplace;
    HostId unreachableParent; ///< Former parent that is now skipped; empty if none.
};

/// Follows a parent and keeps track of followers. Not thread-safe.
///
/// If a heartbeat stays unanswered for the timeout, the connection is replaced once. After twice
/// the timeout, the parent is skipped for unreachablePeriod and the node follows the next host in
/// rendezvous order.
class RelayTreeNode final
{
public:
    RelayTreeNode(HostId self, ZoneId zone, RelayTreePolicy policy);

    RelayTreeActions tick(const HostDirectory &directory, absl::Time now);
    void onFollowAnswer(const HostId &from, absl::Time now);
    /// Makes the next heartbeat due at once, to report a change.
    void makeHeartbeatDue() { m_nextHeartbeat = absl::InfinitePast(); }
    /// Delays the next heartbeat because the parent did not admit the last one.
    void deferHeartbeatUntil(absl::Time when) { m_nextHeartbeat = when; }

    void updateFollower(const HostId &host, Follower follower);
    const std::map<HostId, Follower> &followers() const { return m_followers; }
    std::map<HostId, Follower> &followers() { return m_followers; }

    const HostId &parent() const { return m_parent; }
    RelayLevel level() const { return m_level; }
    std::set<HostId> unreachableHosts() const;

private:
    void updateParent(const HostDirectory &directory, absl::Time now);
    void checkHeartbeatAnswer(absl::Time now, RelayTreeActions &actions);

    HostId m_self;
    ZoneId m_zone;
    RelayTreePolicy m_policy;
    HostId m_parent;
    RelayLevel m_level = RelayLevel::Leaf;
    absl::Time m_nextHeartbeat = absl::InfinitePast();
    std::optional<absl::Time> m_unansweredSince; ///< Oldest heartbeat without an answer.
    bool m_connectionReplaced = false;
    std::map<HostId, absl::Time> m_unreachableUntil;
    std::map<HostId, Follower> m_followers;
    /// Directory digest that the parent was computed from; 0 forces a new computation.
    std::uint64_t m_topologyDigest = 0;
};

} // namespace godwitlift
