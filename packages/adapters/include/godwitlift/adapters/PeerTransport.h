/// \file
/// Connections between nodes, behind interfaces that keep gRPC out of every other file.
#pragma once

#include "godwitlift/adapters/AnswerSink.h"
#include "godwitlift/base/Failure.h"
#include "godwitlift/node/ControlEffects.h"
#include "godwitlift/node/ControlPlane.h"

#include <functional>
#include <memory>
#include <string>

namespace godwitlift {

/// Counts control traffic by message kind. Implementations are thread-safe.
class TrafficObserver
{
public:
    virtual ~TrafficObserver() = default;
    virtual void sent(std::string_view kind, std::size_t bytes) = 0;
    virtual void received(std::string_view kind, std::size_t bytes) = 0;
};

/// Receives what peers send. Called from transport threads; must not block for long.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    virtual void messageArrived(const Peer &from, const PeerMessage &message) = 0;
    virtual void callArrived(ForwardedCall call, std::shared_ptr<AnswerSink> sink) = 0;
};

/// Accepts peers. Stops when destroyed, after calls in progress have ended or been cancelled.
class PeerServer
{
public:
    virtual ~PeerServer() = default;
    /// Listens on \p address. \p meshSecret must be presented by every peer. \p handler and
    /// \p traffic must outlive the server.
    static Result<std::unique_ptr<PeerServer>> listen(const Address &address,
                                                      std::string meshSecret, PeerHandler &handler,
                                                      TrafficObserver &traffic);
    virtual void shutdown(absl::Duration grace) = 0;
};

/// A forwarded call in progress. Destroying it does not cancel it.
class ForwardHandle
{
public:
    virtual ~ForwardHandle() = default;
    virtual void cancel() = 0;
};

/// Sends to peers. Thread-safe; no method blocks for the network.
class PeerClient
{
public:
    virtual ~PeerClient() = default;
    /// \p traffic must outlive the client.
    static std::unique_ptr<PeerClient> create(const Peer &self, std::string meshSecret,
                                              TrafficObserver &traffic);
    virtual void deliver(const Address &to, const PeerMessage &message) = 0;
    /// Sends \p call; the answer goes to \p sink. A call that was certainly not sent ends with
    /// verdict NotRun, one whose answer was lost with MayHaveRun.
    virtual std::shared_ptr<ForwardHandle> forward(const Address &to, ForwardedCall call,
                                                   std::shared_ptr<AnswerSink> sink) = 0;
    /// Opens a new connection for later sends; what is in progress goes on over the old one.
    virtual void replaceConnection(const Address &to) = 0;
    /// Ends everything in progress. No sink is called afterwards.
    virtual void shutdown() = 0;
};

} // namespace godwitlift
