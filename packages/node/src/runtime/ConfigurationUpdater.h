/// \file
/// Applies newer configuration versions from the store and from peers.
#pragma once

#include "report/NodeMetrics.h"
#include "report/RateLimitedLog.h"
#include "store/StoreClient.h"

#include "godwitlift/traffic/ConfigurationFollower.h"
#include "godwitlift/traffic/ConfigurationReplica.h"

#include <functional>
#include <memory>
#include <string>

namespace godwitlift {

/// Holds the configuration in force on this node. Makes the calls to the store that
/// ConfigurationFollower decides on, and applies changes sent by peers.
///
/// Invariants: only a higher version replaces the one in force; a version that cannot be decoded
/// is refused entirely and the one in force stays.
class ConfigurationUpdater final
{
public:
    /// Receives each catalogue when it comes into force.
    using AppliedCallback = std::function<void(std::shared_ptr<const RouteCatalogue>)>;
    /// Receives what this node has learnt from the store for the other nodes of its zone.
    using ConfirmedCallback = std::function<void(const ConfigurationConfirmation &)>;

    /// Receives the other rows of the configuration's table.
    using RowCallback = std::function<void(const StoreRow &)>;

    ConfigurationUpdater(asio::io_context &loop, StoreClient &store,
                         const PlatformProtocol &protocol, const ConfigurationLease &lease,
                         RandomSource &random, RateLimitedLog &log, NodeMetrics &metrics,
                         AppliedCallback onApplied, ConfirmedCallback onConfirmed);

    /// Must be called before start().
    void setRowCallback(RowCallback callback) { m_onOtherRow = std::move(callback); }
    /// Reads the store once, whether or not this node watches it. If the whole system starts for
    /// the first time, that is left to the nodes that watch.
    void start(bool isFirstStart);
    /// Sets whether this node watches the store on behalf of its zone, and its place among those
    /// that stand in for the watchers.
    void setRole(const WatchRole &role);
    /// Makes the calls that are due. Call it several times a second, so that they are also made in
    /// time after the host was suspended.
    void tick();
    /// Applies changes sent by a peer. Returns false if a snapshot has to be requested instead.
    bool applyChanges(const ConfigurationChanges &changes, std::string_view source);
    void onPeerConfirmation(const ConfigurationConfirmation &confirmation);
    ConfigurationChanges changesSince(Version version) const
    {
        return m_replica.changesSince(version);
    }
    Version version() const { return m_replica.version(); }
    /// Whether the latest call to the store failed, unless its result is outdated.
    bool isStoreFailing() const;
    /// Time since the store has last told this node its newest version; infinite if never.
    absl::Duration timeSinceRead() const { return steadyNow() - m_lastReadTime; }
    /// Time since the version in force was the newest one for certain; infinite if never.
    absl::Duration timeSinceConfirmed() const { return m_follower.age(suspendAwareNow()); }
    /// As timeSinceConfirmed(), without reliance on estimates of transit delays.
    absl::Duration timeSinceProved() const { return m_follower.provenAge(suspendAwareNow()); }
    /// What this node can prove to others about the version in force; none if nothing.
    std::optional<ConfigurationConfirmation> latestProof() const
    {
        return m_follower.latestProof(version());
    }

private:
    void sendCall(const FollowerCall &call);
    void onStoreAnswer(const StoreAnswer &answer, const FollowerCall &call);
    void logRead(const StoreAnswer &answer, const FollowerCall &call);
    void applyDocument(std::string_view document);
    void reportApplied(Version previous, std::string_view source);

    StoreClient &m_store;
    const PlatformProtocol &m_protocol;
    RateLimitedLog &m_log;
    NodeMetrics &m_metrics;
    AppliedCallback m_onApplied;
    ConfirmedCallback m_onConfirmed;
    RowCallback m_onOtherRow;
    ConfigurationFollower m_follower;
    ConfigurationReplica m_replica;
    LoopTimer m_timer;                                  ///< Expires when the follower is due.
    absl::Time m_lastAnswerTime = absl::InfinitePast(); ///< Successful or not.
    absl::Time m_lastReadTime = absl::InfinitePast();   ///< Latest successful answer.
    bool m_isStarted = false;
};

} // namespace godwitlift
