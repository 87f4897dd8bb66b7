/// \file
/// Connecting, silence, and attempts on the connection.
#include "peers/PeerLink.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// Time for a connection to be established; a round trip between zones takes milliseconds.
constexpr absl::Duration ConnectTimeout = absl::Milliseconds(400);
/// Pause after the first failed try, and its bound as it doubles.
constexpr absl::Duration FirstPause = absl::Milliseconds(100);
constexpr absl::Duration LongestPause = absl::Seconds(1);
/// Pause between two pings.
constexpr absl::Duration PingPause = absl::Milliseconds(600);
/// Time without an answer after which a connection counts as dead: three pings are missing.
constexpr absl::Duration SilenceLimit = absl::Milliseconds(2000);

} // namespace

PeerLink::PeerLink(asio::io_context &loop, LinkScheduler &link, PeerHost host,
                   PeerLinkObserver &observer)
    : m_loop(loop)
    , m_link(link)
    , m_host(std::move(host))
    , m_observer(observer)
    , m_connecting(loop.get_executor())
    , m_timer(loop.get_executor())
    , m_pause(FirstPause)
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
    wake();
}

absl::Duration PeerLink::downFor(absl::Time now) const
{
    return m_isUp ? absl::ZeroDuration() : now - m_downSince;
}

void PeerLink::connect()
{
    const auto endpoint = parseEndpoint(m_host.address.value());
    if (!endpoint || m_isConnecting || m_channel != nullptr)
        return;
    m_isConnecting = true;
    m_connecting = TcpSocket(m_loop.get_executor());
    expireAfter(m_timer, ConnectTimeout);
    m_timer.async_wait([this, alive = m_isAlive](const boost::system::error_code &error) {
        if (error || !*alive || !m_isConnecting)
            return;
        boost::system::error_code ignored; // The try is given up either way.
        m_connecting.close(ignored);
    });
    m_connecting.async_connect(*endpoint,
                               [this, alive = m_isAlive](const boost::system::error_code &error) {
                                   if (*alive)
                                       onConnected(error);
                               });
}

void PeerLink::onConnected(const boost::system::error_code &error)
{
    m_isConnecting = false;
    m_timer.cancel();
    if (error || !m_connecting.is_open()) {
        retryLater();
        return;
    }
    m_channel = std::make_shared<FrameChannel>(m_loop, m_link, std::move(m_connecting),
                                               static_cast<FrameObserver &>(*this));
    m_connecting = TcpSocket(m_loop.get_executor());
    m_answered = steadyNow();
    m_channel->start();
    if (m_channel != nullptr)
        m_channel->send(m_observer.helloFor(m_host.host));
}

void PeerLink::retryLater()
{
    expireAfter(m_timer, m_pause);
    m_pause = std::min(m_pause * 2, LongestPause);
    m_timer.async_wait([this, alive = m_isAlive](const boost::system::error_code &error) {
        if (!error && *alive)
            connect();
    });
}

void PeerLink::wake()
{
    if (m_channel != nullptr || m_isConnecting)
        return;
    m_pause = FirstPause;
    m_timer.cancel();
    connect();
}

void PeerLink::tick(absl::Time now)
{
    if (m_channel == nullptr)
        return;
    if (now - m_answered > SilenceLimit) {
        dropChannel("silent");
        return;
    }
    if (m_isUp && now - m_pinged >= PingPause) {
        m_pinged = now;
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

void PeerLink::channelClosed(std::string_view cause)
{
    dropChannel(cause);
}

void PeerLink::dropChannel(std::string_view cause)
{
    const bool wasUp = m_isUp;
    if (m_channel != nullptr)
        m_channel->abandon();
    m_channel.reset();
    m_isUp = false;
    if (wasUp)
        m_downSince = steadyNow();
    const auto attempts = std::move(m_attempts);
    m_attempts.clear();
    if (wasUp)
        m_observer.linkLost(*this, cause);
    for (const auto &[id, weak] : attempts) {
        if (const auto observer = weak.lock())
            observer->onAttemptFailed(AttemptId(id), { Verdict::MayHaveRun, Reason::AnswerLost,
                                                       true, absl::ZeroDuration() });
    }
    retryLater();
}

std::shared_ptr<AttemptObserver> PeerLink::observerOf(std::uint64_t attempt)
{
    const auto it = m_attempts.find(attempt);
    return it == m_attempts.end() ? nullptr : it->second.lock();
}

void PeerLink::frameReceived(const mesh::Frame &frame)
{
    switch (frame.content_case()) {
    case mesh::Frame::kHello:
        if (HostId(frame.hello().self().host()) != m_host.host) {
            const PeerHost owner = decodeHost(frame.hello().self());
            dropChannel("address-taken");
            m_observer.addressTaken(*this, owner);
            return;
        }
        m_isUp = true;
        m_answered = steadyNow();
        m_pause = FirstPause;
        m_observer.linkOpened(*this);
        m_observer.linkFrame(*this, frame);
        break;
    case mesh::Frame::kPong:
        m_answered = steadyNow();
        break;
    case mesh::Frame::kGateState:
        m_observer.gateReported(*this, decodeReport(frame.gate_state()));
        m_observer.linkFrame(*this, frame);
        break;
    case mesh::Frame::kRequestRefused: {
        const auto observer = observerOf(frame.request_refused().attempt());
        m_attempts.erase(frame.request_refused().attempt());
        if (observer != nullptr)
            observer->onAttemptFailed(AttemptId(frame.request_refused().attempt()),
                                      decodeFailure(frame.request_refused()));
        break;
    }
    case mesh::Frame::kAnswerHead:
        if (const auto observer = observerOf(frame.answer_head().attempt()))
            observer->onAnswerHead(AttemptId(frame.answer_head().attempt()),
                                   decodeHead(frame.answer_head()));
        break;
    case mesh::Frame::kAnswerBody:
        if (const auto observer = observerOf(frame.answer_body().attempt()))
            observer->onAnswerBody(AttemptId(frame.answer_body().attempt()),
                                   frame.answer_body().data());
        break;
    case mesh::Frame::kAnswerEnd: {
        const auto observer = observerOf(frame.answer_end().attempt());
        m_attempts.erase(frame.answer_end().attempt());
        if (observer != nullptr)
            observer->onAnswerComplete(AttemptId(frame.answer_end().attempt()),
                                       { absl::Microseconds(frame.answer_end().wait_us()),
                                         absl::Microseconds(frame.answer_end().service_us()) });
        m_observer.loadReported(*this, frame.answer_end().running(), frame.answer_end().queued(),
                                absl::Milliseconds(frame.answer_end().link_backlog_ms()));
        break;
    }
    default:
        m_observer.linkFrame(*this, frame);
        break;
    }
}

void PeerLink::open(AttemptRequest order, std::weak_ptr<AttemptObserver> observer)
{
    if (m_channel == nullptr || !m_isUp) {
        if (const auto target = observer.lock())
            target->onAttemptFailed(order.id, { Verdict::NotRun, Reason::ConnectFailed, false,
                                                absl::ZeroDuration() });
        return;
    }
    m_attempts[order.id.value()] = std::move(observer);
    m_channel->send(encodeOrder(order, steadyNow()));
}

void PeerLink::cancel(AttemptId id)
{
    if (m_attempts.erase(id.value()) == 0 || m_channel == nullptr)
        return;
    mesh::Frame frame;
    frame.mutable_cancel_request()->set_attempt(id.value());
    m_channel->send(frame);
}

void PeerLink::grantCredit(AttemptId id, std::size_t bytes)
{
    if (m_channel == nullptr || !m_attempts.contains(id.value()))
        return;
    mesh::Frame frame;
    frame.mutable_grant_credit()->set_attempt(id.value());
    frame.mutable_grant_credit()->set_bytes(static_cast<std::uint32_t>(bytes));
    m_channel->send(frame);
}

} // namespace godwitlift
