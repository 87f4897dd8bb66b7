/// \file
/// HTTP/1.1 server on the event loop: kept connections, pipelined requests, streamed answers.
#pragma once

#include "http/HttpMessage.h"
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

/// Hears about the client while its request is being answered.
class ExchangeObserver
{
public:
    virtual ~ExchangeObserver() = default;
    /// The client closed its connection; no answer can reach it any more.
    virtual void clientGone() = 0;
    /// Bytes of a streamed answer have been sent on.
    virtual void answerDrained(std::size_t bytes) = 0;
};

/// One request with the way to answer it. Answers are sent in the order of the requests of their
/// connection, whatever the order in which they are given.
class Exchange final : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::weak_ptr<ServerConnection> connection, HttpRequest request);

    const HttpRequest &request() const { return m_request; }
    HttpRequest &request() { return m_request; }
    absl::Time arrived() const { return m_arrived; }
    /// True if the client has further use for the connection.
    bool isKept() const { return m_request.head.keepsAlive; }
    void setObserver(std::weak_ptr<ExchangeObserver> observer) { m_observer = std::move(observer); }

    /// Answers in one piece. \p fields are whole lines that end with CRLF.
    void respond(unsigned status, std::string_view phrase, std::string_view fields,
                 std::string_view body);
    /// Begins an answer whose body follows by write(). Without a length it is sent in chunks.
    void begin(unsigned status, std::string_view phrase, std::string_view fields,
               std::optional<std::uint64_t> length);
    void write(std::string_view data);
    void end();
    /// Closes the connection in the middle of the answer, so that the client sees it incomplete.
    void abort();

private:
    friend class ServerConnection;

    void startHead(unsigned status, std::string_view phrase, std::string_view fields);
    void flush();

    std::weak_ptr<ServerConnection> m_connection;
    std::weak_ptr<ExchangeObserver> m_observer;
    HttpRequest m_request;
    absl::Time m_arrived;
    std::string m_out;           ///< Not yet handed to the connection.
    std::size_t m_bodyBytes = 0; ///< Body bytes in m_out.
    bool m_isChunked = false;
    bool m_hasEnded = false;
    bool m_isAborted = false;
    bool m_closes = false; ///< The answer says that the connection closes after it.
};

/// Handles requests of one server address.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    virtual void handle(const std::shared_ptr<Exchange> &exchange) = 0;
    /// A request that could not be understood was answered with \p status.
    virtual void requestRejected(unsigned status) = 0;
};

/// Bounds of a server; may change while it runs.
struct ServerLimits
{
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    absl::Duration headTimeout = absl::Seconds(5);
    absl::Duration idleTimeout = absl::Seconds(15);
    std::size_t connections = 1000;
};

/// Accepts connections on one address.
class HttpServer final
{
public:
    HttpServer(asio::io_context &loop, LinkScheduler &link, HttpHandler &handler);
    ~HttpServer();

    /// False if the address cannot be bound; \p error then says why.
    bool listen(const asio::ip::tcp::endpoint &endpoint, std::string &error);
    void setLimits(const ServerLimits &limits) { m_limits = limits; }
    const ServerLimits &limits() const { return m_limits; }
    /// Answers carry `Connection: close` from now on.
    void beginClosing() { m_isClosing = true; }
    bool isClosing() const { return m_isClosing; }
    /// Accepts no more connections, and closes those without a request.
    void stopAccepting();
    /// Closes connections that were idle or half read for too long. Call it about once a second.
    void sweep();
    std::size_t connectionCount() const { return m_connections.size(); }
    /// True if an answer, or a part of one, is still to be sent.
    bool hasUnsent() const;

private:
    friend class ServerConnection;

    void accept();
    void closeOldestIdle();

    asio::io_context &m_loop;
    LinkScheduler &m_link;
    HttpHandler &m_handler;
    TcpAcceptor m_acceptor;
    LoopTimer m_acceptPause;
    ServerLimits m_limits;
    bool m_isClosing = false;
    std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
};

} // namespace godwitlift
