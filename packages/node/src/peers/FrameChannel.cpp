/// \file
/// Framing, batched writes and reads of FrameChannel.
#include "peers/FrameChannel.h"

#include "http/GrowingBuffer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstring>

namespace godwitlift {

namespace {

constexpr std::size_t LengthPrefixBytes = 4;

std::size_t decodeLengthPrefix(std::string_view input)
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < LengthPrefixBytes; ++i)
        size = (size << 8U) | static_cast<unsigned char>(input[i]);
    return size;
}

void appendFrame(const mesh::Frame &frame, std::string_view bodyPrefix, std::string_view body,
                 std::size_t size, std::string &out)
{
    const std::size_t finalSize = out.size() + LengthPrefixBytes + size;
    reserveFor(out, finalSize, std::max(finalSize, 2 * out.capacity()));
    char prefix[LengthPrefixBytes];
    for (std::size_t i = 0; i < LengthPrefixBytes; ++i)
        prefix[i] = static_cast<char>(size >> (8 * (LengthPrefixBytes - 1 - i)));
    out.append(prefix, LengthPrefixBytes);
    out += bodyPrefix;
    out += body;
    frame.AppendToString(&out);
}

} // namespace

FrameChannel::FrameChannel(asio::io_context &loop, LinkScheduler &linkScheduler,
                           InputKeeper &inputKeeper, TcpSocket socket, FrameObserver &observer)
    : m_loop(loop)
    , m_linkScheduler(linkScheduler)
    , m_inputKeeper(inputKeeper)
    , m_account(std::in_place, inputKeeper, *this)
    , m_openTime(steadyNow())
    , m_socket(std::move(socket))
    , m_observer(&observer)
    , m_lastReceiveTime(steadyNow())
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
    waitUntilReadable();
}

void FrameChannel::close()
{
    m_observer = nullptr;
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_account.reset();
    boost::system::error_code ignored; // The socket is closed even if this reports an error.
    m_socket.close(ignored);
}

void FrameChannel::abort()
{
    m_observer = nullptr;
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_account.reset();
    resetConnection(m_socket);
}

void FrameChannel::fail(std::string_view cause)
{
    FrameObserver *observer = m_observer;
    close();
    if (observer != nullptr)
        observer->onChannelClosed(cause);
}

void FrameChannel::setPeerKnown()
{
    m_isPeerKnown = true;
    accountHeldBytes();
}

void FrameChannel::setBytesHeldByObserver(std::size_t bytes)
{
    m_bytesHeldByObserver = bytes;
    accountHeldBytes();
}

void FrameChannel::yieldHeld()
{
    const auto self = shared_from_this();
    fail("input-budget");
}

void FrameChannel::accountHeldBytes()
{
    if (!m_account)
        return;
    std::size_t bytes = m_readBuffer.capacity() + m_writeBuffer.capacity() + m_bytesHeldByObserver
                        + m_pacedBytes;
    for (const std::string &buffer : m_queuedBuffers)
        bytes += buffer.capacity();
    m_account->setHeld(bytes, m_isPeerKnown ? YieldOrder::Never : YieldOrder::Unfinished,
                       m_openTime);
}

void FrameChannel::send(const mesh::Frame &frame)
{
    send(frame, {}, {});
}

void FrameChannel::send(const mesh::Frame &frame, std::string_view bodyPrefix,
                        std::string_view body)
{
    if (m_isClosed)
        return;
    const std::size_t size = frame.ByteSizeLong() + bodyPrefix.size() + body.size();
    appendFrame(frame, bodyPrefix, body, size, queuedBufferFor(size));
    m_linkScheduler.recordUnscheduledSend(LengthPrefixBytes + size);
    accountHeldBytes();
    scheduleFlush();
}

void FrameChannel::sendPaced(std::uint64_t streamId, const mesh::Frame &frame)
{
    if (m_isClosed)
        return;
    const auto earlier =
            std::find_if(m_pacedFrames.begin(), m_pacedFrames.end(),
                         [&](const PacedFrame &other) { return other.streamId == streamId; });
    PacedFrame pacedFrame{ streamId,
                           earlier == m_pacedFrames.end() ? m_linkScheduler.nextTicket()
                                                          : earlier->ticket,
                           {} };
    appendFrame(frame, {}, {}, frame.ByteSizeLong(), pacedFrame.bytes);
    m_pacedBytes += pacedFrame.bytes.size();
    m_pacedFrames.push_back(std::move(pacedFrame));
    accountHeldBytes();
    scheduleNextPacedFrame();
}

void FrameChannel::scheduleNextPacedFrame()
{
    if (m_isPacedFrameScheduled || m_pacedFrames.empty())
        return;
    m_isPacedFrameScheduled = true;
    m_linkScheduler.scheduleSend(
            m_pacedFrames.front().ticket, m_pacedBytes, [weak = weak_from_this()]() -> std::size_t {
                const auto self = weak.lock();
                if (self == nullptr)
                    return 0;
                self->m_isPacedFrameScheduled = false;
                if (self->m_isClosed || self->m_pacedFrames.empty())
                    return 0;
                const std::string bytes = std::move(self->m_pacedFrames.front().bytes);
                self->m_pacedFrames.pop_front();
                self->m_pacedBytes -= bytes.size();
                self->queuedBufferFor(bytes.size()) += bytes;
                self->scheduleFlush();
                self->scheduleNextPacedFrame();
                return bytes.size();
            });
}

bool FrameChannel::hasPacedFrames(std::uint64_t streamId) const
{
    return std::any_of(m_pacedFrames.begin(), m_pacedFrames.end(),
                       [&](const PacedFrame &frame) { return frame.streamId == streamId; });
}

void FrameChannel::dropPacedFrames(std::uint64_t streamId)
{
    std::erase_if(m_pacedFrames, [&](const PacedFrame &frame) {
        if (frame.streamId != streamId)
            return false;
        m_pacedBytes -= frame.bytes.size();
        return true;
    });
    accountHeldBytes();
}

std::string &FrameChannel::queuedBufferFor(std::size_t frameBytes)
{
    // A ping behind a body of 64 MiB would otherwise copy the body.
    if (m_queuedBuffers.empty() || frameBytes >= LargeFrameBytes
        || m_queuedBuffers.back().size() >= LargeFrameBytes)
        m_queuedBuffers.emplace_back();
    return m_queuedBuffers.back();
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
    if (m_isWriting || m_isClosed || m_queuedBuffers.empty())
        return;
    std::size_t sent = 0;
    while (sent == m_writeBuffer.size()) {
        std::string().swap(m_writeBuffer);
        if (m_queuedBuffers.empty()) {
            accountHeldBytes();
            return;
        }
        m_writeBuffer.swap(m_queuedBuffers.front());
        m_queuedBuffers.pop_front();
        boost::system::error_code error;
        sent = m_socket.write_some(asio::buffer(m_writeBuffer), error);
        if (error && error != asio::error::would_block && error != asio::error::try_again) {
            fail("write-failed");
            return;
        }
    }
    m_isWriting = true;
    asio::async_write(
            m_socket, asio::buffer(m_writeBuffer.data() + sent, m_writeBuffer.size() - sent),
            [self = shared_from_this()](const boost::system::error_code &socketError, std::size_t) {
                self->m_isWriting = false;
                std::string().swap(self->m_writeBuffer);
                self->accountHeldBytes();
                if (self->m_isClosed)
                    return;
                if (socketError)
                    self->fail("write-failed");
                else
                    self->flush();
            });
}

void FrameChannel::waitUntilReadable()
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
    boost::system::error_code socketError = error;
    std::size_t size = 0;
    if (!socketError)
        size = m_socket.read_some(asio::buffer(ReadScratch::data(), ReadScratch::Size),
                                  socketError);
    if (socketError && socketError != asio::error::would_block
        && socketError != asio::error::try_again) {
        fail(socketError == asio::error::eof ? "closed-by-peer" : "read-failed");
        return;
    }
    if (size > 0) {
        m_lastReceiveTime = steadyNow();
        m_readBuffer.append(ReadScratch::data(), size);
        parseInput();
        accountHeldBytes();
    }
    waitUntilReadable();
}

void FrameChannel::parseInput()
{
    std::size_t offset = 0;
    while (!m_isClosed && m_readBuffer.size() - offset >= LengthPrefixBytes) {
        const std::string_view remaining = std::string_view(m_readBuffer).substr(offset);
        const std::size_t size = decodeLengthPrefix(remaining);
        if (size > (m_isPeerKnown ? MaxFrameBytes : MaxFirstFrameBytes)) {
            fail("frame-too-large");
            return;
        }
        if (remaining.size() < LengthPrefixBytes + size) {
            const std::size_t finalSize = offset + LengthPrefixBytes + size;
            reserveFor(m_readBuffer, std::min(m_readBuffer.size() + ReadScratch::Size, finalSize),
                       finalSize);
            break;
        }
        mesh::Frame frame;
        if (!frame.ParseFromArray(remaining.data() + LengthPrefixBytes, static_cast<int>(size))) {
            fail("malformed-frame");
            return;
        }
        offset += LengthPrefixBytes + size;
        if (size >= LargeFrameBytes) {
            // The observer makes copies of its own.
            std::string(m_readBuffer, offset).swap(m_readBuffer);
            offset = 0;
            accountHeldBytes();
        }
        if (m_observer != nullptr)
            m_observer->onFrame(frame);
    }
    m_readBuffer.erase(0, offset);
    if (m_readBuffer.empty())
        std::string().swap(m_readBuffer);
}

} // namespace godwitlift
