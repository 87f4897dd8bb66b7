/// \file
/// HTTP exchanges with the backend server, one at a time on a persistent connection.
#include "gate/BackendConnection.h"

#include "godwitlift/base/AbslStringView.h"

#include <absl/strings/numbers.h>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace godwitlift {

namespace {

/// A process on the same host accepts a connection at once unless it is down.
constexpr absl::Duration ConnectTimeout = absl::Milliseconds(500);
/// Bytes of responses to other requests that are skipped to reach the matching one; more than the
/// largest response that may arrive late.
constexpr std::size_t SkippedBytesLimit = std::size_t(4) * 1024 * 1024;
/// A smaller body is sent in one piece with its head. A copy of a large one would need as much
/// memory again.
constexpr std::size_t SeparateBodyBytes = std::size_t(64) * 1024;
/// Refused requests after which a connection is not used again, so that none has to be forgotten.
constexpr std::size_t RefusedRequestLimit = 64;

} // namespace

BackendConnection::BackendConnection(asio::io_context &loop, asio::ip::tcp::endpoint server,
                                     const PlatformHeaderNames &headerNames)
    : m_loop(loop)
    , m_server(std::move(server))
    , m_headerNames(headerNames)
    , m_socket(loop.get_executor())
    , m_connectTimer(loop.get_executor())
    , m_idleSince(steadyNow())
{}

void BackendConnection::sendRequest(std::string request, std::shared_ptr<const std::string> body,
                                    std::string requestId, bool isHeadMethod,
                                    BackendExchangeObserver &observer)
{
    m_observer = &observer;
    m_request = std::move(request);
    if (body != nullptr && body->size() < SeparateBodyBytes)
        m_request += *body;
    else
        m_body = std::move(body);
    m_requestId = std::move(requestId);
    m_isHeadMethod = isHeadMethod;
    m_parser = std::make_unique<ResponseParser>(isHeadMethod);
    m_isRequestWritten = false;
    m_hasWriteFailed = false;
    m_isInputEnded = false;
    m_hasSentBytes = false;
    m_isHeadReported = false;
    m_isStaleResponse = false;
    m_skippedBytes = 0;
    m_isReadingEnabled = true;
    if (m_isConnected)
        writeRequest();
    else
        connect();
}

void BackendConnection::close()
{
    m_observer = nullptr;
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_connectTimer.cancel();
    boost::system::error_code ignored; // The connection is discarded either way.
    m_socket.close(ignored);
    m_parser.reset();
}

void BackendConnection::connect()
{
    expireAfter(m_connectTimer, ConnectTimeout);
    m_connectTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && !self->m_isConnected)
            self->failExchange(Reason::ConnectFailed);
    });
    m_socket.async_connect(m_server,
                           [self = shared_from_this()](const boost::system::error_code &error) {
                               self->m_connectTimer.cancel();
                               if (self->m_isClosed)
                                   return;
                               boost::system::error_code modeError;
                               if (!error)
                                   self->m_socket.non_blocking(true, modeError);
                               if (error || modeError) {
                                   self->failExchange(Reason::ConnectFailed);
                                   return;
                               }
                               self->m_isConnected = true;
                               configureConnection(self->m_socket);
                               self->writeRequest();
                           });
}

void BackendConnection::writeRequest()
{
    boost::system::error_code error;
    const std::size_t sent = m_socket.write_some(asio::buffer(m_request), error);
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        failExchange(Reason::ConnectFailed);
        return;
    }
    m_hasSentBytes = sent > 0;
    if (sent == m_request.size()) {
        writeBody();
    } else {
        asio::async_write(m_socket, asio::buffer(m_request.data() + sent, m_request.size() - sent),
                          [self = shared_from_this()](const boost::system::error_code &writeError,
                                                      std::size_t size) {
                              self->m_hasSentBytes = self->m_hasSentBytes || size > 0;
                              if (writeError)
                                  self->onRequestWritten(writeError);
                              else
                                  self->writeBody();
                          });
    }
    waitUntilReadable();
}

void BackendConnection::writeBody()
{
    if (m_body == nullptr || m_isClosed) {
        onRequestWritten({});
        return;
    }
    std::string().swap(m_request);
    asio::async_write(m_socket, asio::buffer(*m_body),
                      [self = shared_from_this()](const boost::system::error_code &error,
                                                  std::size_t) { self->onRequestWritten(error); });
}

void BackendConnection::onRequestWritten(const boost::system::error_code &error)
{
    m_isRequestWritten = !error;
    m_hasWriteFailed = bool(error);
    std::string().swap(m_request);
    m_body.reset();
    if (m_isClosed)
        return;
    // After a failed write, reads still return an early response before they end or fail.
    if (!error && m_observer == nullptr)
        m_idleSince = steadyNow();
    if (m_isInputEnded)
        onEndOfStream();
}

void BackendConnection::setReadingEnabled(bool isEnabled)
{
    m_isReadingEnabled = isEnabled;
    if (m_isReadingEnabled && m_isConnected)
        waitUntilReadable();
}

void BackendConnection::waitUntilReadable()
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

void BackendConnection::onReadable(const boost::system::error_code &error)
{
    if (m_isClosed)
        return;
    if (error) {
        failExchange(Reason::AnswerLost);
        return;
    }
    if (!m_isReadingEnabled)
        return;
    boost::system::error_code readError;
    const std::size_t size =
            m_socket.read_some(asio::buffer(ReadScratch::data(), ReadScratch::Size), readError);
    if (readError == asio::error::would_block || readError == asio::error::try_again) {
        waitUntilReadable();
        return;
    }
    if (readError == asio::error::eof) {
        onEndOfStream();
        return;
    }
    if (readError) {
        failExchange(Reason::AnswerLost);
        return;
    }
    if (m_observer == nullptr) {
        close(); // Data outside of a response.
        return;
    }
    m_input.append(ReadScratch::data(), size);
    parseInput();
    if (!m_isClosed && m_isReadingEnabled)
        waitUntilReadable();
}

bool BackendConnection::hasRefused(const std::string &requestId) const
{
    return std::find(m_refusedRequestIds.begin(), m_refusedRequestIds.end(), requestId)
           != m_refusedRequestIds.end();
}

bool BackendConnection::isRefusal() const
{
    // 421 comes from another backend server at the same address.
    return m_parser->head().status == 421
           || m_parser->head().fields.find(m_headerNames.notExecuted).has_value();
}

bool BackendConnection::hasMatchingRequestId() const
{
    if (m_requestId.empty())
        return true;
    const auto id = m_parser->head().fields.find(m_headerNames.requestId);
    // A response without an id is matched by its position; its seal is checked by the gate.
    return !id || *id == m_requestId;
}

void BackendConnection::readKeepAliveTimeout()
{
    const auto text = m_parser->head().fields.find("keep-alive");
    if (!text)
        return;
    const std::size_t at = text->find("timeout=");
    if (at == std::string_view::npos)
        return;
    std::string_view digits = text->substr(at + std::string_view("timeout=").size());
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    int seconds = 0;
    if (absl::SimpleAtoi(toAbslStringView(digits), &seconds))
        m_keepAliveTimeout = absl::Seconds(seconds);
}

void BackendConnection::parseInput()
{
    while (m_observer != nullptr && !m_isClosed) {
        std::string body;
        const std::size_t inputBytes = m_input.size();
        const ParseState state = m_parser->feed(m_input, body);
        if (state != ParseState::NeedsMore && state != ParseState::Complete) {
            failExchange(Reason::AnswerMismatched);
            return;
        }
        if (m_parser->hasHead() && !m_isHeadReported) {
            m_isHeadReported = true;
            m_isStaleResponse = !hasMatchingRequestId();
            const bool isNamed = m_parser->head().fields.find(m_headerNames.requestId).has_value();
            if (!isNamed && !m_isFirstExchange && isRefusal()) {
                failExchange(Reason::AnswerMismatched);
                return;
            }
            if (!m_isStaleResponse) {
                readKeepAliveTimeout();
                m_observer->onResponseHead(m_parser->head());
            }
        }
        if (m_isStaleResponse) {
            m_skippedBytes += inputBytes - m_input.size();
            if (m_skippedBytes > SkippedBytesLimit) {
                failExchange(Reason::AnswerMismatched);
                return;
            }
        } else if (!body.empty() && m_observer != nullptr) {
            m_observer->onResponseBody(std::move(body));
        }
        if (m_observer == nullptr || m_isClosed || state == ParseState::NeedsMore)
            return;
        if (!m_isStaleResponse) {
            completeExchange();
            return;
        }
        // This was a late response to an earlier request; the matching one may follow.
        const bool closesConnection = !m_parser->head().isKeepAlive;
        m_parser = std::make_unique<ResponseParser>(m_isHeadMethod);
        m_isHeadReported = false;
        if (closesConnection) {
            failExchange(Reason::AnswerMismatched);
            return;
        }
    }
}

void BackendConnection::completeExchange()
{
    BackendExchangeObserver *observer = m_observer;
    m_observer = nullptr;
    if (isRefusal())
        m_refusedRequestIds.push_back(m_requestId);
    const bool isReusable = m_parser->head().isKeepAlive && m_input.empty() && m_isRequestWritten
                            && m_refusedRequestIds.size() < RefusedRequestLimit;
    m_isFirstExchange = false;
    m_parser.reset();
    m_idleSince = steadyNow();
    if (m_isRequestWritten && !isReusable)
        close();
    // If the response arrived before the whole request was written, the rest is still written, and
    // the connection is closed after its idle timeout.
    observer->onResponseComplete();
}

void BackendConnection::onEndOfStream()
{
    const bool isCloseDelimited = m_observer != nullptr && m_parser != nullptr && m_isHeadReported
                                  && !m_isStaleResponse && m_parser->head().isCloseDelimited;
    // A reset during the write is reported to the write, and to the read as an orderly end.
    if (isCloseDelimited && !m_isRequestWritten && !m_hasWriteFailed) {
        m_isInputEnded = true;
        return;
    }
    if (isCloseDelimited && m_isRequestWritten && m_parser->finishAtEndOfStream()) {
        BackendExchangeObserver *observer = m_observer;
        close();
        observer->onResponseComplete();
        return;
    }
    failExchange(m_isHeadReported ? Reason::AnswerTruncated : Reason::AnswerLost);
}

void BackendConnection::failExchange(Reason reason)
{
    BackendExchangeObserver *observer = m_observer;
    const bool hasSentBytes = m_hasSentBytes;
    close();
    if (observer != nullptr)
        observer->onExchangeFailed(reason, hasSentBytes);
}

} // namespace godwitlift
