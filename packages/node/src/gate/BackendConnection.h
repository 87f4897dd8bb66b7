/// \file
/// One connection to this host's backend server.
#pragma once

#include "gate/Attempt.h"
#include "http/MessageParser.h"
#include "http/Network.h"

#include "godwitlift/node/PlatformProtocol.h"

#include <functional>
#include <memory>
#include <string>

namespace godwitlift {

/// Hears about the one request in progress on a connection.
class BackendExchangeObserver
{
public:
    virtual ~BackendExchangeObserver() = default;
    virtual void responseHead(const ResponseHead &head) = 0;
    virtual void responseBody(std::string data) = 0;
    virtual void responseComplete() = 0;
    /// \p wasSent is false if the backend server certainly got nothing of the request.
    virtual void exchangeFailed(Reason reason, bool wasSent) = 0;
};

/// Carries one request at a time. A response with another request's id is dropped.
class BackendConnection final : public std::enable_shared_from_this<BackendConnection>
{
public:
    BackendConnection(asio::io_context &loop, asio::ip::tcp::endpoint server,
                      const ExchangeFieldNames &names);

    /// Sends \p request, connecting first if need be. An empty \p requestId matches any answer.
    void run(std::string request, std::string requestId, bool isHeadMethod,
             BackendExchangeObserver &observer);
    /// Ends the request in progress, if any, and the connection; the observer hears nothing more.
    void close();
    /// Reading goes on only while it is allowed to.
    void setReading(bool isReading);

    bool isOpen() const { return m_isConnected && !m_isClosed; }
    bool isBusy() const { return m_observer != nullptr; }
    bool isClosed() const { return m_isClosed; }
    /// True if another request may be sent on it.
    bool isReusable() const { return isOpen() && !isBusy() && m_isWritten; }
    absl::Time idleSince() const { return m_idleSince; }
    /// Time for which an idle connection stays usable, as its backend server said.
    absl::Duration keepAlive() const { return m_keepAlive; }

private:
    void connect();
    void writeRequest();
    void waitReadable();
    void onReadable(const boost::system::error_code &error);
    void consume();
    bool isOwnAnswer() const;
    void noteKeepAlive();
    void finish();
    void fail(Reason reason);
    void onEnd();

    asio::io_context &m_loop;
    asio::ip::tcp::endpoint m_server;
    const ExchangeFieldNames &m_names;
    TcpSocket m_socket;
    LoopTimer m_connectTimer;
    BackendExchangeObserver *m_observer = nullptr; ///< Set while a request is in progress.
    std::unique_ptr<ResponseParser> m_parser;
    std::string m_request;
    std::string m_requestId;
    std::string m_input;
    bool m_isHeadMethod = false;
    bool m_isConnected = false;
    bool m_isClosed = false;
    bool m_isWaiting = false;
    bool m_isReading = true;
    bool m_isWritten = false; ///< The whole request has been sent.
    bool m_hasSentBytes = false;
    bool m_isHeadReported = false;
    bool m_isForeign = false; ///< The response being read belongs to another request.
    absl::Time m_idleSince;
    absl::Duration m_keepAlive = absl::InfiniteDuration();
};

} // namespace godwitlift
