/// \file
/// Frames of attempts, and pacing of large answers.
#include "peers/PeerSession.h"

namespace godwitlift {

namespace {

/// A smaller request never makes the node hold too much, and is admitted in any case.
constexpr std::size_t SmallBodyBytes = 16'384;

} // namespace

PeerSession::PeerSession(asio::io_context &loop, LinkScheduler &linkScheduler,
                         InputKeeper &inputKeeper, BodyReceiver &bodyReceiver, TcpSocket socket,
                         BackendServerGate &gate, std::uint32_t sourceNumber,
                         PeerSessionObserver &observer)
    : m_linkScheduler(linkScheduler)
    , m_bodyReceiver(bodyReceiver)
    , m_gate(gate)
    , m_gateway(gate, sourceNumber)
    , m_observer(observer)
    , m_channel(std::make_shared<FrameChannel>(loop, linkScheduler, inputKeeper, std::move(socket),
                                               static_cast<FrameObserver &>(*this)))
    , m_openTime(steadyNow())
    , m_inputKeeper(inputKeeper)
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
    m_attemptBytes = 0;
    for (const auto &[id, bytes] : attempts)
        cancelAttempt(AttemptId(id));
}

void PeerSession::cancelAttempt(AttemptId id)
{
    if (!m_bodyReceiver.cancel(m_gateway.gateAttemptId(id)))
        m_gateway.cancel(id);
}

void PeerSession::onChannelClosed(std::string_view)
{
    const auto self = shared_from_this();
    cancelAttempts();
    m_observer.onSessionClosed(*this);
}

void PeerSession::onFrame(mesh::Frame &frame)
{
    if (!isPeerKnown() && frame.content_case() != mesh::Frame::kHello) {
        const auto self = shared_from_this();
        m_channel->close();
        onChannelClosed("no-hello");
        return;
    }
    switch (frame.content_case()) {
    case mesh::Frame::kOpenRequest:
        m_reportRecipient.lastRequest = steadyNow();
        openAttempt(*frame.mutable_open_request());
        break;
    case mesh::Frame::kBodyPiece:
        onBodyPiece(frame.body_piece());
        break;
    case mesh::Frame::kCancelRequest:
        if (m_attempts.contains(frame.cancel_request().attempt())) {
            releaseAttempt(frame.cancel_request().attempt());
            cancelAttempt(AttemptId(frame.cancel_request().attempt()));
        }
        m_channel->dropPacedFrames(frame.cancel_request().attempt());
        break;
    case mesh::Frame::kGrantCredit:
        m_gateway.grantCredit(AttemptId(frame.grant_credit().attempt()),
                              frame.grant_credit().bytes());
        break;
    case mesh::Frame::kPing: {
        mesh::Frame pong;
        pong.mutable_pong();
        m_channel->send(pong);
        break;
    }
    case mesh::Frame::kHello:
        noteClockReading(frame.hello().sent_us());
        m_observer.onSessionFrame(*this, frame);
        break;
    case mesh::Frame::kConfirmationWanted:
        noteClockReading(frame.confirmation_wanted().sent_us());
        m_observer.onSessionFrame(*this, frame);
        break;
    default:
        m_observer.onSessionFrame(*this, frame);
        break;
    }
}

void PeerSession::noteClockReading(std::uint64_t sentUs)
{
    // 0: an earlier version of the node, which sends no reading.
    if (sentUs != 0)
        m_clockEcho.onReading(absl::Microseconds(static_cast<std::int64_t>(sentUs)),
                              suspendAwareNow());
}

void PeerSession::openAttempt(mesh::OpenRequest &request)
{
    const AttemptId id(request.attempt());
    // The body, and the request that is written to the backend server.
    const std::size_t bodyBytes =
            std::max<std::size_t>(request.body().size(), request.body_bytes());
    const std::size_t bytes = 2 * bodyBytes;
    if (bytes > SmallBodyBytes && !m_inputKeeper.budget().hasRoomFor(bytes)
        && m_inputKeeper.budget().heldBytes() > bytes) {
        m_channel->send(encodeAttemptFailure(
                id, { Verdict::NotRun, Reason::InputBudget, false, absl::ZeroDuration() }));
        return;
    }
    m_attempts[id.value()] = bytes;
    m_attemptBytes += bytes;
    m_channel->setBytesHeldByObserver(m_attemptBytes);
    AttemptRequest attempt = decodeAttemptRequest(request, steadyNow(), m_transitDelayEstimator);
    if (request.body_bytes() > 0)
        m_bodyReceiver.announce(m_gateway.gateAttemptId(id), std::move(attempt), bodyBytes,
                                weak_from_this());
    else
        m_gateway.open(std::move(attempt), weak_from_this());
}

void PeerSession::onBodyPiece(const mesh::BodyPiece &piece)
{
    if (!m_attempts.contains(piece.attempt())
        || m_bodyReceiver.onPiece(m_gateway.gateAttemptId(AttemptId(piece.attempt())),
                                  piece.data()))
        return;
    const auto self = shared_from_this();
    m_channel->close();
    onChannelClosed("body-without-credit");
}

void PeerSession::requestBody(AttemptId id, std::size_t bytes)
{
    mesh::Frame frame;
    frame.mutable_body_wanted()->set_attempt(id.value());
    frame.mutable_body_wanted()->set_bytes(static_cast<std::uint32_t>(bytes));
    m_channel->send(frame);
}

void PeerSession::onBodyComplete(AttemptRequest request)
{
    m_gateway.open(std::move(request), weak_from_this());
}

void PeerSession::onBodyRefused(AttemptId id, Reason reason)
{
    onAttemptFailed(id, { Verdict::NotRun, reason, false, absl::ZeroDuration() });
}

void PeerSession::releaseAttempt(std::uint64_t id)
{
    const auto attempt = m_attempts.find(id);
    if (attempt == m_attempts.end())
        return;
    m_attemptBytes -= attempt->second;
    m_attempts.erase(attempt);
    m_channel->setBytesHeldByObserver(m_attemptBytes);
}

void PeerSession::onAnswerHead(AttemptId id, AnswerHead head)
{
    m_channel->send(encodeAnswerHead(id, std::move(head)));
}

void PeerSession::onAnswerBody(AttemptId id, std::string data)
{
    const std::size_t pieceSize = m_linkScheduler.pieceBytes();
    if (data.size() <= pieceSize && !m_channel->hasPacedFrames(id.value())) {
        mesh::Frame frame;
        frame.mutable_answer_body()->set_attempt(id.value());
        frame.mutable_answer_body()->set_data(std::move(data));
        m_channel->send(frame);
        return;
    }
    for (std::size_t offset = 0; offset < data.size(); offset += pieceSize) {
        mesh::Frame frame;
        frame.mutable_answer_body()->set_attempt(id.value());
        frame.mutable_answer_body()->set_data(data.substr(offset, pieceSize));
        m_channel->sendPaced(id.value(), frame);
    }
}

void PeerSession::onAnswerComplete(AttemptId id, const GateTimings &timings)
{
    releaseAttempt(id.value());
    const GateReport report = m_gate.report();
    mesh::Frame frame;
    mesh::AnswerEnd &message = *frame.mutable_answer_end();
    message.set_attempt(id.value());
    message.set_service_us(
            static_cast<std::uint32_t>(absl::ToInt64Microseconds(timings.serviceTime)));
    message.set_wait_us(static_cast<std::uint32_t>(absl::ToInt64Microseconds(timings.queueTime)));
    message.set_running(report.running);
    message.set_queued(report.queued);
    message.set_slowdown(static_cast<float>(report.slowdown));
    message.set_link_backlog_ms(
            static_cast<std::uint32_t>(absl::ToInt64Milliseconds(m_linkScheduler.backlogTime())));
    message.set_body_backlog_ms(
            static_cast<std::uint32_t>(absl::ToInt64Milliseconds(m_bodyReceiver.backlogTime())));
    if (report.requestLimit)
        *message.mutable_request_limit() = encodeRequestLimit(*report.requestLimit);
    if (m_channel->hasPacedFrames(id.value()))
        m_channel->sendPaced(id.value(), frame); // After the remaining body.
    else
        m_channel->send(frame);
}

void PeerSession::onAttemptFailed(AttemptId id, const AttemptFailure &failure)
{
    releaseAttempt(id.value());
    m_channel->dropPacedFrames(id.value());
    m_channel->send(encodeAttemptFailure(id, failure));
}

} // namespace godwitlift
