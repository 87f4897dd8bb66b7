/// \file
/// A node's place in the fan-out: whom it follows, who follows it, and who does not answer.
#pragma once

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/distribution/AdmissionBucket.h"
#include "godwitlift/distribution/PeerMessages.h"
#include "godwitlift/distribution/RelayTopology.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace godwitlift {

/// Timing of following.
struct FollowPolicy
{
    absl::Duration heartbeatPeriod = absl::Seconds(1);
    absl::Duration answerTimeout = absl::Milliseconds(1500); ///< Then the connection is replaced.
    absl::Duration unreachableTime = absl::Seconds(10); ///< For which a silent host is passed over.
    absl::Duration followerTimeout = absl::Seconds(4);
    FanOutShape shape = FanOutShape::Tree;
};

/// One node that follows this one.
struct Follower
{
    Address address;
    Version held;
    Version refused;
    absl::Time heard;
    ZoneReport report; ///< Of the follower's subtree.
};

/// What the heartbeat timer wants done.
struct FollowStep
{
    HostId heartbeatTo; ///< Empty if no heartbeat is due.
    std::vector<HostId> connectionsToReplace;
    HostId abandoned; ///< Former parent that is passed over from now on; empty if none.
};

/// Follows a parent and keeps followers. Not thread-safe.
///
/// A heartbeat that is not answered in time replaces the connection once; a second one makes the
/// parent unreachable for a while, and the next choice of the rendezvous hash is followed at once.
class FollowTree final
{
public:
    FollowTree(HostId self, ZoneId zone, FollowPolicy policy);

    FollowStep tick(const HostDirectory &directory, absl::Time now);
    void answered(const HostId &from, absl::Time now);
    /// Makes the next heartbeat due at once, after something changed here.
    void hurry() { m_nextHeartbeat = absl::InfinitePast(); }
    /// Puts off the next heartbeat because the parent did not admit this one.
    void deferUntil(absl::Time when) { m_nextHeartbeat = when; }

    void heardFollower(const HostId &host, Follower follower);
    const std::map<HostId, Follower> &followers() const { return m_followers; }
    std::map<HostId, Follower> &followers() { return m_followers; }

    const HostId &parent() const { return m_parent; }
    RelayLevel level() const { return m_level; }
    std::set<HostId> unreachable() const;

private:
    void place(const HostDirectory &directory, absl::Time now);
    void watchSilence(absl::Time now, FollowStep &step);

    HostId m_self;
    ZoneId m_zone;
    FollowPolicy m_policy;
    HostId m_parent;
    RelayLevel m_level = RelayLevel::Leaf;
    absl::Time m_nextHeartbeat = absl::InfinitePast();
    std::optional<absl::Time> m_unansweredSince; ///< Oldest heartbeat without an answer.
    bool m_connectionReplaced = false;
    std::map<HostId, absl::Time> m_unreachableUntil;
    std::map<HostId, Follower> m_followers;
    std::uint64_t m_placedFor = 0; ///< Digest of the view the place was computed from.
};

} // namespace godwitlift
