/// \file
/// Accepts connections and formats answers.
#include "http/HttpServer.h"

#include "godwitlift/base/AbslStringView.h"

#include "http/ServerConnection.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <vector>

namespace godwitlift {

namespace {

/// Delay before accepting again after a failure, for example when descriptors have run out.
constexpr absl::Duration AcceptRetryDelay = absl::Milliseconds(50);
/// Limit of established connections that the kernel queues until they are accepted.
constexpr int ListenBacklog = 512;

} // namespace

Exchange::Exchange(std::weak_ptr<ServerConnection> connection, HttpRequest request)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_requestBodyBytes(m_request.body.size())
    , m_requestHeadBytes(heldBytes(m_request.head))
    , m_arrivalTime(steadyNow())
{}

void Exchange::appendHead(unsigned status, std::string_view phrase, std::string_view fields)
{
    const auto connection = m_connection.lock();
    m_closesConnection =
            !isKeepAlive() || connection == nullptr || connection->decideClosing(*this);
    absl::StrAppend(&m_outputBuffer, "HTTP/1.1 ", status, " ", toAbslStringView(phrase), "\r\n",
                    toAbslStringView(fields), m_closesConnection ? "Connection: close\r\n" : "");
}

void Exchange::respond(unsigned status, std::string_view phrase, std::string_view fields,
                       std::string_view body)
{
    appendHead(status, phrase, fields);
    if (status != 204 && status != 304)
        absl::StrAppend(&m_outputBuffer, "Content-Length: ", body.size(), "\r\n");
    absl::StrAppend(&m_outputBuffer, "\r\n", toAbslStringView(body));
    m_isComplete = true;
    flush();
}

void Exchange::beginAnswer(unsigned status, std::string_view phrase, std::string_view fields,
                           std::optional<std::uint64_t> length)
{
    appendHead(status, phrase, fields);
    if (length) {
        absl::StrAppend(&m_outputBuffer, "Content-Length: ", *length, "\r\n\r\n");
    } else {
        m_isChunked = true;
        absl::StrAppend(&m_outputBuffer, "Transfer-Encoding: chunked\r\n\r\n");
    }
}

void Exchange::writeBody(std::string_view data)
{
    if (data.empty())
        return;
    if (m_isChunked)
        absl::StrAppend(&m_outputBuffer, absl::Hex(data.size()), "\r\n", toAbslStringView(data),
                        "\r\n");
    else
        m_outputBuffer += data;
    m_bufferedBodyBytes += data.size();
    flush();
}

void Exchange::endAnswer()
{
    if (m_isChunked)
        m_outputBuffer += "0\r\n\r\n";
    m_isComplete = true;
    flush();
}

void Exchange::setBytesHeldByCall(std::size_t bytes)
{
    m_bytesHeldByCall = bytes;
    if (const auto connection = m_connection.lock())
        connection->accountHeldBytes();
}

bool Exchange::withdrawAnswer()
{
    if (m_isTakenByConnection)
        return false;
    std::string().swap(m_outputBuffer);
    m_bufferedBodyBytes = 0;
    m_isChunked = false;
    return true;
}

void Exchange::abortAnswer()
{
    m_isAborted = true;
    flush();
}

void Exchange::flush()
{
    if (const auto connection = m_connection.lock())
        connection->onExchangeProgress();
}

HttpServer::HttpServer(asio::io_context &loop, LinkScheduler &linkScheduler,
                       InputKeeper &inputKeeper, HttpHandler &handler)
    : m_loop(loop)
    , m_linkScheduler(linkScheduler)
    , m_inputKeeper(inputKeeper)
    , m_handler(handler)
    , m_acceptor(loop.get_executor())
    , m_acceptRetryTimer(loop.get_executor())
{}

HttpServer::~HttpServer()
{
    const auto connections = m_connections;
    for (const auto &connection : connections)
        connection->close();
}

bool HttpServer::listen(const asio::ip::tcp::endpoint &endpoint, std::string &error)
{
    boost::system::error_code errorCode;
    m_acceptor.open(endpoint.protocol(), errorCode);
    if (!errorCode)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), errorCode);
    if (!errorCode)
        m_acceptor.bind(endpoint, errorCode);
    if (!errorCode)
        m_acceptor.listen(ListenBacklog, errorCode);
    if (errorCode) {
        error = errorCode.message();
        return false;
    }
    acceptNext();
    return true;
}

void HttpServer::acceptNext()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, TcpSocket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (error) {
            expireAfter(m_acceptRetryTimer, AcceptRetryDelay);
            m_acceptRetryTimer.async_wait([this](const boost::system::error_code &timerError) {
                if (!timerError && m_acceptor.is_open())
                    acceptNext();
            });
            return;
        }
        if (m_connections.size() >= m_limits.maxConnections && !makeRoom()) {
            boost::system::error_code ignored; // The connection is discarded either way.
            socket.close(ignored);
            acceptNext();
            return;
        }
        auto connection = std::make_shared<ServerConnection>(*this, std::move(socket));
        m_connections.insert(connection);
        connection->start();
        acceptNext();
    });
}

bool HttpServer::makeRoom()
{
    std::shared_ptr<ServerConnection> yielding;
    for (const auto &connection : m_connections) {
        const auto since = connection->unusedSince();
        if (since && (yielding == nullptr || *since < *yielding->unusedSince()))
            yielding = connection;
    }
    if (yielding == nullptr)
        return false;
    yielding->close();
    return true;
}

void HttpServer::stopAccepting()
{
    boost::system::error_code ignored; // A failure to close the listener cannot be handled.
    m_acceptor.close(ignored);
    const auto connections = m_connections;
    for (const auto &connection : connections)
        connection->closeAfterAnswers();
}

void HttpServer::closeTimedOutConnections()
{
    const absl::Time now = steadyNow();
    const auto connections = std::vector<std::shared_ptr<ServerConnection>>(m_connections.begin(),
                                                                            m_connections.end());
    for (const auto &connection : connections)
        connection->closeIfTimedOut(now);
}

bool HttpServer::hasUndeliveredAnswers() const
{
    return std::any_of(m_connections.begin(), m_connections.end(),
                       [](const auto &connection) { return connection->hasUndeliveredAnswers(); });
}

} // namespace godwitlift
