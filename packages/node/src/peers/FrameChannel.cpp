/// \file
/// Framing and batching.
#include "peers/FrameChannel.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstring>

namespace godwitlift {

namespace {

constexpr std::size_t PrefixSize = 4;

std::size_t readPrefix(std::string_view input)
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < PrefixSize; ++i)
        size = (size << 8U) | static_cast<unsigned char>(input[i]);
    return size;
}

void appendFrame(const mesh::Frame &frame, std::string &out)
{
    const std::size_t size = frame.ByteSizeLong();
    char prefix[PrefixSize];
    for (std::size_t i = 0; i < PrefixSize; ++i)
        prefix[i] = static_cast<char>(size >> (8 * (PrefixSize - 1 - i)));
    out.append(prefix, PrefixSize);
    frame.AppendToString(&out);
}

} // namespace

FrameChannel::FrameChannel(asio::io_context &loop, LinkScheduler &link, TcpSocket socket,
                           FrameObserver &observer)
    : m_loop(loop)
    , m_link(link)
    , m_socket(std::move(socket))
    , m_observer(&observer)
    , m_heard(steadyNow())
{}

void FrameChannel::start()
{
    boost::system::error_code error;
    m_socket.non_blocking(true, error);
    if (error) {
        fail("socket-error");
        return;
    }
    configureConnection(m_socket);
    waitReadable();
}

void FrameChannel::close()
{
    m_observer = nullptr;
    if (m_isClosed)
        return;
    m_isClosed = true;
    boost::system::error_code ignored; // The connection is given up either way.
    m_socket.close(ignored);
}

void FrameChannel::abandon()
{
    m_observer = nullptr;
    if (m_isClosed)
        return;
    m_isClosed = true;
    resetConnection(m_socket);
}

void FrameChannel::fail(std::string_view cause)
{
    FrameObserver *observer = m_observer;
    close();
    if (observer != nullptr)
        observer->channelClosed(cause);
}

void FrameChannel::send(const mesh::Frame &frame)
{
    if (m_isClosed)
        return;
    const std::size_t before = m_pending.size();
    appendFrame(frame, m_pending);
    m_link.recordUnscheduledSend(m_pending.size() - before);
    scheduleFlush();
}

void FrameChannel::sendInTurn(std::uint64_t tag, const mesh::Frame &frame)
{
    if (m_isClosed)
        return;
    const auto begun = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [&](const WaitingFrame &other) { return other.tag == tag; });
    WaitingFrame waiting{ tag, begun == m_waiting.end() ? m_link.nextTicket() : begun->ticket, {} };
    appendFrame(frame, waiting.bytes);
    m_waiting.push_back(std::move(waiting));
    requestTurn();
}

void FrameChannel::requestTurn()
{
    if (m_isTurnRequested || m_waiting.empty())
        return;
    m_isTurnRequested = true;
    m_link.scheduleSend(m_waiting.front().ticket, waitingBytes(),
                        [weak = weak_from_this()]() -> std::size_t {
                            const auto self = weak.lock();
                            if (self == nullptr)
                                return 0;
                            self->m_isTurnRequested = false;
                            if (self->m_isClosed || self->m_waiting.empty())
                                return 0;
                            const std::string bytes = std::move(self->m_waiting.front().bytes);
                            self->m_waiting.pop_front();
                            self->m_pending += bytes;
                            self->scheduleFlush();
                            self->requestTurn();
                            return bytes.size();
                        });
}

std::size_t FrameChannel::waitingBytes() const
{
    std::size_t bytes = 0;
    for (const WaitingFrame &frame : m_waiting)
        bytes += frame.bytes.size();
    return bytes;
}

bool FrameChannel::hasWaiting(std::uint64_t tag) const
{
    return std::any_of(m_waiting.begin(), m_waiting.end(),
                       [&](const WaitingFrame &frame) { return frame.tag == tag; });
}

void FrameChannel::dropWaiting(std::uint64_t tag)
{
    std::erase_if(m_waiting, [&](const WaitingFrame &frame) { return frame.tag == tag; });
}

void FrameChannel::scheduleFlush()
{
    if (m_isFlushScheduled || m_isWriting)
        return;
    m_isFlushScheduled = true;
    asio::post(m_loop, [self = shared_from_this()] {
        self->m_isFlushScheduled = false;
        self->flush();
    });
}

void FrameChannel::flush()
{
    if (m_isWriting || m_isClosed || m_pending.empty())
        return;
    m_out.swap(m_pending);
    boost::system::error_code error;
    const std::size_t sent = m_socket.write_some(asio::buffer(m_out), error);
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        fail("write-failed");
        return;
    }
    if (sent == m_out.size()) {
        std::string().swap(m_out);
        return;
    }
    m_isWriting = true;
    asio::async_write(
            m_socket, asio::buffer(m_out.data() + sent, m_out.size() - sent),
            [self = shared_from_this()](const boost::system::error_code &failed, std::size_t) {
                self->m_isWriting = false;
                std::string().swap(self->m_out);
                if (self->m_isClosed)
                    return;
                if (failed)
                    self->fail("write-failed");
                else
                    self->flush();
            });
}

void FrameChannel::waitReadable()
{
    if (m_isClosed)
        return;
    m_socket.async_wait(TcpSocket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &error) {
                            self->onReadable(error);
                        });
}

void FrameChannel::onReadable(const boost::system::error_code &error)
{
    if (m_isClosed)
        return;
    boost::system::error_code failed = error;
    std::size_t size = 0;
    if (!failed)
        size = m_socket.read_some(asio::buffer(ReadScratch::data(), ReadScratch::Size), failed);
    if (failed && failed != asio::error::would_block && failed != asio::error::try_again) {
        fail(failed == asio::error::eof ? "closed-by-peer" : "read-failed");
        return;
    }
    if (size > 0) {
        m_heard = steadyNow();
        m_input.append(ReadScratch::data(), size);
        parseInput();
    }
    waitReadable();
}

void FrameChannel::parseInput()
{
    std::size_t at = 0;
    while (!m_isClosed && m_input.size() - at >= PrefixSize) {
        const std::string_view rest = std::string_view(m_input).substr(at);
        const std::size_t size = readPrefix(rest);
        if (size > FrameLimit) {
            fail("frame-too-large");
            return;
        }
        if (rest.size() < PrefixSize + size)
            break;
        mesh::Frame frame;
        if (!frame.ParseFromArray(rest.data() + PrefixSize, static_cast<int>(size))) {
            fail("malformed-frame");
            return;
        }
        at += PrefixSize + size;
        if (m_observer != nullptr)
            m_observer->frameReceived(frame);
    }
    m_input.erase(0, at);
    if (m_input.empty())
        std::string().swap(m_input);
}

} // namespace godwitlift
