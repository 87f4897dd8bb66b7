/// \file
/// Client side of one HTTP connection, such as the one to this host's backend server.
#pragma once

#include "gate/Attempt.h"
#include "http/MessageParser.h"
#include "http/Network.h"

#include "godwitlift/node/PlatformProtocol.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace godwitlift {

/// Receives the events of the one request in progress on a connection.
class BackendExchangeObserver
{
public:
    virtual ~BackendExchangeObserver() = default;
    virtual void onResponseHead(const ResponseHead &head) = 0;
    virtual void onResponseBody(std::string data) = 0;
    virtual void onResponseComplete() = 0;
    /// \p hasSentBytes is false if no byte of the request was sent, so that it cannot have run.
    virtual void onExchangeFailed(Reason reason, bool hasSentBytes) = 0;
};

/// Sends one request at a time. A response that carries another request's id is discarded.
///
/// A faulty server may write an earlier response once more. Therefore a refusal to run a request
/// counts only if it names the request, or is the first response on the connection; and a request
/// that was refused here must not be sent here again.
class BackendConnection final : public std::enable_shared_from_this<BackendConnection>
{
public:
    BackendConnection(asio::io_context &loop, asio::ip::tcp::endpoint server,
                      const PlatformHeaderNames &headerNames);

    /// Sends \p request and \p body, which may be null, and connects first if necessary. An empty
    /// \p requestId matches any response.
    void sendRequest(std::string request, std::shared_ptr<const std::string> body,
                     std::string requestId, bool isHeadMethod, BackendExchangeObserver &observer);
    /// Aborts the request in progress, if any, and closes the connection; the observer is not
    /// called.
    void close();
    /// Pauses or resumes reading, for flow control.
    void setReadingEnabled(bool isEnabled);

    bool isOpen() const { return m_isConnected && !m_isClosed; }
    bool isBusy() const { return m_observer != nullptr; }
    bool isClosed() const { return m_isClosed; }
    /// True if the connection is idle and another request may be sent on it.
    bool isReusable() const { return isOpen() && !isBusy() && m_isRequestWritten; }
    /// True if a request with this id was refused on this connection.
    bool hasRefused(const std::string &requestId) const;
    absl::Time idleSince() const { return m_idleSince; }
    /// Idle timeout from the server's `Keep-Alive` header; infinite if it states none.
    absl::Duration keepAliveTimeout() const { return m_keepAliveTimeout; }

private:
    void connect();
    void writeRequest();
    void writeBody();
    void onRequestWritten(const boost::system::error_code &error);
    void waitUntilReadable();
    void onReadable(const boost::system::error_code &error);
    void parseInput();
    bool isRefusal() const;
    bool hasMatchingRequestId() const;
    void readKeepAliveTimeout();
    void completeExchange();
    void failExchange(Reason reason);
    void onEndOfStream();

    asio::io_context &m_loop;
    asio::ip::tcp::endpoint m_server;
    const PlatformHeaderNames &m_headerNames;
    TcpSocket m_socket;
    LoopTimer m_connectTimer;
    BackendExchangeObserver *m_observer = nullptr; ///< Set while a request is in progress.
    std::unique_ptr<ResponseParser> m_parser;
    std::string m_request;
    std::shared_ptr<const std::string>
            m_body; ///< Sent after m_request; null if it is a part of it.
    std::string m_requestId;
    std::string m_input;
    bool m_isHeadMethod = false;
    bool m_isConnected = false;
    bool m_isClosed = false;
    bool m_isAwaitingRead = false;
    bool m_isReadingEnabled = true;
    bool m_isRequestWritten = false; ///< The whole request has been sent.
    bool m_hasWriteFailed = false;   ///< Part of the request could not be sent.
    bool m_isInputEnded = false;     ///< The end of the stream was read before that is decided.
    bool m_hasSentBytes = false;
    bool m_isHeadReported = false;
    bool m_isStaleResponse = false; ///< The response being read belongs to another request.
    bool m_isFirstExchange = true;  ///< No request was sent before the present one.
    std::vector<std::string> m_refusedRequestIds;
    std::size_t m_skippedBytes = 0; ///< Of such responses, since the request was sent.
    absl::Time m_idleSince;
    absl::Duration m_keepAliveTimeout = absl::InfiniteDuration();
};

} // namespace godwitlift
