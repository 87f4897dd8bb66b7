/// \file
/// All other nodes: how they are found, the links to them, and the sessions that they open.
#pragma once

#include "gate/LocalServer.h"
#include "ingress/IngressService.h"
#include "peers/PeerLink.h"
#include "peers/PeerSession.h"
#include "runtime/ConfigurationUpdater.h"
#include "store/StoreClient.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace godwitlift {

/// A drained process of a backend server, as other nodes remember it for its host.
struct DrainRecord
{
    BackendServerId server;
    std::int64_t startedUnixMs = 0;
};

/// Keeps a link to every other node and answers theirs.
///
/// Hosts are found by rows in the store: a node writes its own row and then reads all, so that of
/// any two nodes the later one sees the earlier one, and tells it by its hello.
class PeerMesh final : public GatewayLookup, private PeerLinkObserver, private PeerSessionObserver
{
public:
    struct Options
    {
        PeerHost self;
        Address peers;
        std::uint32_t linkMbps = 0; ///< 0 is unknown.
    };

    PeerMesh(asio::io_context &loop, LinkScheduler &link, Options options, StoreClient &store,
             LocalServer &server, FinishTimeSelector &selector, DecisionLog &log,
             NodeMetrics &metrics, RandomSource &random);
    ~PeerMesh() override;

    /// Must be called before listen().
    void setConfiguration(ConfigurationUpdater &keeper) { m_keeper = &keeper; }
    bool listen(std::string &error);
    void start();
    void tick();
    /// Tells all peers about the gate soon, or at once.
    void gateChanged(bool isUrgent);
    /// Lets the store and the peers remember that \p record has drained. \p done is called once
    /// enough of them do, or after DrainPatience.
    void rememberDrain(const DrainRecord &record, std::function<void()> done);
    /// Tells peers that this node stops. Removes its row if \p isForGood.
    void beginLeaving(bool isForGood);
    /// True if a peer is still to be sent an answer.
    bool hasUnsent() const;

    AttemptGateway *gatewayTo(const HostId &host) override;
    std::size_t nodeCount() const override { return m_links.size() + 1; }
    std::size_t linksUp() const;

private:
    /// Time that an acknowledgement waits for the store or for peers to remember a drain.
    static constexpr absl::Duration DrainPatience = absl::Milliseconds(400);
    /// Peers that must remember a drain while the store does not.
    static constexpr std::size_t DrainWitnesses = 2;

    struct PendingDrain
    {
        DrainRecord record;
        std::function<void()> done;
        std::size_t witnesses = 0;
        absl::Time since;
    };

    void accept();
    void registerSelf();
    void listHosts(const std::string &from);
    void listed(const StoreAnswer &answer);
    void retryRegistration();
    void removeRow(const HostId &host);
    void learn(const PeerHost &host);
    void forget(const HostId &host, std::string_view cause);
    /// Report on the gate and on the link that its answers take.
    GateReport ownReport() const;
    void broadcastGate();
    void closeSilentSessions(absl::Time now);
    void sendGate(PeerSession &session);
    void askForConfiguration(PeerLink &link, Version above);
    /// Asks the peer that can best bring a newer version, if there is one.
    void catchUp();
    void serveConfiguration(PeerSession &session, Version above);
    void reviewWatching();
    NodeState nodeState() const;
    void drainWitnessed(const std::string &server);
    void settleDrains(const std::function<bool(const PendingDrain &)> &isSettled);

    void linkOpened(PeerLink &link) override;
    void addressTaken(PeerLink &link, const PeerHost &owner) override;
    void linkLost(PeerLink &link, std::string_view cause) override;
    void gateReported(PeerLink &link, const GateReport &report) override;
    void loadReported(PeerLink &link, std::uint32_t running, std::uint32_t queued,
                      absl::Duration linkBacklog) override;
    void linkFrame(PeerLink &link, const mesh::Frame &frame) override;
    mesh::Frame helloFor(const HostId &host) override;
    void sessionFrame(PeerSession &session, const mesh::Frame &frame) override;
    void sessionClosed(PeerSession &session) override;
    void helloReceived(const mesh::Hello &hello);

    asio::io_context &m_loop;
    LinkScheduler &m_link;
    Options m_options;
    StoreClient &m_store;
    LocalServer &m_server;
    FinishTimeSelector &m_selector;
    DecisionLog &m_log;
    NodeMetrics &m_metrics;
    RandomSource &m_random;
    ConfigurationUpdater *m_keeper = nullptr;
    TcpAcceptor m_acceptor;
    LoopTimer m_registration;
    GateDoor m_ownDoor;
    std::map<HostId, std::unique_ptr<PeerLink>> m_links;
    std::map<PeerSession *, std::shared_ptr<PeerSession>> m_sessions;
    std::map<HostId, DrainRecord> m_drainMemory; ///< Of other hosts.
    std::map<HostId, NodeState> m_peerStates;    ///< As reported on the links that are up.
    absl::Time m_askedForConfiguration = absl::InfinitePast();
    absl::Time m_servedLarge = absl::InfinitePast();   ///< When the last large answer is sent.
    absl::Time m_behindSince = absl::InfiniteFuture(); ///< Since when a peer holds a newer version.
    std::vector<PendingDrain> m_pendingDrains;
    GateReport m_lastReport;
    absl::Time m_lastBroadcast = absl::InfinitePast();
    std::uint32_t m_nextSource = 1; ///< 0 is this node's own ingress.
    bool m_isRegistered = false;
    bool m_isLeaving = false;
    absl::Duration m_registrationPause;
};

} // namespace godwitlift
