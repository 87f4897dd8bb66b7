/// \file
/// Incoming connection from another node, which carries attempts to the gate of this host.
#pragma once

#include "gate/BackendServerGate.h"
#include "peers/BodyReceiver.h"
#include "peers/FrameChannel.h"
#include "peers/PeerMessages.h"

#include "godwitlift/traffic/ReportSchedule.h"

#include <absl/container/flat_hash_map.h>

#include <memory>

namespace godwitlift {

class PeerSession;

/// Receives the events of all sessions of a node.
class PeerSessionObserver
{
public:
    virtual ~PeerSessionObserver() = default;
    /// Called for every frame that the session does not handle itself.
    virtual void onSessionFrame(PeerSession &session, const mesh::Frame &frame) = 0;
    virtual void onSessionClosed(PeerSession &session) = 0;
};

/// Passes the attempts of one peer to the gate and returns the answers. When the connection is
/// lost, the open attempts are cancelled, since their answers can no longer be delivered.
class PeerSession final : public AttemptObserver,
                          public BodySender,
                          private FrameObserver,
                          public std::enable_shared_from_this<PeerSession>
{
public:
    PeerSession(asio::io_context &loop, LinkScheduler &linkScheduler, InputKeeper &inputKeeper,
                BodyReceiver &bodyReceiver, TcpSocket socket, BackendServerGate &gate,
                std::uint32_t sourceNumber, PeerSessionObserver &observer);

    void start();
    void close();
    void send(const mesh::Frame &frame) { m_channel->send(frame); }
    absl::Time lastReceiveTime() const { return m_channel->lastReceiveTime(); }
    const HostId &peer() const { return m_peer; }
    const ZoneId &peerZone() const { return m_peerZone; }
    void setPeer(HostId peer, ZoneId zone)
    {
        m_peer = std::move(peer);
        m_peerZone = std::move(zone);
        m_channel->setPeerKnown();
    }
    /// Of the peer's clock.
    const ClockEcho &clockEcho() const { return m_clockEcho; }
    bool isPeerKnown() const { return !m_peer.value().empty(); }
    absl::Time openTime() const { return m_openTime; }
    /// When the peer last called and gets its next report.
    ReportRecipient &reportRecipient() { return m_reportRecipient; }
    bool hasUnfinishedAnswers() const
    {
        return !m_attempts.empty() || m_channel->hasUnsentFrames();
    }

    void onAnswerHead(AttemptId id, AnswerHead head) override;
    void onAnswerBody(AttemptId id, std::string data) override;
    void onAnswerComplete(AttemptId id, const GateTimings &timings) override;
    void onAttemptFailed(AttemptId id, const AttemptFailure &failure) override;
    void requestBody(AttemptId id, std::size_t bytes) override;
    void onBodyComplete(AttemptRequest request) override;
    void onBodyRefused(AttemptId id, Reason reason) override;

private:
    void onFrame(mesh::Frame &frame) override;
    void onChannelClosed(std::string_view cause) override;
    void cancelAttempts();
    void noteClockReading(std::uint64_t sentUs);
    void openAttempt(mesh::OpenRequest &request);
    void onBodyPiece(const mesh::BodyPiece &piece);
    void cancelAttempt(AttemptId id);
    void releaseAttempt(std::uint64_t id);

    LinkScheduler &m_linkScheduler;
    BodyReceiver &m_bodyReceiver;
    BackendServerGate &m_gate;
    LocalGateway m_gateway;
    PeerSessionObserver &m_observer;
    std::shared_ptr<FrameChannel> m_channel;
    absl::flat_hash_map<std::uint64_t, std::size_t> m_attempts; ///< With the bytes that they hold.
    std::size_t m_attemptBytes = 0;                             ///< Sum over m_attempts.
    absl::Time m_openTime;
    InputKeeper &m_inputKeeper;
    TransitDelayEstimator m_transitDelayEstimator;
    ClockEcho m_clockEcho;
    HostId m_peer; ///< Empty until the hello of the peer has arrived.
    ZoneId m_peerZone;
    ReportRecipient m_reportRecipient;
};

} // namespace godwitlift
