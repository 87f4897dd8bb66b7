/// \file
/// Connections between nodes. The interfaces hide gRPC from the rest of the code.
#pragma once

#include "godwitlift/adapters/AnswerSink.h"
#include "godwitlift/base/Failure.h"
#include "godwitlift/node/ControlEffects.h"
#include "godwitlift/node/ControlPlane.h"

#include <functional>
#include <memory>
#include <string>

namespace godwitlift {

/// Observes the control messages between nodes by message kind. Implementations are thread-safe.
class ControlTrafficObserver
{
public:
    virtual ~ControlTrafficObserver() = default;
    virtual void onMessageSent(std::string_view kind, std::size_t bytes) = 0;
    virtual void onMessageReceived(std::string_view kind, std::size_t bytes) = 0;
};

/// Receives the messages and forwarded calls of peers. Called on transport threads, which it must
/// not block for long.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    virtual void onMessage(const Peer &from, const PeerMessage &message) = 0;
    virtual void onForwardedCall(ForwardedCall call, std::shared_ptr<AnswerSink> sink) = 0;
};

/// Accepts connections from peers. The destructor returns after the calls in progress have
/// ended or been cancelled.
class PeerServer
{
public:
    virtual ~PeerServer() = default;
    /// Listens on \p address and refuses peers that do not present \p meshSecret. \p handler and
    /// \p traffic must outlive the server.
    static Result<std::unique_ptr<PeerServer>> listen(const Address &address,
                                                      std::string meshSecret, PeerHandler &handler,
                                                      ControlTrafficObserver &traffic);
    /// Stops accepting peers; cancels calls that are still in progress after \p grace.
    virtual void shutdown(absl::Duration grace) = 0;
};

/// A forwarded call in progress. Destroying it does not cancel it.
class ForwardHandle
{
public:
    virtual ~ForwardHandle() = default;
    virtual void cancel() = 0;
};

/// Sends messages and forwards calls to peers. Thread-safe; except for shutdown(), no method waits
/// for the network.
class PeerClient
{
public:
    virtual ~PeerClient() = default;
    /// \p traffic must outlive the client.
    static std::unique_ptr<PeerClient> create(const Peer &self, std::string meshSecret,
                                              ControlTrafficObserver &traffic);
    /// Sends \p message without waiting for delivery. A message may be dropped; control messages
    /// are repeated.
    virtual void sendMessage(const Address &to, const PeerMessage &message) = 0;
    /// Sends \p call and passes its answer to \p sink. The verdict of a call that was certainly not
    /// sent is NotRun, that of a call whose answer was lost is MayHaveRun.
    virtual std::shared_ptr<ForwardHandle> forward(const Address &to, ForwardedCall call,
                                                   std::shared_ptr<AnswerSink> sink) = 0;
    /// Uses a new connection from now on; calls in progress continue on the old one.
    virtual void replaceConnection(const Address &to) = 0;
    /// Ends all calls in progress. No sink is called afterwards.
    virtual void shutdown() = 0;
};

} // namespace godwitlift
