/// \file
/// HTTP server for callers, operators and backend servers; its interface hides libmicrohttpd.
#pragma once

#include "godwitlift/adapters/AnswerSink.h"
#include "godwitlift/base/Failure.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace godwitlift {

struct HttpRequest
{
    std::string method;
    std::string path;   ///< Without the query.
    std::string target; ///< Path and query as sent.
    std::vector<HttpHeader> headers;
    std::string body;
    std::string clientAddress; ///< IPv4 address.

    /// Value of the first header with the case-insensitive name \p name; empty if there is none.
    std::string header(std::string_view name) const;
    /// Value of the query parameter \p name; empty if there is none.
    std::string queryParameter(std::string_view name) const;
};

/// One request and its answer. Thread-safe. Each exchange must be answered exactly once, from any
/// thread.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest &request() const = 0;

    /// Sends a complete answer.
    virtual void respond(int status, std::vector<HttpHeader> headers, std::string body) = 0;

    /// Begins an answer whose body follows in parts. \p contentLength is set if the size is known.
    virtual void beginAnswer(int status, std::vector<HttpHeader> headers,
                             std::optional<std::uint64_t> contentLength) = 0;
    virtual void writeBody(std::string_view part) = 0;
    virtual void endAnswer() = 0;
    /// Closes the connection, so that the client cannot take a partial answer for a complete one.
    virtual void abortAnswer() = 0;
    /// Backpressure: returns whether more of the body is accepted now. If not, \p resume is called
    /// once when more is accepted or the client has disconnected.
    virtual bool isReadyForMore(std::function<void()> resume) = 0;
    /// \p handler is called once if the client disconnects before the answer is complete.
    virtual void setDisconnectHandler(std::function<void()> handler) = 0;
};

/// Handles complete requests on a server thread. Each server thread serves many connections, so
/// handlers must not block unless the server has threads to spare.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    virtual void handle(std::shared_ptr<HttpExchange> exchange) = 0;
};

/// Resource limits of a server.
struct HttpLimits
{
    std::size_t maxBodyBytes = 8U << 20U; ///< Largest request body.
    unsigned maxConnections = 4096;
    unsigned threadCount = 2;
    unsigned idleTimeoutSeconds = 30; ///< For connections without traffic.
};

/// A listening HTTP server. The destructor closes all connections.
class HttpServer
{
public:
    virtual ~HttpServer() = default;
    /// \p handler must outlive the server.
    static Result<std::unique_ptr<HttpServer>> listen(const Address &address, HttpLimits limits,
                                                      HttpHandler &handler);
    /// Accepts no new connections; established connections continue.
    virtual void stopAccepting() = 0;
    /// Number of exchanges whose answer is not complete.
    virtual std::size_t openExchangeCount() const = 0;
};

/// Splits `IP:port`. Returns false if \p address has another form or \p ip is not an IPv4 address.
bool splitAddress(const Address &address, std::string &ip, std::uint16_t &port);

} // namespace godwitlift
