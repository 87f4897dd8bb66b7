/// \file
/// Reading requests and writing answers of one connection.
#include "http/ServerConnection.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace godwitlift {

ServerConnection::ServerConnection(HttpServer &server, TcpSocket socket)
    : m_server(server)
    , m_socket(std::move(socket))
    , m_lastUse(steadyNow())
{}

void ServerConnection::start()
{
    boost::system::error_code error;
    m_socket.non_blocking(true, error);
    if (error) {
        close();
        return;
    }
    configureConnection(m_socket);
    waitReadable();
}

void ServerConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    boost::system::error_code ignored; // The connection is given up either way.
    m_socket.close(ignored);
    const auto self = shared_from_this();
    const auto exchanges = std::move(m_exchanges);
    m_exchanges.clear();
    m_server.m_connections.erase(self);
    for (const auto &exchange : exchanges) {
        if (const auto observer = exchange->m_observer.lock())
            observer->clientGone();
    }
}

void ServerConnection::closeWhenAnswered()
{
    m_isReadEnded = true;
    if (isIdle())
        beginLingering();
}

bool ServerConnection::shouldClose() const
{
    return m_server.isClosing();
}

void ServerConnection::sweep(absl::Time now)
{
    if (m_isLingering) {
        if (now - m_lastUse > LingerTime)
            close();
        return;
    }
    if (m_parser != nullptr && now - m_messageBegan > m_server.limits().headTimeout) {
        // A body may take longer than a head, in proportion to its limit of patience.
        if (!m_parser->hasHead() || now - m_lastUse > m_server.limits().idleTimeout)
            reject(408);
        return;
    }
    if (isIdle() && now - m_lastUse > m_server.limits().idleTimeout)
        close();
}

void ServerConnection::waitReadable()
{
    if (m_isWaiting || m_isClosed)
        return;
    m_isWaiting = true;
    m_socket.async_wait(TcpSocket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &error) {
                            self->m_isWaiting = false;
                            self->onReadable(error);
                        });
}

bool ServerConnection::readAvailable()
{
    // Reading on to the end shows whether the client has left already, as after a pause of this
    // process; its requests are then not worked on.
    for (std::size_t total = 0; total < ReadAheadLimit;) {
        boost::system::error_code error;
        const std::size_t size =
                m_socket.read_some(asio::buffer(ReadScratch::data(), ReadScratch::Size), error);
        if (error == asio::error::would_block || error == asio::error::try_again)
            break;
        if (error) {
            close();
            return false;
        }
        total += size;
        if (!m_isLingering)
            m_lastUse = steadyNow();
        if (!m_isReadEnded)
            m_input.append(ReadScratch::data(), size);
    }
    return true;
}

void ServerConnection::onReadable(const boost::system::error_code &error)
{
    if (m_isClosed)
        return;
    if (error) {
        close();
        return;
    }
    if (!readAvailable())
        return;
    parseInput();
    if (m_input.size() < ReadAheadLimit || m_parser != nullptr)
        waitReadable();
}

void ServerConnection::parseInput()
{
    while (!m_isReadEnded && !m_isClosed && !m_input.empty()
           && m_exchanges.size() < PipelineLimit) {
        if (m_parser == nullptr) {
            m_messageBegan = steadyNow();
            m_parser = std::make_unique<RequestParser>(m_server.limits().headBytes,
                                                       m_server.limits().bodyBytes);
        }
        const bool hadHead = m_parser->hasHead();
        const ParseState state = m_parser->feed(m_input);
        if (state == ParseState::NeedsMore) {
            if (!hadHead && m_parser->hasHead() && m_parser->head().expectsContinue
                && m_exchanges.empty()) {
                m_pending += "HTTP/1.1 100 Continue\r\n\r\n";
                writeOut();
            }
            break;
        }
        if (state == ParseState::Complete)
            requestComplete();
        else if (state == ParseState::HeadTooLarge)
            reject(431);
        else if (state == ParseState::BodyTooLarge)
            reject(413);
        else
            reject(400);
    }
    if (m_input.empty())
        std::string().swap(m_input);
}

void ServerConnection::requestComplete()
{
    auto exchange = std::make_shared<Exchange>(weak_from_this(), m_parser->takeRequest());
    m_parser.reset();
    if (!exchange->isKept())
        m_isReadEnded = true;
    m_exchanges.push_back(exchange);
    m_server.m_handler.handle(exchange);
}

void ServerConnection::reject(unsigned status)
{
    m_server.m_handler.requestRejected(status);
    m_parser.reset();
    m_input.clear();
    m_isReadEnded = true;
    HttpRequest none;
    none.head.keepsAlive = false;
    auto exchange = std::make_shared<Exchange>(weak_from_this(), std::move(none));
    m_exchanges.push_back(exchange);
    exchange->respond(status, reasonPhrase(status), {}, {});
}

void ServerConnection::advance()
{
    if (m_isClosed)
        return;
    while (!m_exchanges.empty()) {
        const auto exchange = m_exchanges.front();
        if (exchange->m_isAborted) {
            close();
            return;
        }
        m_pending += exchange->m_out;
        exchange->m_out.clear();
        if (exchange->m_bodyBytes > 0) {
            m_draining = exchange;
            m_drainingBytes += exchange->m_bodyBytes;
            exchange->m_bodyBytes = 0;
        }
        if (!exchange->m_hasEnded)
            break;
        m_exchanges.pop_front();
        m_lastUse = steadyNow();
        if (exchange->m_closes) {
            // Requests behind it were not read as far as the client is concerned.
            m_isReadEnded = true;
            const auto behind = std::move(m_exchanges);
            m_exchanges.clear();
            for (const auto &other : behind) {
                if (const auto observer = other->m_observer.lock())
                    observer->clientGone();
            }
        }
    }
    writeOut();
}

void ServerConnection::writeOut()
{
    if (m_isWriting || m_isClosed)
        return;
    if (m_pending.empty()) {
        if (m_exchanges.empty() && m_isReadEnded)
            beginLingering();
        return;
    }
    LinkScheduler &link = m_server.m_link;
    if (m_pending.size() > link.pieceBytes()) {
        m_isWriting = true;
        if (m_ticket == 0)
            m_ticket = link.nextTicket();
        link.requestTurn(m_ticket, m_pending.size(), [weak = weak_from_this()] {
            const auto self = weak.lock();
            return self == nullptr || self->m_isClosed ? 0 : self->writePiece();
        });
        return;
    }
    m_ticket = 0;
    m_out.swap(m_pending);
    link.sent(m_out.size());
    startWriting();
}

std::size_t ServerConnection::writePiece()
{
    const std::size_t size = std::min(m_pending.size(), m_server.m_link.pieceBytes());
    m_out.assign(m_pending, 0, size);
    m_pending.erase(0, size);
    startWriting();
    return size;
}

void ServerConnection::startWriting()
{
    m_isWriting = true;
    // Most answers fit into the socket; only the rest waits for the event loop.
    boost::system::error_code error;
    const std::size_t sent = m_socket.write_some(asio::buffer(m_out), error);
    if (!error && sent == m_out.size()) {
        onWritten({});
        return;
    }
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        onWritten(error);
        return;
    }
    asio::async_write(m_socket, asio::buffer(m_out.data() + sent, m_out.size() - sent),
                      [self = shared_from_this()](const boost::system::error_code &failed,
                                                  std::size_t) { self->onWritten(failed); });
}

void ServerConnection::beginLingering()
{
    if (m_isLingering)
        return;
    // Closing at once would reset the connection if bytes are unread, and the last answer with it.
    m_isLingering = true;
    m_lastUse = steadyNow();
    m_input.clear();
    boost::system::error_code error;
    m_socket.shutdown(TcpSocket::shutdown_send, error);
    if (error) {
        close();
        return;
    }
    waitReadable();
}

void ServerConnection::onWritten(const boost::system::error_code &error)
{
    m_isWriting = false;
    if (m_isClosed)
        return;
    if (error) {
        close();
        return;
    }
    const auto self = shared_from_this();
    const std::size_t drained =
            m_pending.empty() ? m_drainingBytes : std::min(m_drainingBytes, m_out.size());
    m_drainingBytes -= drained;
    std::string().swap(m_out);
    if (const auto exchange = m_draining.lock(); exchange != nullptr && drained > 0) {
        if (const auto observer = exchange->m_observer.lock())
            observer->answerDrained(drained);
    }
    if (m_isClosed)
        return;
    writeOut();
    if (!m_isClosed && !m_input.empty()) {
        parseInput();
        if (m_input.size() < ReadAheadLimit)
            waitReadable();
    }
}

} // namespace godwitlift
