/// \file
/// Applies newer configuration versions from the store and from peers.
#pragma once

#include "report/NodeMetrics.h"
#include "report/RateLimitedLog.h"
#include "store/StoreClient.h"

#include "godwitlift/traffic/ConfigurationReplica.h"
#include "godwitlift/traffic/ConfigurationWatch.h"

#include <functional>
#include <memory>
#include <string>

namespace godwitlift {

/// Holds the configuration in force on this node. Watches the store while setWatching() has
/// enabled this, and applies changes sent by peers.
///
/// Invariants: only a higher version replaces the one in force; a version that cannot be decoded
/// is refused entirely and the one in force stays.
class ConfigurationUpdater final
{
public:
    /// Receives each catalogue when it comes into force.
    using AppliedCallback = std::function<void(std::shared_ptr<const RouteCatalogue>)>;

    ConfigurationUpdater(asio::io_context &loop, StoreClient &store,
                         const PlatformProtocol &protocol, RandomSource &random,
                         RateLimitedLog &log, NodeMetrics &metrics, AppliedCallback onApplied);

    /// Reads the store once, whether or not this node watches it. If the whole system starts for
    /// the first time, that is left to the nodes that watch.
    void start(bool isFirstStart);
    /// Sets whether this node watches the store on behalf of its zone.
    void setWatching(bool isWatching);
    /// Applies changes sent by a peer. Returns false if a snapshot has to be requested instead.
    bool applyChanges(const ConfigurationChanges &changes, std::string_view source);
    ConfigurationChanges changesSince(Version version) const
    {
        return m_replica.changesSince(version);
    }
    Version version() const { return m_replica.version(); }
    /// Whether the latest call to the store failed, unless its result is outdated.
    bool isStoreFailing() const;
    /// Time since the store has last told this node its newest version; infinite if never.
    absl::Duration timeSinceRead() const { return steadyNow() - m_lastReadTime; }

private:
    void scheduleRequest(const WatchRequest &watchRequest);
    void onStoreAnswer(const StoreAnswer &answer, absl::Time sent, bool isWatch);
    void logRead(const StoreAnswer &answer, absl::Duration waited, bool isWatch);
    void applyDocument(std::string_view document);
    void reportApplied(Version previous, std::string_view source);

    StoreClient &m_store;
    const PlatformProtocol &m_protocol;
    RateLimitedLog &m_log;
    NodeMetrics &m_metrics;
    AppliedCallback m_onApplied;
    ConfigurationWatch m_watch;
    ConfigurationReplica m_replica;
    LoopTimer m_timer;
    bool m_isWatching = true;
    bool m_isDelegated = false; ///< The scheduled call is only for the case that the watchers fail.
    bool m_mayDelegate = false; ///< The next request may be left to the watchers for some time.
    bool m_isRequestPending = false;                    ///< A call is in progress or scheduled.
    WatchRequest m_nextRequest;                         ///< The next call while watching.
    absl::Time m_lastAnswerTime = absl::InfinitePast(); ///< Successful or not.
    absl::Time m_lastReadTime = absl::InfinitePast();   ///< Latest successful answer.
    StoreEra m_storeEra = 0;                            ///< Of the latest answer that stated it.
};

} // namespace godwitlift
