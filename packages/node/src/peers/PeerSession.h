/// \file
/// The gate's side of a connection that another node opened.
#pragma once

#include "gate/BackendServerGate.h"
#include "peers/FrameChannel.h"
#include "peers/PeerMessages.h"

#include <absl/container/flat_hash_set.h>

#include <memory>

namespace godwitlift {

class PeerSession;

/// Hears about all sessions of a node.
class PeerSessionObserver
{
public:
    virtual ~PeerSessionObserver() = default;
    /// Every frame that is not about an attempt.
    virtual void sessionFrame(PeerSession &session, const mesh::Frame &frame) = 0;
    virtual void sessionClosed(PeerSession &session) = 0;
};

/// Takes attempts from one peer and sends back their answers. When the connection is lost, the
/// peer's open attempts are cancelled: nobody awaits their answers any more.
class PeerSession final : public AttemptObserver,
                          private FrameObserver,
                          public std::enable_shared_from_this<PeerSession>
{
public:
    PeerSession(asio::io_context &loop, LinkScheduler &link, TcpSocket socket,
                BackendServerGate &server, std::uint32_t source, PeerSessionObserver &observer);

    void start();
    void close();
    void send(const mesh::Frame &frame) { m_channel->send(frame); }
    absl::Time heard() const { return m_channel->heard(); }
    const HostId &peer() const { return m_peer; }
    void setPeer(HostId peer) { m_peer = std::move(peer); }
    bool hasUnsent() const { return !m_attempts.empty() || m_channel->hasUnsent(); }

    void onAnswerHead(AttemptId id, AnswerHead head) override;
    void onAnswerBody(AttemptId id, std::string data) override;
    void onAnswerComplete(AttemptId id, const GateTimings &times) override;
    void onAttemptFailed(AttemptId id, const AttemptFailure &failure) override;

private:
    void frameReceived(const mesh::Frame &frame) override;
    void channelClosed(std::string_view cause) override;
    void cancelAttempts();

    LinkScheduler &m_link;
    BackendServerGate &m_server;
    LocalGateway m_door;
    PeerSessionObserver &m_observer;
    std::shared_ptr<FrameChannel> m_channel;
    absl::flat_hash_set<std::uint64_t> m_attempts;
    TransitDelayEstimator m_transit;
    HostId m_peer; ///< Empty until the peer has said hello.
};

} // namespace godwitlift
