/// \file
/// Requests to the backend server, one at a time on a kept connection.
#include "gate/BackendConnection.h"

#include "godwitlift/base/AbslView.h"

#include <absl/strings/numbers.h>
#include <boost/asio/write.hpp>

namespace godwitlift {

namespace {

/// Time for a connection to a process on the same host; it either answers at once or is gone.
constexpr absl::Duration ConnectTimeout = absl::Milliseconds(500);

} // namespace

BackendConnection::BackendConnection(asio::io_context &loop, asio::ip::tcp::endpoint server,
                                     const ExchangeFieldNames &names)
    : m_loop(loop)
    , m_server(std::move(server))
    , m_names(names)
    , m_socket(loop.get_executor())
    , m_connectTimer(loop.get_executor())
    , m_idleSince(steadyNow())
{}

void BackendConnection::run(std::string request, std::string requestId, bool isHeadMethod,
                            BackendExchangeObserver &observer)
{
    m_observer = &observer;
    m_request = std::move(request);
    m_requestId = std::move(requestId);
    m_isHeadMethod = isHeadMethod;
    m_parser = std::make_unique<ResponseParser>(isHeadMethod);
    m_isWritten = false;
    m_hasSentBytes = false;
    m_isHeadReported = false;
    m_isForeign = false;
    m_isReading = true;
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
    boost::system::error_code ignored; // The connection is given up either way.
    m_socket.close(ignored);
    m_parser.reset();
}

void BackendConnection::connect()
{
    expireAfter(m_connectTimer, ConnectTimeout);
    m_connectTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self != nullptr && !self->m_isConnected)
            self->fail(Reason::ConnectFailed);
    });
    m_socket.async_connect(m_server,
                           [self = shared_from_this()](const boost::system::error_code &error) {
                               self->m_connectTimer.cancel();
                               if (self->m_isClosed)
                                   return;
                               boost::system::error_code blocking;
                               if (!error)
                                   self->m_socket.non_blocking(true, blocking);
                               if (error || blocking) {
                                   self->fail(Reason::ConnectFailed);
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
        fail(Reason::ConnectFailed);
        return;
    }
    m_hasSentBytes = sent > 0;
    if (sent == m_request.size()) {
        m_isWritten = true;
        std::string().swap(m_request);
    } else {
        asio::async_write(m_socket, asio::buffer(m_request.data() + sent, m_request.size() - sent),
                          [self = shared_from_this()](const boost::system::error_code &failed,
                                                      std::size_t size) {
                              self->m_hasSentBytes = self->m_hasSentBytes || size > 0;
                              self->m_isWritten = !failed;
                              std::string().swap(self->m_request);
                              // A failed write shows again on reading, where an early answer may
                              // still be found.
                              if (!failed && self->m_observer == nullptr && !self->m_isClosed)
                                  self->m_idleSince = steadyNow();
                          });
    }
    waitReadable();
}

void BackendConnection::setReading(bool isReading)
{
    m_isReading = isReading;
    if (m_isReading && m_isConnected)
        waitReadable();
}

void BackendConnection::waitReadable()
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

void BackendConnection::onReadable(const boost::system::error_code &error)
{
    if (m_isClosed)
        return;
    if (error) {
        fail(Reason::AnswerLost);
        return;
    }
    if (!m_isReading)
        return;
    boost::system::error_code failed;
    const std::size_t size =
            m_socket.read_some(asio::buffer(ReadScratch::data(), ReadScratch::Size), failed);
    if (failed == asio::error::would_block || failed == asio::error::try_again) {
        waitReadable();
        return;
    }
    if (failed == asio::error::eof) {
        onEnd();
        return;
    }
    if (failed) {
        fail(Reason::AnswerLost);
        return;
    }
    if (m_observer == nullptr) {
        close(); // Bytes that no request asked for.
        return;
    }
    m_input.append(ReadScratch::data(), size);
    consume();
    if (!m_isClosed && m_isReading)
        waitReadable();
}

bool BackendConnection::isOwnAnswer() const
{
    if (m_requestId.empty())
        return true;
    const auto id = m_parser->head().fields.find(m_names.requestId);
    // An answer without an id is judged by its seal and its place.
    return !id || *id == m_requestId;
}

void BackendConnection::noteKeepAlive()
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
    if (absl::SimpleAtoi(abslView(digits), &seconds))
        m_keepAlive = absl::Seconds(seconds);
}

void BackendConnection::consume()
{
    while (m_observer != nullptr && !m_isClosed) {
        std::string body;
        const ParseState state = m_parser->feed(m_input, body);
        if (state != ParseState::NeedsMore && state != ParseState::Complete) {
            fail(Reason::AnswerMismatched);
            return;
        }
        if (m_parser->hasHead() && !m_isHeadReported) {
            m_isHeadReported = true;
            m_isForeign = !isOwnAnswer();
            if (!m_isForeign) {
                noteKeepAlive();
                m_observer->responseHead(m_parser->head());
            }
        }
        if (!body.empty() && !m_isForeign && m_observer != nullptr)
            m_observer->responseBody(std::move(body));
        if (m_observer == nullptr || m_isClosed || state == ParseState::NeedsMore)
            return;
        if (!m_isForeign) {
            finish();
            return;
        }
        // A late answer to an earlier request; the own one may follow.
        const bool isLast = !m_parser->head().isKeepAlive;
        m_parser = std::make_unique<ResponseParser>(m_isHeadMethod);
        m_isHeadReported = false;
        if (isLast) {
            fail(Reason::AnswerMismatched);
            return;
        }
    }
}

void BackendConnection::finish()
{
    BackendExchangeObserver *observer = m_observer;
    m_observer = nullptr;
    const bool isReusable = m_parser->head().isKeepAlive && m_input.empty() && m_isWritten;
    m_parser.reset();
    m_idleSince = steadyNow();
    if (m_isWritten && !isReusable)
        close();
    // An answer that came before the whole request was read: the rest is still sent, and the
    // connection is closed when idle for long.
    observer->responseComplete();
}

void BackendConnection::onEnd()
{
    if (m_observer != nullptr && m_parser != nullptr && m_isHeadReported && !m_isForeign
        && m_parser->head().isCloseDelimited && m_parser->finishAtEndOfStream()) {
        BackendExchangeObserver *observer = m_observer;
        close();
        observer->responseComplete();
        return;
    }
    fail(m_isHeadReported ? Reason::AnswerTruncated : Reason::AnswerLost);
}

void BackendConnection::fail(Reason reason)
{
    BackendExchangeObserver *observer = m_observer;
    const bool wasSent = m_hasSentBytes;
    close();
    if (observer != nullptr)
        observer->exchangeFailed(reason, wasSent);
}

} // namespace godwitlift
