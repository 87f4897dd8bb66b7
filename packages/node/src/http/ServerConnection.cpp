/// \file
/// Reads requests and writes answers on one client connection.
#include "http/ServerConnection.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace godwitlift {

namespace {

/// The unfinished requests of a crowd that stands still yield within about this time.
constexpr std::string_view BudgetRetryAfterField = "Retry-After: 0.500\r\n";

/// Memory that \p text occupies outside of the string object.
std::size_t heapBytes(const std::string &text)
{
    static const std::size_t InlineCapacity = std::string().capacity();
    return text.capacity() <= InlineCapacity ? 0 : text.capacity();
}

} // namespace

ServerConnection::ServerConnection(HttpServer &server, TcpSocket socket)
    : m_server(server)
    , m_socket(std::move(socket))
    , m_outputHolder(*this)
    , m_account(std::in_place, server.m_inputKeeper, *this)
    , m_outputAccount(std::in_place, server.m_inputKeeper, m_outputHolder, HeldKind::Output)
    , m_lastActivity(steadyNow())
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
    waitUntilReadable();
}

void ServerConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    boost::system::error_code ignored; // The connection is discarded either way.
    m_socket.close(ignored);
    m_account.reset();
    m_outputAccount.reset();
    const auto self = shared_from_this();
    m_server.m_connections.erase(self);
    discardExchanges();
}

void ServerConnection::discardExchanges()
{
    // An answer to an unfinished request would be taken for the rest of one that is broken off.
    m_parser.reset();
    std::string().swap(m_input);
    const auto exchanges = std::move(m_exchanges);
    m_exchanges.clear();
    for (const auto &exchange : exchanges) {
        if (const auto observer = exchange->m_observer.lock())
            observer->onClientDisconnected();
    }
}

void ServerConnection::closeAfterAnswers()
{
    m_isInputClosed = true;
    if (isIdle())
        beginLingeringClose();
}

bool ServerConnection::decideClosing(const Exchange &exchange)
{
    // The answers of pipelined requests that were accepted follow first: after `Connection: close`
    // the client would not read them.
    if (!m_server.isKeepAliveDisabled() || m_exchanges.empty()
        || m_exchanges.back().get() != &exchange)
        return false;
    m_isInputClosed = true;
    return true;
}

void ServerConnection::closeIfTimedOut(absl::Time now)
{
    if (m_isLingering) {
        if (now - m_lastActivity > LingerTimeout)
            close();
        return;
    }
    if (m_parser != nullptr && now - m_requestStart > m_server.limits().headTimeout) {
        // A body may exceed the head timeout as long as bytes arrive within the idle timeout.
        if (!m_parser->hasHead() || now - m_lastActivity > m_server.limits().idleTimeout
            || isBodyTooSlow(now))
            rejectRequest(408);
        return;
    }
    if (isIdle() && now - m_lastActivity > m_server.limits().idleTimeout)
        close();
}

bool ServerConnection::isBodyTooSlow(absl::Time now) const
{
    const absl::Duration permitted =
            m_server.limits().idleTimeout
            + absl::Seconds(static_cast<double>(m_bodyBytes) / MinBodyBytesPerSecond);
    return now - m_requestStart > permitted;
}

std::optional<absl::Time> ServerConnection::unusedSince() const
{
    if (hasUnsentAnswers())
        return std::nullopt;
    return m_parser == nullptr ? m_lastActivity : m_requestStart;
}

std::size_t ServerConnection::outputBytes() const
{
    std::size_t bytes = heapBytes(m_pendingOutput) + heapBytes(m_writeBuffer);
    for (const auto &exchange : m_exchanges)
        bytes += heapBytes(exchange->m_outputBuffer) + exchange->m_bytesHeldByCall
                 + exchange->m_requestHeadBytes;
    return bytes;
}

void ServerConnection::accountHeldBytes()
{
    if (!m_account)
        return;
    std::size_t bytes = heapBytes(m_input);
    for (const auto &exchange : m_exchanges)
        bytes += PassedOnCopies * exchange->m_requestBodyBytes;
    if (m_parser != nullptr)
        m_account->setHeld(bytes + m_parser->heldBytes(), YieldOrder::Unfinished, m_requestStart);
    else
        m_account->setHeld(bytes, YieldOrder::Never, absl::InfinitePast());
    accountOutput();
}

void ServerConnection::accountOutput()
{
    const std::size_t bytes = outputBytes();
    if (bytes == 0)
        m_outputSince = absl::InfiniteFuture();
    else if (m_outputSince == absl::InfiniteFuture())
        m_outputSince = steadyNow();
    m_outputAccount->setHeld(bytes,
                             bytes > KeptOutputBytes ? YieldOrder::Waiting : YieldOrder::Never,
                             m_outputSince);
}

void ServerConnection::yieldHeld()
{
    const auto self = shared_from_this();
    refuseForBudget();
    accountHeldBytes();
}

void ServerConnection::yieldOutput()
{
    const auto self = shared_from_this();
    if (m_completeOutputBytes > KeptOutputBytes)
        close();
    else
        breakOff();
}

void ServerConnection::refuseForBudget()
{
    rejectRequest(503, BudgetRetryAfterField);
}

void ServerConnection::waitUntilReadable()
{
    if (m_isAwaitingRead || m_isClosed)
        return;
    m_isAwaitingRead = true;
    m_socket.async_wait(TcpSocket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &error) {
                            self->m_isAwaitingRead = false;
                            self->onReadable(error);
                        });
}

bool ServerConnection::readAvailable()
{
    // Reads all available input first: if the client has already closed the connection, for example
    // while this process was suspended, its requests are not executed.
    for (std::size_t total = 0; total < ReadAheadLimitBytes;) {
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
        m_bodyBytes += size;
        if (!m_isLingering)
            m_lastActivity = steadyNow();
        if (!m_isInputClosed)
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
    accountHeldBytes();
    m_server.m_inputKeeper.enforce();
    parseInput();
    accountHeldBytes();
    if (m_input.size() < ReadAheadLimitBytes || m_parser != nullptr)
        waitUntilReadable();
}

void ServerConnection::parseInput()
{
    while (!m_isInputClosed && !m_isClosed && !m_input.empty()
           && m_exchanges.size() < PipelineLimit) {
        if (m_parser == nullptr) {
            m_requestStart = steadyNow();
            m_bodyBytes = m_input.size();
            m_parser = std::make_unique<RequestParser>(m_server.limits().maxHeadBytes,
                                                       m_server.limits().maxBodyBytes);
        }
        const bool hadHead = m_parser->hasHead();
        const ParseState state = m_parser->feed(m_input);
        if (state == ParseState::NeedsMore) {
            if (!hadHead && m_parser->hasHead() && m_parser->head().expectsContinue
                && m_exchanges.empty()) {
                m_pendingOutput += "HTTP/1.1 100 Continue\r\n\r\n";
                writePendingOutput();
            }
            break;
        }
        if (state == ParseState::Complete)
            onRequestComplete();
        else if (state == ParseState::HeadTooLarge)
            rejectRequest(431);
        else if (state == ParseState::BodyTooLarge)
            rejectRequest(413);
        else
            rejectRequest(400);
    }
    if (m_input.empty())
        std::string().swap(m_input);
}

void ServerConnection::onRequestComplete()
{
    HttpRequest request = m_parser->takeRequest();
    boost::system::error_code ignored; // The address of a connection that has ended stays unknown.
    request.sourceAddress = m_socket.remote_endpoint(ignored).address();
    // Whoever may yield has done so before the input was parsed.
    if (request.body.size() > SmallBodyBytes && m_server.m_inputKeeper.budget().isExceeded()) {
        refuseForBudget();
        return;
    }
    auto exchange = std::make_shared<Exchange>(weak_from_this(), std::move(request));
    m_parser.reset();
    if (!exchange->isKeepAlive())
        m_isInputClosed = true;
    m_exchanges.push_back(exchange);
    m_server.m_handler.handle(exchange);
}

void ServerConnection::rejectRequest(unsigned status, std::string_view fields)
{
    m_server.m_handler.onRequestRejected(status);
    m_parser.reset();
    std::string().swap(m_input);
    m_isInputClosed = true;
    HttpRequest emptyRequest;
    emptyRequest.head.isKeepAlive = false;
    auto exchange = std::make_shared<Exchange>(weak_from_this(), std::move(emptyRequest));
    m_exchanges.push_back(exchange);
    exchange->respond(status, reasonPhrase(status), fields, {});
}

void ServerConnection::onExchangeProgress()
{
    if (m_isClosed)
        return;
    while (!m_exchanges.empty()) {
        const auto exchange = m_exchanges.front();
        if (exchange->m_isAborted) {
            breakOff();
            return;
        }
        if (!exchange->m_outputBuffer.empty())
            exchange->m_isTakenByConnection = true;
        m_pendingOutput += exchange->m_outputBuffer;
        exchange->m_outputBuffer.clear();
        if (exchange->m_bufferedBodyBytes > 0) {
            m_bodyExchange = exchange;
            m_unsentBodyBytes += exchange->m_bufferedBodyBytes;
            exchange->m_bufferedBodyBytes = 0;
        }
        if (!exchange->m_isComplete)
            break;
        m_exchanges.pop_front();
        m_completeOutputBytes = m_writeBuffer.size() + m_pendingOutput.size();
        m_lastActivity = steadyNow();
        if (exchange->m_closesConnection) {
            // After `Connection: close` the client treats later pipelined requests as not
            // processed.
            m_isInputClosed = true;
            discardExchanges();
        }
    }
    writePendingOutput();
    accountHeldBytes();
}

void ServerConnection::breakOff()
{
    const auto self = shared_from_this();
    m_isInputClosed = true;
    discardExchanges();
    const std::size_t beingWritten = std::min(m_completeOutputBytes, m_writeBuffer.size());
    m_pendingOutput.resize(m_completeOutputBytes - beingWritten);
    m_pendingOutput.shrink_to_fit();
    if (m_completeOutputBytes == 0)
        beginLingeringClose();
    else
        writePendingOutput();
    accountHeldBytes();
}

void ServerConnection::writePendingOutput()
{
    if (m_isWriting || m_isClosed)
        return;
    if (m_pendingOutput.empty()) {
        if (m_exchanges.empty() && m_isInputClosed)
            beginLingeringClose();
        return;
    }
    LinkScheduler &linkScheduler = m_server.m_linkScheduler;
    if (m_pendingOutput.size() > linkScheduler.pieceBytes()) {
        m_isWriting = true;
        if (m_linkTicket == 0)
            m_linkTicket = linkScheduler.nextTicket();
        linkScheduler.scheduleSend(m_linkTicket, m_pendingOutput.size(), [weak = weak_from_this()] {
            const auto self = weak.lock();
            return self == nullptr || self->m_isClosed ? 0 : self->writePiece();
        });
        return;
    }
    m_linkTicket = 0;
    m_writeBuffer.swap(m_pendingOutput);
    linkScheduler.recordUnscheduledSend(m_writeBuffer.size());
    startWrite();
}

std::size_t ServerConnection::writePiece()
{
    const std::size_t size =
            std::min(m_pendingOutput.size(), m_server.m_linkScheduler.pieceBytes());
    m_writeBuffer.assign(m_pendingOutput, 0, size);
    m_pendingOutput.erase(0, size);
    startWrite();
    return size;
}

void ServerConnection::startWrite()
{
    m_isWriting = true;
    // Most answers fit into the socket's send buffer; only the remainder waits for the event loop.
    boost::system::error_code error;
    const std::size_t sent = m_socket.write_some(asio::buffer(m_writeBuffer), error);
    if (!error && sent == m_writeBuffer.size()) {
        onWritten({});
        return;
    }
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        onWritten(error);
        return;
    }
    asio::async_write(m_socket,
                      asio::buffer(m_writeBuffer.data() + sent, m_writeBuffer.size() - sent),
                      [self = shared_from_this()](const boost::system::error_code &writeError,
                                                  std::size_t) { self->onWritten(writeError); });
}

void ServerConnection::beginLingeringClose()
{
    if (m_isLingering)
        return;
    // Closing with unread input would reset the connection, and the client could lose the last
    // answer.
    m_isLingering = true;
    m_lastActivity = steadyNow();
    m_input.clear();
    boost::system::error_code error;
    m_socket.shutdown(TcpSocket::shutdown_send, error);
    if (error) {
        close();
        return;
    }
    waitUntilReadable();
}

void ServerConnection::onWritten(const boost::system::error_code &error)
{
    m_isWriting = false;
    m_outputSince = absl::InfiniteFuture();
    if (m_isClosed)
        return;
    if (error) {
        // The sending side may have been shut down in the middle of an answer.
        if (!m_isLingering)
            close();
        return;
    }
    const auto self = shared_from_this();
    const std::size_t sentBodyBytes = m_pendingOutput.empty()
                                              ? m_unsentBodyBytes
                                              : std::min(m_unsentBodyBytes, m_writeBuffer.size());
    m_unsentBodyBytes -= sentBodyBytes;
    m_completeOutputBytes -= std::min(m_completeOutputBytes, m_writeBuffer.size());
    std::string().swap(m_writeBuffer);
    if (const auto exchange = m_bodyExchange.lock(); exchange != nullptr && sentBodyBytes > 0) {
        if (const auto observer = exchange->m_observer.lock())
            observer->onAnswerBytesSent(sentBodyBytes);
    }
    if (m_isClosed)
        return;
    writePendingOutput();
    if (!m_isClosed && !m_input.empty()) {
        parseInput();
        if (m_input.size() < ReadAheadLimitBytes)
            waitUntilReadable();
    }
    accountHeldBytes();
}

} // namespace godwitlift
