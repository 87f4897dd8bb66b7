/// \file
/// Keeps a node's configuration current: polls of a watcher, leases of the others.
#pragma once

#include "godwitlift/traffic/ConfigurationLease.h"
#include "godwitlift/traffic/ConfigurationWatch.h"
#include "godwitlift/traffic/WatcherElection.h"

#include <optional>

namespace godwitlift {

/// A call to the store that the owner must make.
struct FollowerCall
{
    std::uint64_t number = 0;
    WatchRequest request;
    absl::Duration sent; ///< Clock reading.
};

/// Decides which calls to the store a node makes for its configuration. Not thread-safe.
///
/// Inputs take the clock reading (see ConfigurationLease); after each input the owner calls tick()
/// until it returns no call, and again at nextTick() at the latest. It applies the rows of an
/// answer before onAnswer().
///
/// Invariant: at most one call is awaited. A long poll is given up when the lease expires; a later
/// answer to it still counts, but nothing waits for it.
class ConfigurationFollower final
{
public:
    ConfigurationFollower(const ConfigurationLease &lease, RandomSource &random)
        : m_random(random)
        , m_lease(lease)
        , m_watch(random, lease.pollTimeout())
    {}

    void start(bool isFirstStart, absl::Duration now);
    void setRole(const WatchRole &role) { m_role = role; }
    const WatchRole &role() const { return m_role; }
    std::optional<FollowerCall> tick(absl::Duration now);
    absl::Duration nextTick() const;
    /// \p version is in force after the rows of the answer were applied. Returns a confirmation for
    /// the other nodes of the zone if the answer shows that it is the newest one.
    std::optional<ConfigurationConfirmation> onAnswer(const FollowerCall &call, WatchResult result,
                                                      StorePosition position, Version version,
                                                      absl::Duration now);
    /// \p version is in force on this node.
    void onPeerConfirmation(const ConfigurationConfirmation &confirmation, Version version);
    /// \p version, which a peer has sent, is in force from now on.
    void onVersionFromPeer(Version version);

    /// Whether the latest call that was awaited has failed.
    bool isStoreFailing() const { return m_watch.isFailing(); }
    absl::Duration age(absl::Duration now) const { return m_lease.age(now); }
    /// As age(), without reliance on estimates of transit delays.
    absl::Duration provenAge(absl::Duration now) const { return now - m_provenAsOf; }
    /// What this node can prove to any other node about \p version, which is in force; none if it
    /// can prove nothing.
    std::optional<ConfigurationConfirmation> latestProof(Version version) const;

private:
    void schedule(const WatchRequest &request, absl::Duration now);
    FollowerCall send(const WatchRequest &request, absl::Duration now);
    bool isLeaseRead(absl::Duration now) const;

    RandomSource &m_random;
    ConfigurationLease m_lease;
    absl::Duration m_provenAsOf = -absl::InfiniteDuration(); ///< Of the version in force.
    ConfigurationWatch m_watch;
    WatchRole m_role;
    bool m_isStarted = false;                ///< The first read has ended, or a peer has confirmed.
    std::uint64_t m_lastNumber = 0;          ///< Of the latest call.
    std::optional<FollowerCall> m_awaited;   ///< The latest call, until its answer.
    std::optional<WatchRequest> m_scheduled; ///< Sent at m_scheduledTime; only without m_awaited.
    absl::Duration m_scheduledTime;
    std::optional<ConfigurationConfirmation> m_peerConfirmation; ///< Latest of the newest version.
};

} // namespace godwitlift
