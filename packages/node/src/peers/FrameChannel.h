/// \file
/// Length-prefixed protocol frames on one TCP connection between two nodes.
#pragma once

#include "http/LinkScheduler.h"
#include "http/Network.h"
#include "mesh.pb.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace godwitlift {

/// Hears about the frames of a channel.
class FrameObserver
{
public:
    virtual ~FrameObserver() = default;
    virtual void frameReceived(const mesh::Frame &frame) = 0;
    /// The channel is unusable; \p cause is a short plain word.
    virtual void channelClosed(std::string_view cause) = 0;
};

/// Sends and receives frames. Frames written within one turn of the loop leave together.
class FrameChannel final : public std::enable_shared_from_this<FrameChannel>
{
public:
    FrameChannel(asio::io_context &loop, LinkScheduler &link, TcpSocket socket,
                 FrameObserver &observer);

    void start();
    /// What was sent is still delivered. The observer is not told.
    void close();
    /// Drops what was sent and not delivered, such as requests that were given up. The observer is
    /// not told.
    void abandon();
    void send(const mesh::Frame &frame);
    /// Sends \p frame in its turn on the link. \p tag names the answer that it is part of.
    void sendInTurn(std::uint64_t tag, const mesh::Frame &frame);
    /// True if a frame of \p tag waits for its turn.
    bool hasWaiting(std::uint64_t tag) const;
    /// Drops the frames of \p tag that wait for their turn.
    void dropWaiting(std::uint64_t tag);
    bool isOpen() const { return !m_isClosed; }
    /// When bytes last came.
    absl::Time heard() const { return m_heard; }
    bool hasUnsent() const { return !m_out.empty() || !m_pending.empty() || !m_waiting.empty(); }

private:
    /// Largest frame that is accepted, in bytes: a request body at its limit with room to spare.
    static constexpr std::size_t FrameLimit = std::size_t(72) * 1024 * 1024;

    struct WaitingFrame
    {
        std::uint64_t tag = 0;
        std::uint64_t ticket = 0;
        std::string bytes;
    };

    void scheduleFlush();
    void requestTurn();
    std::size_t waitingBytes() const;
    void flush();
    void waitReadable();
    void onReadable(const boost::system::error_code &error);
    void parseInput();
    void fail(std::string_view cause);

    asio::io_context &m_loop;
    LinkScheduler &m_link;
    TcpSocket m_socket;
    FrameObserver *m_observer; ///< Null once closed.
    std::string m_input;
    std::string m_out;     ///< Being written while m_isWriting.
    std::string m_pending; ///< Follows m_out.
    std::deque<WaitingFrame> m_waiting;
    bool m_isTurnRequested = false;
    bool m_isWriting = false;
    bool m_isFlushScheduled = false;
    bool m_isClosed = false;
    absl::Time m_heard;
};

} // namespace godwitlift
