/// \file
/// HTTP towards callers, operators and backend servers, behind interfaces that hide libmicrohttpd.
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
    std::string clientAddress; ///< IP number.

    /// Value of the first header called \p name, case-insensitively; empty if there is none.
    std::string header(std::string_view name) const;
    /// Value of the query argument \p name; empty if there is none.
    std::string query(std::string_view name) const;
};

/// One request and its answer. Thread-safe; answered exactly once, from any thread.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest &request() const = 0;

    /// Answers as a whole.
    virtual void respond(int status, std::vector<HttpHeader> headers, std::string body) = 0;

    /// Begins an answer whose body follows in parts; \p length if it is known.
    virtual void start(int status, std::vector<HttpHeader> headers,
                       std::optional<std::uint64_t> length) = 0;
    virtual void write(std::string_view part) = 0;
    virtual void finish() = 0;
    /// Cuts the connection, so that the client cannot take what it got for whole.
    virtual void abort() = 0;
    /// Whether more of the body is wanted now; if not, \p resume is called once when it is.
    virtual bool wantsMore(std::function<void()> resume) = 0;
    /// \p closed is called once if the client goes away before the answer is complete.
    virtual void onClosed(std::function<void()> closed) = 0;
};

/// Handles complete requests on a server thread; must not block unless the server was made for it.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;
    virtual void handle(std::shared_ptr<HttpExchange> exchange) = 0;
};

/// Bounds of a server.
struct HttpLimits
{
    std::size_t requestBytes = 8U << 20U; ///< Largest request body.
    unsigned connections = 4096;
    unsigned threads = 2;
    unsigned idleSeconds = 30; ///< For a connection that sends or takes nothing.
};

/// A listening HTTP server. Destroying it closes every connection.
class HttpServer
{
public:
    virtual ~HttpServer() = default;
    /// \p handler must outlive the server.
    static Result<std::unique_ptr<HttpServer>> listen(const Address &address, HttpLimits limits,
                                                      HttpHandler &handler);
    /// Accepts no new connections; those in progress go on.
    virtual void stopAccepting() = 0;
    /// Exchanges whose answer is not complete.
    virtual std::size_t inProgress() const = 0;
};

/// Splits `IP:port`; false if \p address is not of that form or the IP is not a number.
bool splitAddress(const Address &address, std::string &ip, std::uint16_t &port);

} // namespace godwitlift
