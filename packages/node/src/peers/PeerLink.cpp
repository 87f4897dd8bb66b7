/// \file
/// Connection set-up, ping timeout, and the frames of attempts.
#include "peers/PeerLink.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace godwitlift {

namespace {

/// A round trip between availability zones takes milliseconds.
constexpr absl::Duration ConnectTimeout = absl::Milliseconds(400);
/// The delay before a reconnection doubles with each failure up to the maximum.
constexpr absl::Duration InitialReconnectDelay = absl::Milliseconds(100);
constexpr absl::Duration MaxReconnectDelay = absl::Seconds(1);

} // namespace

PeerLink::PeerLink(asio::io_context &loop, LinkScheduler &linkScheduler, InputKeeper &inputKeeper,
                   PeerHost host, PeerLinkObserver &observer)
    : m_loop(loop)
    , m_linkScheduler(linkScheduler)
    , m_inputKeeper(inputKeeper)
    , m_host(std::move(host))
    , m_observer(observer)
    , m_connectingSocket(loop.get_executor())
    , m_connectTimer(loop.get_executor())
    , m_reconnectDelay(InitialReconnectDelay)
    , m_downSince(steadyNow())
{}

PeerLink::~PeerLink()
{
    *m_isAlive = false;
    if (m_channel != nullptr)
        m_channel->close();
}

void PeerLink::start()
{
    connect();
}

void PeerLink::setHost(const PeerHost &host)
{
    if (host == m_host)
        return;
    m_host = host;
    if (m_channel != nullptr)
        dropChannel("address-changed");
    connectNow();
}

absl::Duration PeerLink::downtime(absl::Time now) const
{
    return m_isUp ? absl::ZeroDuration() : now - m_downSince;
}

void PeerLink::connect()
{
    const auto endpoint = parseEndpoint(m_host.address.value());
    if (!endpoint || m_isConnecting || m_channel != nullptr)
        return;
    m_isConnecting = true;
    m_connectingSocket = TcpSocket(m_loop.get_executor());
    expireAfter(m_connectTimer, ConnectTimeout);
    m_connectTimer.async_wait([this, alive = m_isAlive](const boost::system::error_code &error) {
        if (error || !*alive || !m_isConnecting)
            return;
        boost::system::error_code ignored; // The socket is closed even if this reports an error.
        m_connectingSocket.close(ignored);
    });
    m_connectingSocket.async_connect(
            *endpoint, [this, alive = m_isAlive](const boost::system::error_code &error) {
                if (*alive)
                    onConnected(error);
            });
}

void PeerLink::onConnected(const boost::system::error_code &error)
{
    m_isConnecting = false;
    m_connectTimer.cancel();
    if (error || !m_connectingSocket.is_open()) {
        scheduleReconnect();
        return;
    }
    m_channel = std::make_shared<FrameChannel>(m_loop, m_linkScheduler, m_inputKeeper,
                                               std::move(m_connectingSocket),
                                               static_cast<FrameObserver &>(*this));
    m_connectingSocket = TcpSocket(m_loop.get_executor());
    m_probe.onConnected(steadyNow());
    m_transitDelayEstimator = TransitDelayEstimator();
    m_channel->setPeerKnown(); // This node has chosen whom to connect to.
    m_channel->start();
    m_clockReadingSent = suspendAwareNow(); // With the hello.
    if (m_channel != nullptr)
        m_channel->send(m_observer.makeHello(m_host.host));
}

void PeerLink::askForConfirmation()
{
    m_clockReadingSent = suspendAwareNow();
    send(encodeConfirmationWanted(m_clockReadingSent));
}

void PeerLink::scheduleReconnect()
{
    const absl::Duration delay = m_retryDelay.value_or(m_reconnectDelay);
    m_reconnectDelay = std::min(m_reconnectDelay * 2, MaxReconnectDelay);
    connectAfter(delay);
}

void PeerLink::connectAfter(absl::Duration delay)
{
    if (m_channel != nullptr || m_isConnecting)
        return;
    expireAfter(m_connectTimer, delay);
    m_connectTimer.async_wait([this, alive = m_isAlive](const boost::system::error_code &error) {
        if (!error && *alive)
            connect();
    });
}

void PeerLink::connectNow()
{
    if (m_channel != nullptr || m_isConnecting)
        return;
    m_reconnectDelay = InitialReconnectDelay;
    m_connectTimer.cancel();
    connect();
}

void PeerLink::tick(absl::Time now, std::size_t peerCount)
{
    if (m_channel == nullptr)
        return;
    if (m_probe.hasFailed(now)) {
        dropChannel("silent");
        return;
    }
    if (m_isUp && m_probe.isPingDue(now, peerCount)) {
        m_probe.onPingSent(now);
        mesh::Frame frame;
        frame.mutable_ping();
        m_channel->send(frame);
    }
}

void PeerLink::send(const mesh::Frame &frame)
{
    if (m_channel != nullptr)
        m_channel->send(frame);
}

void PeerLink::onChannelClosed(std::string_view cause)
{
    dropChannel(cause);
}

void PeerLink::dropChannel(std::string_view cause)
{
    const bool wasUp = m_isUp;
    absl::flat_hash_set<std::uint64_t> incompleteBodies;
    for (const auto &[id, body] : m_bodies) {
        if (isBodyIncomplete(id))
            incompleteBodies.insert(id);
    }
    m_bodies.clear();
    if (m_channel != nullptr)
        m_channel->abort();
    m_channel.reset();
    m_isUp = false;
    if (wasUp)
        m_downSince = steadyNow();
    const auto attempts = std::move(m_attemptObservers);
    m_attemptObservers.clear();
    if (wasUp)
        m_observer.onLinkLost(*this, cause);
    for (const auto &[id, weak] : attempts) {
        const auto observer = weak.lock();
        if (observer == nullptr)
            continue;
        const bool hasNotRun = incompleteBodies.contains(id);
        observer->onAttemptFailed(AttemptId(id),
                                  { hasNotRun ? Verdict::NotRun : Verdict::MayHaveRun,
                                    hasNotRun ? Reason::ConnectFailed : Reason::AnswerLost,
                                    !hasNotRun, absl::ZeroDuration() });
    }
    scheduleReconnect();
}

std::shared_ptr<AttemptObserver> PeerLink::findObserver(std::uint64_t attempt)
{
    const auto it = m_attemptObservers.find(attempt);
    return it == m_attemptObservers.end() ? nullptr : it->second.lock();
}

void PeerLink::onFrame(mesh::Frame &frame)
{
    switch (frame.content_case()) {
    case mesh::Frame::kHello:
        if (HostId(frame.hello().self().host()) != m_host.host) {
            const PeerHost owner = decodeHost(frame.hello().self());
            dropChannel("address-taken");
            m_observer.onAddressTaken(*this, owner);
            return;
        }
        m_isUp = true;
        m_announcedBodyBytes = frame.hello().announced_body_bytes();
        m_probe.onAnswer();
        m_reconnectDelay = InitialReconnectDelay;
        m_observer.onLinkOpened(*this);
        m_observer.onLinkFrame(*this, frame);
        break;
    case mesh::Frame::kPong:
        m_probe.onAnswer();
        break;
    case mesh::Frame::kGateState:
        m_observer.onGateReport(*this, decodeGateReport(frame.gate_state()));
        m_observer.onLinkFrame(*this, frame);
        break;
    case mesh::Frame::kConfigurationConfirmed:
        m_observer.onConfigurationConfirmed(
                *this, decodeConfirmation(frame.configuration_confirmed(), suspendAwareNow(),
                                          m_transitDelayEstimator));
        break;
    case mesh::Frame::kRequestRefused: {
        const auto observer = findObserver(frame.request_refused().attempt());
        dropBody(frame.request_refused().attempt());
        m_attemptObservers.erase(frame.request_refused().attempt());
        const AttemptFailure failure = decodeAttemptFailure(frame.request_refused());
        if (observer != nullptr)
            observer->onAttemptFailed(AttemptId(frame.request_refused().attempt()), failure);
        if (failure.demand)
            m_observer.onDemandReport(*this, *failure.demand);
        break;
    }
    case mesh::Frame::kBodyWanted:
        sendBodyPieces(frame.body_wanted().attempt(), frame.body_wanted().bytes());
        break;
    case mesh::Frame::kAnswerHead:
        if (const auto observer = findObserver(frame.answer_head().attempt()))
            observer->onAnswerHead(AttemptId(frame.answer_head().attempt()),
                                   decodeAnswerHead(frame.answer_head()));
        break;
    case mesh::Frame::kAnswerBody:
        if (const auto observer = findObserver(frame.answer_body().attempt()))
            observer->onAnswerBody(AttemptId(frame.answer_body().attempt()),
                                   frame.answer_body().data());
        break;
    case mesh::Frame::kAnswerEnd: {
        const auto observer = findObserver(frame.answer_end().attempt());
        m_attemptObservers.erase(frame.answer_end().attempt());
        m_bodies.erase(frame.answer_end().attempt());
        if (observer != nullptr)
            observer->onAnswerComplete(AttemptId(frame.answer_end().attempt()),
                                       { absl::Microseconds(frame.answer_end().wait_us()),
                                         absl::Microseconds(frame.answer_end().service_us()) });
        m_observer.onLoadReport(*this, decodeLoadReport(frame.answer_end()));
        break;
    }
    default:
        m_observer.onLinkFrame(*this, frame);
        break;
    }
}

void PeerLink::open(AttemptRequest request, std::weak_ptr<AttemptObserver> observer)
{
    if (m_channel == nullptr || !m_isUp) {
        if (const auto target = observer.lock())
            target->onAttemptFailed(request.id, { Verdict::NotRun, Reason::ConnectFailed, false,
                                                  absl::ZeroDuration() });
        return;
    }
    const absl::Time now = steadyNow();
    m_attemptObservers[request.id.value()] = std::move(observer);
    m_probe.onUsed(now);
    mesh::Frame frame = encodeAttemptRequest(request, now);
    const std::size_t bodyBytes = request.body->size();
    if (m_announcedBodyBytes != 0 && bodyBytes >= m_announcedBodyBytes) {
        frame.mutable_open_request()->set_body_bytes(bodyBytes);
        m_bodies[request.id.value()] = { request.body, 0 };
        m_channel->send(frame);
        return;
    }
    m_channel->send(frame, encodeBodyPrefix(bodyBytes), *request.body);
}

void PeerLink::sendBodyPieces(std::uint64_t attempt, std::size_t bytes)
{
    const auto it = m_bodies.find(attempt);
    if (it == m_bodies.end() || m_channel == nullptr)
        return;
    AnnouncedBody &body = it->second;
    const std::size_t end = std::min(body.sent + bytes, body.body->size());
    while (body.sent < end) {
        const std::size_t size = std::min(m_linkScheduler.pieceBytes(), end - body.sent);
        mesh::Frame frame;
        frame.mutable_body_piece()->set_attempt(attempt);
        frame.mutable_body_piece()->set_data(body.body->substr(body.sent, size));
        body.sent += size;
        m_channel->sendPaced(attempt, frame);
    }
    if (body.sent == body.body->size() && !m_channel->hasPacedFrames(attempt))
        m_bodies.erase(it);
}

bool PeerLink::isBodyIncomplete(std::uint64_t attempt) const
{
    const auto it = m_bodies.find(attempt);
    return it != m_bodies.end()
           && (it->second.sent < it->second.body->size()
               || (m_channel != nullptr && m_channel->hasPacedFrames(attempt)));
}

void PeerLink::dropBody(std::uint64_t attempt)
{
    if (m_bodies.erase(attempt) > 0 && m_channel != nullptr)
        m_channel->dropPacedFrames(attempt);
}

bool PeerLink::cancel(AttemptId id)
{
    if (m_attemptObservers.erase(id.value()) == 0 || m_channel == nullptr)
        return false;
    const bool hasNotRun = isBodyIncomplete(id.value());
    dropBody(id.value());
    mesh::Frame frame;
    frame.mutable_cancel_request()->set_attempt(id.value());
    m_channel->send(frame);
    return hasNotRun;
}

void PeerLink::grantCredit(AttemptId id, std::size_t bytes)
{
    if (m_channel == nullptr || !m_attemptObservers.contains(id.value()))
        return;
    mesh::Frame frame;
    frame.mutable_grant_credit()->set_attempt(id.value());
    frame.mutable_grant_credit()->set_bytes(static_cast<std::uint32_t>(bytes));
    m_channel->send(frame);
}

} // namespace godwitlift
