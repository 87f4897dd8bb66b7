/// \file
/// Request bodies that other nodes hold until this host's link can carry them.
#pragma once

#include "gate/BackendServerGate.h"
#include "http/Network.h"

#include "godwitlift/traffic/BodyIntake.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <string>

namespace godwitlift {

/// The node that holds the body of an announced request.
class BodySender
{
public:
    virtual ~BodySender() = default;
    /// Asks for the next \p bytes of the body.
    virtual void requestBody(AttemptId id, std::size_t bytes) = 0;
    virtual void onBodyComplete(AttemptRequest request) = 0;
    /// The request is not run.
    virtual void onBodyRefused(AttemptId id, Reason reason) = 0;
};

/// Collects the bodies of announced requests, in the order and at the pace that BodyIntake decides.
/// One per node. A request is passed to the gate only when its body is complete; until then it is
/// known not to have run.
class BodyReceiver final
{
public:
    /// \p linkMbps is the bandwidth of the host's link in Mbit/s; 0 if unknown.
    BodyReceiver(asio::io_context &loop, double linkMbps, BackendServerGate &gate);

    /// Size from which bodies are to be announced; none if none are.
    std::optional<std::size_t> threshold() const { return m_intake.threshold(); }
    /// Time until a body that is announced now begins to arrive.
    absl::Duration backlogTime() const { return m_intake.backlogTime(); }

    /// \p key is unique among the attempts at the gate. Unless the body is refused at once, calls
    /// \p sender until the body is complete, refused or cancelled.
    void announce(AttemptId key, AttemptRequest request, std::size_t bytes,
                  std::weak_ptr<BodySender> sender);
    /// False if the sender had no credit for \p data.
    bool onPiece(AttemptId key, std::string_view data);
    /// False if no body of that key is expected.
    bool cancel(AttemptId key);

private:
    struct Body
    {
        AttemptRequest request; ///< Without its body.
        std::string received;
        std::size_t bytes = 0; ///< When complete.
        std::weak_ptr<BodySender> sender;
    };

    void grantCredit();
    void refuse(AttemptId key, Reason reason);
    void scheduleCheck();

    BackendServerGate &m_gate;
    BodyIntake m_intake;
    absl::flat_hash_map<AttemptId, Body> m_bodies; ///< Those that m_intake knows.
    LoopTimer m_checkTimer;
    bool m_isCheckScheduled = false;
};

} // namespace godwitlift
