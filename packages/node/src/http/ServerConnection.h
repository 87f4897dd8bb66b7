/// \file
/// One client connection of an HttpServer.
#pragma once

#include "http/HttpServer.h"

#include <deque>

namespace godwitlift {

/// Reads pipelined requests ahead of their answers and writes the answers in request order.
///
/// An idle connection holds no read buffer: it waits for the socket to become readable and reads
/// into the thread's scratch buffer.
class ServerConnection final : public InputHolder,
                               public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(HttpServer &server, TcpSocket socket);

    void start();
    void close();
    /// Accepts no further requests and closes after the outstanding answers.
    void closeAfterAnswers();
    /// Refuses the unfinished request.
    void yieldHeld() override;
    /// Time of the last activity, or at which the unfinished request began; none if answers are
    /// due.
    std::optional<absl::Time> unusedSince() const;
    bool isIdle() const { return m_input.empty() && !hasUnsentAnswers(); }
    absl::Time lastActivity() const { return m_lastActivity; }
    bool hasUnsentAnswers() const
    {
        return !m_exchanges.empty() || !m_writeBuffer.empty() || !m_pendingOutput.empty();
    }
    /// True if answers are due, or on their way to the client's host.
    bool hasUndeliveredAnswers() { return hasUnsentAnswers() || unacknowledgedBytes(m_socket) > 0; }
    /// Closes the connection if it exceeded the head, idle or linger timeout.
    void closeIfTimedOut(absl::Time now);
    /// States what the connection holds. To be called when that has changed.
    void accountHeldBytes();
    /// An exchange has more to send, is complete or was aborted.
    void onExchangeProgress();
    /// Called when the head of the answer to \p exchange is written. True if that answer is the
    /// connection's last one, after which no further request is accepted.
    bool decideClosing(const Exchange &exchange);

private:
    /// Time that the client has to close the connection after the last answer.
    static constexpr absl::Duration LingerTimeout = absl::Seconds(1);
    /// Limit of unanswered requests of one connection.
    static constexpr std::size_t PipelineLimit = 64;
    /// Limit of buffered input while the pipeline is full.
    static constexpr std::size_t ReadAheadLimitBytes = 64 * 1024;
    /// Rate below which a body is rejected once it has taken longer than the idle timeout. A client
    /// whose request has seconds left has given up long before.
    static constexpr std::size_t MinBodyBytesPerSecond = 32 * 1024;
    /// Unsent output up to which a connection never yields.
    static constexpr std::size_t KeptOutputBytes = 16 * 1024;
    /// Copies of a complete body: its call's, and the one on the way to the backend server.
    static constexpr std::size_t PassedOnCopies = 2;
    /// A smaller body never makes the node hold too much, and is passed on in any case.
    static constexpr std::size_t SmallBodyBytes = 16 * 1024;

    void waitUntilReadable();
    void onReadable(const boost::system::error_code &error);
    /// Returns false if the connection was closed.
    bool readAvailable();
    void parseInput();
    bool isBodyTooSlow(absl::Time now) const;
    std::size_t outputBytes() const;
    void accountOutput();
    void onRequestComplete();
    void rejectRequest(unsigned status, std::string_view fields = {});
    void refuseForBudget();
    /// Ends the connection in the middle of the first unfinished answer, once the complete answers
    /// before it are written.
    void breakOff();
    /// Forgets the unfinished request and the unanswered ones, and cancels their calls.
    void discardExchanges();
    void writePendingOutput();
    /// Starts writing m_writeBuffer; onWritten() follows.
    void startWrite();
    /// Starts writing the first piece of m_pendingOutput and returns its size.
    std::size_t writePiece();
    /// Shuts down the sending side and waits for the client to close.
    void beginLingeringClose();
    void onWritten(const boost::system::error_code &error);

    /// Gives up unsent answers.
    class OutputHolder final : public InputHolder
    {
    public:
        explicit OutputHolder(ServerConnection &connection)
            : m_connection(connection)
        {}
        void yieldHeld() override { m_connection.yieldOutput(); }

    private:
        ServerConnection &m_connection;
    };

    void yieldOutput();

    HttpServer &m_server;
    TcpSocket m_socket;
    OutputHolder m_outputHolder;
    std::optional<InputKeeper::Account> m_account;       ///< Of input. None once closed.
    std::optional<InputKeeper::Account> m_outputAccount; ///< None once closed.
    absl::Time m_outputSince =
            absl::InfiniteFuture(); ///< Since when no output has been written, if there is any.
    std::size_t m_bodyBytes = 0;    ///< Received of the unfinished request's body.
    std::unique_ptr<RequestParser> m_parser; ///< Null between requests.
    std::string m_input;
    std::deque<std::shared_ptr<Exchange>> m_exchanges;
    std::string m_writeBuffer;   ///< Being written if m_isWriting.
    std::string m_pendingOutput; ///< To be written after m_writeBuffer.
    /// Of m_writeBuffer and m_pendingOutput, up to the end of the last complete answer.
    std::size_t m_completeOutputBytes = 0;
    std::weak_ptr<Exchange> m_bodyExchange; ///< The exchange that m_unsentBodyBytes belong to.
    std::size_t m_unsentBodyBytes = 0;      ///< In m_writeBuffer and m_pendingOutput.
    std::uint64_t m_linkTicket = 0;         ///< Of output scheduled on the link; 0 if none is.
    bool m_isWriting = false;               ///< Writing, or waiting for the link scheduler.
    bool m_isAwaitingRead = false;
    bool m_isInputClosed = false; ///< No further request is accepted.
    bool m_isLingering = false;   ///< All is sent; waits for the client to close.
    bool m_isClosed = false;
    absl::Time m_lastActivity;
    absl::Time m_requestStart;
};

} // namespace godwitlift
