/// \file
/// Attempts from a peer.
#include "peers/PeerSession.h"

namespace godwitlift {

PeerSession::PeerSession(asio::io_context &loop, LinkScheduler &link, TcpSocket socket,
                         LocalServer &server, std::uint32_t source, PeerSessionObserver &observer)
    : m_link(link)
    , m_server(server)
    , m_door(server, source)
    , m_observer(observer)
    , m_channel(std::make_shared<FrameChannel>(loop, link, std::move(socket),
                                               static_cast<FrameObserver &>(*this)))
{}

void PeerSession::start()
{
    m_channel->start();
}

void PeerSession::close()
{
    m_channel->close();
    cancelAttempts();
}

void PeerSession::cancelAttempts()
{
    const auto attempts = std::move(m_attempts);
    m_attempts.clear();
    for (const std::uint64_t id : attempts)
        m_door.cancel(AttemptId(id));
}

void PeerSession::channelClosed(std::string_view)
{
    const auto self = shared_from_this();
    cancelAttempts();
    m_observer.sessionClosed(*this);
}

void PeerSession::frameReceived(const mesh::Frame &frame)
{
    switch (frame.content_case()) {
    case mesh::Frame::kOpenRequest:
        m_attempts.insert(frame.open_request().attempt());
        m_door.open(decodeOrder(frame.open_request(), steadyNow(), m_transit), weak_from_this());
        break;
    case mesh::Frame::kCancelRequest:
        if (m_attempts.erase(frame.cancel_request().attempt()) > 0)
            m_door.cancel(AttemptId(frame.cancel_request().attempt()));
        m_channel->dropWaiting(frame.cancel_request().attempt());
        break;
    case mesh::Frame::kGrantCredit:
        m_door.grant(AttemptId(frame.grant_credit().attempt()), frame.grant_credit().bytes());
        break;
    case mesh::Frame::kPing: {
        mesh::Frame answer;
        answer.mutable_pong();
        m_channel->send(answer);
        break;
    }
    default:
        m_observer.sessionFrame(*this, frame);
        break;
    }
}

void PeerSession::answerHead(AttemptId id, AnswerHead head)
{
    m_channel->send(encodeHead(id, std::move(head)));
}

void PeerSession::answerBody(AttemptId id, std::string data)
{
    const std::size_t piece = m_link.pieceBytes();
    if (data.size() <= piece && !m_channel->hasWaiting(id.value())) {
        mesh::Frame frame;
        frame.mutable_answer_body()->set_attempt(id.value());
        frame.mutable_answer_body()->set_data(std::move(data));
        m_channel->send(frame);
        return;
    }
    for (std::size_t at = 0; at < data.size(); at += piece) {
        mesh::Frame frame;
        frame.mutable_answer_body()->set_attempt(id.value());
        frame.mutable_answer_body()->set_data(data.substr(at, piece));
        m_channel->sendInTurn(id.value(), frame);
    }
}

void PeerSession::answerComplete(AttemptId id, const GateTimes &times)
{
    m_attempts.erase(id.value());
    const GateReport report = m_server.report();
    mesh::Frame frame;
    mesh::AnswerEnd &message = *frame.mutable_answer_end();
    message.set_attempt(id.value());
    message.set_service_us(static_cast<std::uint32_t>(absl::ToInt64Microseconds(times.service)));
    message.set_wait_us(static_cast<std::uint32_t>(absl::ToInt64Microseconds(times.wait)));
    message.set_running(report.running);
    message.set_queued(report.queued);
    message.set_link_backlog_ms(
            static_cast<std::uint32_t>(absl::ToInt64Milliseconds(m_link.backlogTime())));
    if (m_channel->hasWaiting(id.value()))
        m_channel->sendInTurn(id.value(), frame); // Behind the rest of the body.
    else
        m_channel->send(frame);
}

void PeerSession::attemptFailed(AttemptId id, const AttemptFailure &failure)
{
    m_attempts.erase(id.value());
    m_channel->dropWaiting(id.value());
    m_channel->send(encodeFailure(id, failure));
}

} // namespace godwitlift
