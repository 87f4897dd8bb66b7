/// \file
/// Accepting connections, and answers as seen by handlers.
#include "http/HttpServer.h"

#include "godwitlift/base/AbslStringView.h"

#include "http/ServerConnection.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

namespace godwitlift {

namespace {

/// Pause after a connection could not be accepted, such as for want of descriptors.
constexpr absl::Duration AcceptPause = absl::Milliseconds(50);
/// Connections that wait to be accepted.
constexpr int Backlog = 512;

} // namespace

Exchange::Exchange(std::weak_ptr<ServerConnection> connection, HttpRequest request)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_arrived(steadyNow())
{}

void Exchange::startHead(unsigned status, std::string_view phrase, std::string_view fields)
{
    const auto connection = m_connection.lock();
    m_closes = !isKept() || connection == nullptr || connection->shouldClose();
    absl::StrAppend(&m_out, "HTTP/1.1 ", status, " ", toAbslStringView(phrase), "\r\n",
                    toAbslStringView(fields), m_closes ? "Connection: close\r\n" : "");
}

void Exchange::respond(unsigned status, std::string_view phrase, std::string_view fields,
                       std::string_view body)
{
    startHead(status, phrase, fields);
    if (status != 204 && status != 304)
        absl::StrAppend(&m_out, "Content-Length: ", body.size(), "\r\n");
    absl::StrAppend(&m_out, "\r\n", toAbslStringView(body));
    m_hasEnded = true;
    flush();
}

void Exchange::begin(unsigned status, std::string_view phrase, std::string_view fields,
                     std::optional<std::uint64_t> length)
{
    startHead(status, phrase, fields);
    if (length) {
        absl::StrAppend(&m_out, "Content-Length: ", *length, "\r\n\r\n");
    } else {
        m_isChunked = true;
        absl::StrAppend(&m_out, "Transfer-Encoding: chunked\r\n\r\n");
    }
}

void Exchange::write(std::string_view data)
{
    if (data.empty())
        return;
    if (m_isChunked)
        absl::StrAppend(&m_out, absl::Hex(data.size()), "\r\n", toAbslStringView(data), "\r\n");
    else
        m_out += data;
    m_bodyBytes += data.size();
    flush();
}

void Exchange::end()
{
    if (m_isChunked)
        m_out += "0\r\n\r\n";
    m_hasEnded = true;
    flush();
}

void Exchange::abort()
{
    m_isAborted = true;
    flush();
}

void Exchange::flush()
{
    if (const auto connection = m_connection.lock())
        connection->advance();
}

HttpServer::HttpServer(asio::io_context &loop, LinkScheduler &link, HttpHandler &handler)
    : m_loop(loop)
    , m_link(link)
    , m_handler(handler)
    , m_acceptor(loop.get_executor())
    , m_acceptPause(loop.get_executor())
{}

HttpServer::~HttpServer()
{
    const auto connections = m_connections;
    for (const auto &connection : connections)
        connection->close();
}

bool HttpServer::listen(const asio::ip::tcp::endpoint &endpoint, std::string &error)
{
    boost::system::error_code failed;
    m_acceptor.open(endpoint.protocol(), failed);
    if (!failed)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), failed);
    if (!failed)
        m_acceptor.bind(endpoint, failed);
    if (!failed)
        m_acceptor.listen(Backlog, failed);
    if (failed) {
        error = failed.message();
        return false;
    }
    accept();
    return true;
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, TcpSocket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (error) {
            expireAfter(m_acceptPause, AcceptPause);
            m_acceptPause.async_wait([this](const boost::system::error_code &cancelled) {
                if (!cancelled && m_acceptor.is_open())
                    accept();
            });
            return;
        }
        if (m_connections.size() >= m_limits.connections)
            closeOldestIdle();
        auto connection = std::make_shared<ServerConnection>(*this, std::move(socket));
        m_connections.insert(connection);
        connection->start();
        accept();
    });
}

void HttpServer::closeOldestIdle()
{
    std::shared_ptr<ServerConnection> oldest;
    for (const auto &connection : m_connections) {
        if (connection->isIdle()
            && (oldest == nullptr || connection->lastUse() < oldest->lastUse()))
            oldest = connection;
    }
    if (oldest != nullptr)
        oldest->close();
}

void HttpServer::stopAccepting()
{
    boost::system::error_code ignored; // Closing a listener has no outcome to act on.
    m_acceptor.close(ignored);
    const auto connections = m_connections;
    for (const auto &connection : connections)
        connection->closeWhenAnswered();
}

void HttpServer::sweep()
{
    const absl::Time now = steadyNow();
    const auto connections = std::vector<std::shared_ptr<ServerConnection>>(m_connections.begin(),
                                                                            m_connections.end());
    for (const auto &connection : connections)
        connection->sweep(now);
}

bool HttpServer::hasUnsent() const
{
    return std::any_of(m_connections.begin(), m_connections.end(),
                       [](const auto &connection) { return connection->hasUnsent(); });
}

} // namespace godwitlift
