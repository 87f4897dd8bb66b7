/// \file
/// Length-prefixed protocol frames on one TCP connection between two nodes.
#pragma once

#include "http/InputKeeper.h"
#include "http/LinkScheduler.h"
#include "http/Network.h"
#include "mesh.pb.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace godwitlift {

/// Receives the frames of a channel and its failure.
class FrameObserver
{
public:
    virtual ~FrameObserver() = default;
    /// May move large content out of \p frame.
    virtual void onFrame(mesh::Frame &frame) = 0;
    /// The connection has failed. \p cause is an identifier for logs and metrics.
    virtual void onChannelClosed(std::string_view cause) = 0;
};

/// Sends and receives frames. Frames sent within one iteration of the event loop are written
/// together.
class FrameChannel final : public InputHolder, public std::enable_shared_from_this<FrameChannel>
{
public:
    FrameChannel(asio::io_context &loop, LinkScheduler &linkScheduler, InputKeeper &inputKeeper,
                 TcpSocket socket, FrameObserver &observer);

    void start();
    /// Closes the connection; the kernel still delivers what was written. The observer is not
    /// called.
    void close();
    /// Closes the connection and discards undelivered data, such as requests that have since been
    /// cancelled. The observer is not called.
    void abort();
    void send(const mesh::Frame &frame);
    /// As send(); \p bodyPrefix and \p body precede the serialized frame and are part of it.
    void send(const mesh::Frame &frame, std::string_view bodyPrefix, std::string_view body);
    /// Queues \p frame until the link scheduler allows it to be sent. Frames with the same
    /// \p streamId belong to one answer and share a ticket of the scheduler.
    void sendPaced(std::uint64_t streamId, const mesh::Frame &frame);
    /// True if frames of \p streamId wait for the link scheduler.
    bool hasPacedFrames(std::uint64_t streamId) const;
    /// Discards the frames of \p streamId that wait for the link scheduler.
    void dropPacedFrames(std::uint64_t streamId);
    /// Until then only small frames are accepted, and the channel yields if memory is short.
    void setPeerKnown();
    /// Accounts \p bytes of messages that the observer holds.
    void setBytesHeldByObserver(std::size_t bytes);
    void yieldHeld() override;
    bool isOpen() const { return !m_isClosed; }
    absl::Time lastReceiveTime() const { return m_lastReceiveTime; }
    bool hasUnsentFrames() const
    {
        return !m_writeBuffer.empty() || !m_queuedBuffers.empty() || !m_pacedFrames.empty();
    }

private:
    /// A larger frame closes the connection. Holds the largest permitted request body and its head.
    static constexpr std::size_t MaxFrameBytes =
            InputBudget::LargestForwardedBodyBytes + std::size_t(8) * 1024 * 1024;

    /// Largest frame of a peer that has not said who it is.
    static constexpr std::size_t MaxFirstFrameBytes = std::size_t(1) * 1024 * 1024;
    /// A frame of at least this size is taken out of the read buffer before it is handled, and has
    /// a write buffer of its own.
    static constexpr std::size_t LargeFrameBytes = 256 * 1024;

    struct PacedFrame
    {
        std::uint64_t streamId = 0;
        std::uint64_t ticket = 0;
        std::string bytes;
    };

    /// The buffer to append the next frame to, which has \p frameBytes. One that holds much is not
    /// enlarged, since that would copy it.
    std::string &queuedBufferFor(std::size_t frameBytes);
    void scheduleFlush();
    void scheduleNextPacedFrame();
    void flush();
    void waitUntilReadable();
    void onReadable(const boost::system::error_code &error);
    void parseInput();
    void fail(std::string_view cause);
    void accountHeldBytes();

    asio::io_context &m_loop;
    LinkScheduler &m_linkScheduler;
    InputKeeper &m_inputKeeper;
    std::optional<InputKeeper::Account> m_account; ///< None once closed.
    bool m_isPeerKnown = false;
    std::size_t m_bytesHeldByObserver = 0;
    absl::Time m_openTime;
    TcpSocket m_socket;
    FrameObserver *m_observer; ///< Null after close.
    std::string m_readBuffer;
    std::string m_writeBuffer; ///< Being written while m_isWriting.
    /// Written after m_writeBuffer, in this order; none is empty between calls.
    std::deque<std::string> m_queuedBuffers;
    std::deque<PacedFrame> m_pacedFrames;
    std::size_t m_pacedBytes = 0; ///< Sum over m_pacedFrames.
    bool m_isPacedFrameScheduled = false;
    bool m_isWriting = false;
    bool m_isFlushScheduled = false;
    bool m_isClosed = false;
    absl::Time m_lastReceiveTime;
};

} // namespace godwitlift
