/// \file
/// One client connection of an HttpServer.
#pragma once

#include "http/HttpServer.h"

#include <deque>

namespace godwitlift {

/// Reads requests ahead of their answers and writes the answers in order.
///
/// An idle connection holds no buffer: it waits for the socket to become readable and reads into
/// the loop's scratch space.
class ServerConnection final : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(HttpServer &server, TcpSocket socket);

    void start();
    void close();
    /// Closes after the answers that are due.
    void closeWhenAnswered();
    bool isIdle() const { return m_input.empty() && !hasUnsent(); }
    absl::Time lastUse() const { return m_lastUse; }
    bool hasUnsent() const { return !m_exchanges.empty() || !m_out.empty() || !m_pending.empty(); }
    /// Closes the connection if it has been idle or half read for too long.
    void sweep(absl::Time now);
    /// The exchange has more to send, has ended or was aborted.
    void advance();
    bool shouldClose() const;

private:
    /// Time that a client has to close after the last answer of a connection.
    static constexpr absl::Duration LingerTime = absl::Seconds(1);
    /// Requests of one connection that are worked on at a time.
    static constexpr std::size_t PipelineLimit = 64;
    /// Bytes that are read ahead while the pipeline is full.
    static constexpr std::size_t ReadAheadLimit = 64 * 1024;

    void waitReadable();
    void onReadable(const boost::system::error_code &error);
    /// False if the connection is closed.
    bool readAvailable();
    void parseInput();
    void requestComplete();
    void reject(unsigned status);
    void writeOut();
    /// Writes m_out.
    void startWriting();
    /// Writes the first piece of m_pending and returns its size.
    std::size_t writePiece();
    /// Sends the end of the stream and waits for the client to close.
    void beginLingering();
    void onWritten(const boost::system::error_code &error);

    HttpServer &m_server;
    TcpSocket m_socket;
    std::unique_ptr<RequestParser> m_parser; ///< Null between requests.
    std::string m_input;
    std::deque<std::shared_ptr<Exchange>> m_exchanges;
    std::string m_out;                  ///< Being written while m_isWriting.
    std::string m_pending;              ///< Follows m_out.
    std::weak_ptr<Exchange> m_draining; ///< Whose body bytes are in m_out.
    std::size_t m_drainingBytes = 0;
    std::uint64_t m_ticket = 0; ///< Of what waits for its turn on the link; 0 if nothing does.
    bool m_isWriting = false;   ///< Or waits for its turn on the link.
    bool m_isWaiting = false;
    bool m_isReadEnded = false; ///< No further request is taken.
    bool m_isLingering = false; ///< Everything is sent; only the client's close is awaited.
    bool m_isClosed = false;
    absl::Time m_lastUse;
    absl::Time m_messageBegan;
};

} // namespace godwitlift
