/// \file
/// Discovery of the other nodes, the links to them, and the sessions that they open.
#pragma once

#include "gate/BackendServerGate.h"
#include "ingress/IngressService.h"
#include "peers/DrainReplicator.h"
#include "peers/PeerLink.h"
#include "peers/PeerSession.h"
#include "peers/QuarantineStore.h"
#include "quota/QuotaExchange.h"
#include "rollout/RolloutCoordinator.h"
#include "runtime/ConfigurationUpdater.h"
#include "store/StoreClient.h"

#include "godwitlift/traffic/HostRetention.h"
#include "godwitlift/traffic/ReportSchedule.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace godwitlift {

/// Keeps a link to every other node and accepts the links of the others as sessions.
///
/// Nodes discover each other through rows in the store: a node writes its own row and then reads
/// all rows. Of any two nodes, the later one thus finds the earlier one and sends it a hello.
class PeerMesh final : public GatewayLookup,
                       public RolloutPeers,
                       private PeerLinkObserver,
                       private PeerSessionObserver
{
public:
    struct Options
    {
        PeerHost ownHost;
        Address peerAddress;        ///< Where this node listens for peers.
        std::uint32_t linkMbps = 0; ///< 0 is unknown.
        bool needsProofs = false;   ///< That the version in force is the newest one.
        absl::Duration stopTimeout; ///< Of each node of the deployment.
        /// Connections whose senders have not said who they are; the oldest yields beyond that.
        std::size_t unknownPeerLimit = 64;
    };

    PeerMesh(asio::io_context &loop, LinkScheduler &linkScheduler, InputKeeper &inputKeeper,
             Options options, StoreClient &store, BackendServerGate &gate,
             FinishTimeSelector &selector, CrashHistory &crashHistory, RateLimitedLog &log,
             NodeMetrics &metrics, RandomSource &random);
    ~PeerMesh() override;

    /// Receives the era of the store that a peer has seen. Must be called before listen().
    void setStoreEraCallback(std::function<void(StoreEra)> callback)
    {
        m_onStoreEra = std::move(callback);
    }
    /// Must be called before listen().
    void setConfigurationUpdater(ConfigurationUpdater &updater)
    {
        m_configurationUpdater = &updater;
    }
    /// Must be called before listen().
    void setRolloutCoordinator(RolloutCoordinator &rollouts) { m_rollouts = &rollouts; }
    /// Must be called before listen().
    void setQuotaExchange(QuotaExchange &exchange) { m_quotaExchange = &exchange; }
    bool listen(std::string &error);
    /// If the whole system starts for the first time, nothing is recalled from the store once this
    /// host's row has been created.
    void start(bool isFirstStart);
    void tick();
    /// The store has returned from a copy: this host writes its rows again that the copy lacks.
    void onStoreReset();
    /// Reports the gate to \p audience, and to the peers that are due for a report.
    void reportGate(ReportAudience audience);
    /// Tells all peers that this host's backend server ended while it ran a request.
    void broadcastCrash(const ServerCrash &crash);
    /// Tells all peers that a request under which servers had ended has been answered.
    void broadcastAnswered(ContentDigest content);
    /// Tells the peers of the own availability zone which version is the newest one.
    void confirmConfiguration(const ConfigurationConfirmation &confirmation);
    /// Asks peers of this zone and of others what they can prove about the newest version.
    void askForConfirmation();
    void setNeedsProofs(bool needsProofs) { m_options.needsProofs = needsProofs; }
    TrialClaims &trialClaims() { return m_quarantineStore; }
    DrainReplicator &drainReplicator() { return m_drainReplicator; }
    /// Tells peers that this node shuts down. Deletes its row in the store if \p deletesHostRow,
    /// which is for a host that is not expected to return.
    void beginShutdown(bool deletesHostRow);
    /// True if an attempt of a peer is open or data for a peer is unsent.
    bool hasUnfinishedAnswers() const;

    AttemptGateway *gatewayTo(const HostId &host) override;
    std::size_t nodeCount() const override { return m_links.size() - m_dormantHosts.size() + 1; }
    std::vector<RunInProgress> runsInProgress() const override { return m_gate.runsInProgress(); }
    std::size_t openLinkCount() const;
    void broadcast(const mesh::Frame &frame) override;
    void sendTo(const HostId &host, const mesh::Frame &frame) override;
    std::vector<DeciderCandidate> deciderCandidates() const override;

private:
    void acceptNext();
    /// Closes the oldest connection from an unknown sender if there are too many of them.
    void limitUnknownPeers();
    void closeSession(const std::shared_ptr<PeerSession> &session, std::string_view cause);
    /// Creates this host's row and then lists all rows. If the row exists, an earlier process has
    /// written it and may have left drains.
    void createHostRow();
    void recallFromStore();
    void writeHostRow();
    /// Writes this host's row again unless the store has it.
    void restoreHostRow();
    void onOwnRowRead(const StoreAnswer &answer);
    void scheduleHostRowRestore(absl::Duration delay);
    StoreRequest makeHostRowRequest() const;
    void onRegistered(const StoreAnswer &answer);
    void listHosts(const std::string &firstKey);
    void onHostsListed(const StoreAnswer &answer);
    void scheduleRegistrationRetry();
    void deleteHostRow(const HostId &host);
    void addHost(const PeerHost &host);
    void removeHost(const HostId &host, std::string_view cause);
    /// Leads no requests to hosts that have been out of reach for long, and forgets them at last.
    void updateUnreachableHosts(absl::Time now);
    void wakeHost(const PeerHost &host);
    /// Report of this host's gate, with the bandwidth and backlog of the host's link.
    GateReport makeGateReport() const;
    void closeTimedOutSessions(absl::Time now);
    void sendGateReport(PeerSession &session);
    void requestConfiguration(PeerLink &link, Version aboveVersion);
    /// Requests the configuration from the most suitable peer with a newer version, if there is
    /// one.
    void requestNewerConfiguration();
    void sendConfigurationChanges(PeerSession &session, Version aboveVersion);
    /// Decides whether this node watches the store for configuration changes on behalf of its zone.
    void updateWatchRole();
    NodeState nodeState() const;
    void recordLimitedServer(const HostId &host, const GateReport &report);
    void recallRequestLimit(const mesh::Hello &hello);
    mesh::Frame makeGateState(const GateReport &report) const;
    void onRolloutStates(const HostId &host,
                         const google::protobuf::RepeatedPtrField<mesh::RolloutState> &states);
    void onCrashReported(const HostId &host, const AgedCrash &crash);

    void onLinkOpened(PeerLink &link) override;
    void onAddressTaken(PeerLink &link, const PeerHost &owner) override;
    void onLinkLost(PeerLink &link, std::string_view cause) override;
    void onGateReport(PeerLink &link, const GateReport &report) override;
    void onLoadReport(PeerLink &link, const GateLoadReport &report) override;
    void onDemandReport(PeerLink &link, const GateDemand &demand) override;
    void onConfigurationConfirmed(PeerLink &link,
                                  const ConfigurationConfirmation &confirmation) override;
    void onLinkFrame(PeerLink &link, const mesh::Frame &frame) override;
    mesh::Frame makeHello(const HostId &host) override;
    void onSessionFrame(PeerSession &session, const mesh::Frame &frame) override;
    void onSessionClosed(PeerSession &session) override;

    asio::io_context &m_loop;
    LinkScheduler &m_linkScheduler;
    InputKeeper &m_inputKeeper;
    Options m_options;
    StoreClient &m_store;
    BackendServerGate &m_gate;
    FinishTimeSelector &m_selector;
    CrashHistory &m_crashHistory;
    RateLimitedLog &m_log;
    NodeMetrics &m_metrics;
    RandomSource &m_random;
    ConfigurationUpdater *m_configurationUpdater = nullptr;
    RolloutCoordinator *m_rollouts = nullptr;
    QuotaExchange *m_quotaExchange = nullptr;
    std::function<void(StoreEra)> m_onStoreEra;
    TcpAcceptor m_acceptor;
    LoopTimer m_registrationTimer;
    LoopTimer m_hostRowTimer; ///< Until the host's row is restored after a reset of the store.
    LocalGateway m_ownGateway;
    BodyReceiver m_bodyReceiver;
    DrainReplicator m_drainReplicator;
    QuarantineStore m_quarantineStore;
    std::map<HostId, std::unique_ptr<PeerLink>> m_links;
    std::set<HostId> m_dormantHosts;  ///< Have a link that is down, and are not in the selector.
    std::set<HostId> m_departedHosts; ///< Not expected to return, by their last report.
    std::set<HostId> m_endedHosts;    ///< Those of them that take no further part in quotas.
    std::map<PeerSession *, std::shared_ptr<PeerSession>> m_sessions;
    std::map<HostId, NodeState> m_peerStates; ///< Latest report on each link that is up.
    /// Backend servers of other hosts that state a request limit, by the latest report. Kept while
    /// the link is down, for the next process of the host's node.
    std::map<HostId, mesh::LimitedServer> m_limitedServers;
    absl::Time m_lastConfigurationRequestTime = absl::InfinitePast();
    /// When the link will have carried the large changes that were sent last.
    absl::Time m_largeTransferEnd = absl::InfinitePast();
    /// Since when a peer has had a newer version of the configuration.
    absl::Time m_behindSince = absl::InfiniteFuture();
    ReportSchedule m_reportSchedule;
    bool m_wasStoreFailing = false;       ///< As last told to the peers of the zone.
    std::uint32_t m_nextSourceNumber = 1; ///< 0 is this node's own ingress.
    bool m_isRegistered = false;
    bool m_isShuttingDown = false;
    bool m_isDeparting = false; ///< Shuts down, and this host is not expected to return.
    absl::Duration m_registrationDelay;
};

} // namespace godwitlift
