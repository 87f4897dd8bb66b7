/// \file
/// Outgoing connection to another node, which carries attempts to the gate of its host.
#pragma once

#include "gate/Attempt.h"
#include "peers/FrameChannel.h"
#include "peers/PeerMessages.h"

#include "godwitlift/traffic/LinkProbe.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>

namespace godwitlift {

class PeerLink;

/// Receives the events of all links of a node.
class PeerLinkObserver
{
public:
    virtual ~PeerLinkObserver() = default;
    virtual void onLinkOpened(PeerLink &link) = 0;
    /// Another host, \p owner, answered at the link's address. The link is down and may be
    /// destroyed.
    virtual void onAddressTaken(PeerLink &link, const PeerHost &owner) = 0;
    virtual void onLinkLost(PeerLink &link, std::string_view cause) = 0;
    virtual void onGateReport(PeerLink &link, const GateReport &report) = 0;
    /// Load that was reported with the end of an answer.
    virtual void onLoadReport(PeerLink &link, const GateLoadReport &report) = 0;
    /// Load of a gate that has refused a request for it.
    virtual void onDemandReport(PeerLink &link, const GateDemand &demand) = 0;
    virtual void onConfigurationConfirmed(PeerLink &link,
                                          const ConfigurationConfirmation &confirmation) = 0;
    /// Called for hello and gate reports, and for every frame that the link does not handle itself.
    virtual void onLinkFrame(PeerLink &link, const mesh::Frame &frame) = 0;
    virtual mesh::Frame makeHello(const HostId &host) = 0;
};

/// Keeps one connection to one peer, reconnects with exponential backoff, and carries attempts.
///
/// The link sends pings, as LinkProbe decides, and closes the connection if no pong arrives: gate
/// reports that still arrive do not show that frames reach the peer. When the connection is lost,
/// every open attempt fails as one that may have run.
class PeerLink final : public AttemptGateway, private FrameObserver
{
public:
    PeerLink(asio::io_context &loop, LinkScheduler &linkScheduler, InputKeeper &inputKeeper,
             PeerHost host, PeerLinkObserver &observer);
    ~PeerLink() override;

    void start();
    const PeerHost &host() const { return m_host; }
    /// Reconnects if the address has changed, for example because the host was replaced.
    void setHost(const PeerHost &host);
    bool isUp() const { return m_isUp; }
    /// Asks the peer what it can prove about its version of the configuration, and renews the
    /// reading of this node's clock to which the peer refers.
    void askForConfirmation();
    /// Whether the reading that the peer has is so old that it should be renewed.
    bool isClockReadingOld() const
    {
        return suspendAwareNow() - m_clockReadingSent > ClockEcho::PreferredAge;
    }
    /// Time since the link was lost or created; zero while it is up.
    absl::Duration downtime(absl::Time now) const;
    /// Sends pings and closes a connection that has timed out. Call it several times a second.
    /// \p peerCount is the number of links of this node.
    void tick(absl::Time now, std::size_t peerCount);
    /// Connects without waiting for the backoff delay, for example after a hello from the peer.
    void connectNow();
    /// Replaces the backoff delay by \p delay, for a host that is dormant; none ends this.
    void setRetryDelay(std::optional<absl::Duration> delay) { m_retryDelay = delay; }
    /// Connects after \p delay instead of later, unless a connection is being made.
    void connectAfter(absl::Duration delay);
    void send(const mesh::Frame &frame);

    void open(AttemptRequest request, std::weak_ptr<AttemptObserver> observer) override;
    bool cancel(AttemptId id) override;
    void grantCredit(AttemptId id, std::size_t bytes) override;

private:
    struct AnnouncedBody
    {
        std::shared_ptr<const std::string> body;
        std::size_t sent = 0; ///< Bytes that were sent or wait for the link scheduler.
    };

    void connect();
    void onConnected(const boost::system::error_code &error);
    void scheduleReconnect();
    void onFrame(mesh::Frame &frame) override;
    void onChannelClosed(std::string_view cause) override;
    void dropChannel(std::string_view cause);
    std::shared_ptr<AttemptObserver> findObserver(std::uint64_t attempt);
    /// Sends the next \p bytes of an announced body.
    void sendBodyPieces(std::uint64_t attempt, std::size_t bytes);
    /// True if the peer cannot have the whole body of the attempt, which then has not run.
    bool isBodyIncomplete(std::uint64_t attempt) const;
    /// Discards what is left to send of the attempt's body.
    void dropBody(std::uint64_t attempt);

    asio::io_context &m_loop;
    LinkScheduler &m_linkScheduler;
    InputKeeper &m_inputKeeper;
    PeerHost m_host;
    PeerLinkObserver &m_observer;
    TcpSocket m_connectingSocket;
    LoopTimer m_connectTimer; ///< Connect timeout, or delay before the next attempt to connect.
    std::shared_ptr<FrameChannel> m_channel;
    absl::flat_hash_map<std::uint64_t, std::weak_ptr<AttemptObserver>> m_attemptObservers;
    /// Announced bodies, until the last piece is passed to the channel or the attempt ends.
    absl::flat_hash_map<std::uint64_t, AnnouncedBody> m_bodies;
    std::size_t m_announcedBodyBytes = 0; ///< As in the peer's hello.
    bool m_isUp = false;                  ///< True once the hello of the peer has arrived.
    bool m_isConnecting = false;
    LinkProbe m_probe;
    absl::Duration m_clockReadingSent = -absl::InfiniteDuration(); ///< On this connection.
    TransitDelayEstimator m_transitDelayEstimator; ///< Of the frames on the present connection.
    absl::Duration m_reconnectDelay;
    std::optional<absl::Duration> m_retryDelay; ///< Set while the host is dormant.
    absl::Time m_downSince;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); ///< False after destruction.
};

} // namespace godwitlift
