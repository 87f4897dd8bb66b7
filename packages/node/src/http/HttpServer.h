/// \file
/// HTTP/1.1 server on the event loop: persistent connections, pipelining, streamed answers.
#pragma once

#include "http/HttpMessage.h"
#include "http/InputKeeper.h"
#include "http/LinkScheduler.h"
#include "http/MessageParser.h"
#include "http/Network.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace godwitlift {

class ServerConnection;

/// Receives events of the client connection while a request is being answered.
class ExchangeObserver
{
public:
    virtual ~ExchangeObserver() = default;
    /// The connection was closed; no answer can be delivered any more.
    virtual void onClientDisconnected() = 0;
    /// \p bytes of a streamed answer's body have been written to the socket.
    virtual void onAnswerBytesSent(std::size_t bytes) = 0;
};

/// One request and its answer. Answers are sent in the order in which their connection received the
/// requests, whatever the order in which they are completed.
class Exchange final : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::weak_ptr<ServerConnection> connection, HttpRequest request);

    const HttpRequest &request() const { return m_request; }
    HttpRequest &request() { return m_request; }
    absl::Time arrivalTime() const { return m_arrivalTime; }
    /// True if the client allows further requests on this connection.
    bool isKeepAlive() const { return m_request.head.isKeepAlive; }
    void setObserver(std::weak_ptr<ExchangeObserver> observer) { m_observer = std::move(observer); }

    /// Sends a complete answer. \p fields are complete lines that end with CRLF.
    void respond(unsigned status, std::string_view phrase, std::string_view fields,
                 std::string_view body);
    /// Begins an answer whose body follows by writeBody(). Without \p length, the transfer is
    /// chunked.
    void beginAnswer(unsigned status, std::string_view phrase, std::string_view fields,
                     std::optional<std::uint64_t> length);
    void writeBody(std::string_view data);
    void endAnswer();
    /// Accounts \p bytes of the answer that its call holds back.
    void setBytesHeldByCall(std::size_t bytes);
    /// Discards an answer that has begun, so that another one can take its place. Returns false if
    /// the connection has taken a part of it.
    bool withdrawAnswer();
    /// Ends the connection in the middle of the answer, so that the client detects truncation. The
    /// complete answers before it are sent first.
    void abortAnswer();

private:
    friend class ServerConnection;

    void appendHead(unsigned status, std::string_view phrase, std::string_view fields);
    void flush();

    std::weak_ptr<ServerConnection> m_connection;
    std::weak_ptr<ExchangeObserver> m_observer;
    HttpRequest m_request;
    /// Size of the request's body, which its call holds until the exchange is complete.
    std::size_t m_requestBodyBytes = 0;
    std::size_t m_requestHeadBytes = 0;
    std::size_t m_bytesHeldByCall = 0; ///< Of the answer.
    absl::Time m_arrivalTime;
    std::string m_outputBuffer;          ///< Not yet handed to the connection.
    std::size_t m_bufferedBodyBytes = 0; ///< Body bytes in m_outputBuffer.
    bool m_isTakenByConnection = false;  ///< A part of the answer; it cannot be withdrawn.
    bool m_isChunked = false;
    bool m_isComplete = false;
    bool m_isAborted = false;
    bool m_closesConnection = false; ///< The answer carries `Connection: close`.
};

/// Handles the requests received on one listening address.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    virtual void handle(const std::shared_ptr<Exchange> &exchange) = 0;
    /// A request that was malformed, too large or timed out was answered with \p status.
    virtual void onRequestRejected(unsigned status) = 0;
};

/// Limits of a server; may change while it runs.
struct ServerLimits
{
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 1024 * 1024;
    absl::Duration headTimeout = absl::Seconds(5);
    absl::Duration idleTimeout = absl::Seconds(15);
    std::size_t maxConnections = 1000;
};

/// Accepts connections on one address.
class HttpServer final
{
public:
    HttpServer(asio::io_context &loop, LinkScheduler &linkScheduler, InputKeeper &inputKeeper,
               HttpHandler &handler);
    ~HttpServer();

    /// Returns false and sets \p error if the address cannot be bound.
    bool listen(const asio::ip::tcp::endpoint &endpoint, std::string &error);
    void setLimits(const ServerLimits &limits) { m_limits = limits; }
    const ServerLimits &limits() const { return m_limits; }
    /// From now on, the last answer of each connection carries `Connection: close`.
    void disableKeepAlive() { m_isKeepAliveDisabled = true; }
    bool isKeepAliveDisabled() const { return m_isKeepAliveDisabled; }
    /// Accepts no more connections and requests; closes each connection after its last answer.
    void stopAccepting();
    /// Closes connections that exceeded the head or idle timeout. To be called about once a second.
    void closeTimedOutConnections();
    std::size_t connectionCount() const { return m_connections.size(); }
    /// True if any request is unanswered or any answer has not reached its client's host. The exit
    /// of the process would discard what the socket holds as soon as the client sends more.
    bool hasUndeliveredAnswers() const;

private:
    friend class ServerConnection;

    void acceptNext();
    /// Closes the connection that has been idle, or has sent an unfinished request, for longest.
    /// Returns false if all connections have answers due.
    bool makeRoom();

    asio::io_context &m_loop;
    LinkScheduler &m_linkScheduler;
    InputKeeper &m_inputKeeper;
    HttpHandler &m_handler;
    TcpAcceptor m_acceptor;
    LoopTimer m_acceptRetryTimer;
    ServerLimits m_limits;
    bool m_isKeepAliveDisabled = false;
    std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
};

} // namespace godwitlift
