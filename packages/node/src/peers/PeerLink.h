/// \file
/// The way to another host's gate: a connection that this node opens and keeps.
#pragma once

#include "gate/Attempt.h"
#include "peers/FrameChannel.h"
#include "peers/PeerMessages.h"

#include <absl/container/flat_hash_map.h>

#include <memory>

namespace godwitlift {

class PeerLink;

/// Hears about all links of a node.
class PeerLinkObserver
{
public:
    virtual ~PeerLinkObserver() = default;
    virtual void linkOpened(PeerLink &link) = 0;
    /// Another host answers at the address; the link's host is gone from there. The link is down
    /// and may be destroyed.
    virtual void addressTaken(PeerLink &link, const PeerHost &owner) = 0;
    virtual void linkLost(PeerLink &link, std::string_view cause) = 0;
    virtual void gateReported(PeerLink &link, const GateReport &report) = 0;
    /// Load as of the end of an attempt.
    virtual void loadReported(PeerLink &link, std::uint32_t running, std::uint32_t queued,
                              absl::Duration linkBacklog) = 0;
    /// Every other frame: configuration, hosts, drains.
    virtual void linkFrame(PeerLink &link, const mesh::Frame &frame) = 0;
    virtual mesh::Frame helloFor(const HostId &host) = 0;
};

/// Keeps one connection to one peer, with a back-off between tries, and carries attempts on it.
///
/// Silence is found by pings of its own, which the gate answers: reports that still come say
/// nothing about the other direction. When the connection is lost, every open attempt ends as one
/// that may have run.
class PeerLink final : public AttemptGateway, private FrameObserver
{
public:
    PeerLink(asio::io_context &loop, LinkScheduler &link, PeerHost host,
             PeerLinkObserver &observer);
    ~PeerLink() override;

    void start();
    const PeerHost &host() const { return m_host; }
    /// Takes over another address, as after a replacement of the host.
    void setHost(const PeerHost &host);
    bool isUp() const { return m_isUp; }
    /// How long the peer has been out of reach; zero while it is up.
    absl::Duration downFor(absl::Time now) const;
    /// Checks for silence. Call it several times a second.
    void tick(absl::Time now);
    /// The peer is known to be there: try now.
    void wake();
    void send(const mesh::Frame &frame);

    void open(AttemptRequest order, std::weak_ptr<AttemptObserver> observer) override;
    void cancel(AttemptId id) override;
    void grantCredit(AttemptId id, std::size_t bytes) override;

private:
    void connect();
    void onConnected(const boost::system::error_code &error);
    void retryLater();
    void frameReceived(const mesh::Frame &frame) override;
    void channelClosed(std::string_view cause) override;
    void dropChannel(std::string_view cause);
    std::shared_ptr<AttemptObserver> observerOf(std::uint64_t attempt);

    asio::io_context &m_loop;
    LinkScheduler &m_link;
    PeerHost m_host;
    PeerLinkObserver &m_observer;
    TcpSocket m_connecting;
    LoopTimer m_timer; ///< Connect timeout or pause before the next try.
    std::shared_ptr<FrameChannel> m_channel;
    absl::flat_hash_map<std::uint64_t, std::weak_ptr<AttemptObserver>> m_attempts;
    bool m_isUp = false; ///< The peer has said hello.
    bool m_isConnecting = false;
    absl::Time m_pinged = absl::InfinitePast();
    absl::Time m_answered; ///< When a frame that answers this side last came.
    absl::Duration m_pause;
    absl::Time m_downSince;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); ///< False after destruction.
};

} // namespace godwitlift
