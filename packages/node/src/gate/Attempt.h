/// \file
/// Interface between the sender of an attempt at a backend server and the gate of that server,
/// which admits and runs the attempt.
#pragma once

#include "godwitlift/base/StrongId.h"
#include "godwitlift/base/Verdict.h"
#include "godwitlift/traffic/FinishTimeSelector.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace godwitlift {

/// One attempt to run a client's request at a backend server, as sent to the gate of its host.
struct AttemptRequest
{
    AttemptId id; ///< Unique per sending node.
    std::string requestId;
    ContentDigest content;
    ServiceId service;
    std::string head; ///< Request line and header fields, without those that the gate adds.
    std::shared_ptr<const std::string> body;
    int urgency = 0;         ///< Of the account, or else of the route; 0 is the most urgent.
    ClientAccountId account; ///< Empty for requests without a key.
    absl::Time deadline;     ///< The sender gives up the attempt at this time.
    absl::Time objective;    ///< Latency objective: an answer after this time has less value.
    bool isIdempotent = false;
    bool isHeadMethod = false;
    bool isRepeat = false; ///< The request has reached a server before.
    bool isCall = false;   ///< A backend server makes it for a request that it runs.
    RouteId route;         ///< Only if the service is being rolled out.
    /// Roll-out order for which the sender has counted the request as one to the new version; or 0.
    std::uint64_t rolloutOrder = 0;
};

/// Status and header fields of a backend server's answer, ready to be forwarded.
struct AnswerHead
{
    unsigned status = 0;
    std::string reasonPhrase;
    std::string fields; ///< Header lines, each with its CRLF, without hop-by-hop fields.
    std::optional<std::uint64_t> contentLength;
    bool isSealed = false; ///< Carries the seal with which the backend server signs its answers.
};

/// Durations of an attempt as measured by the gate.
struct GateTimings
{
    absl::Duration queueTime;   ///< From the arrival at the gate to the start.
    absl::Duration serviceTime; ///< From the start at the backend server to the end of its answer.
};

/// Result of an attempt that ended without a complete answer.
struct AttemptFailure
{
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    bool reachedServer = false; ///< The backend server received, and maybe refused, the request.
    absl::Duration retryAfter;
    std::optional<GateDemand> demand =
            std::nullopt; ///< Of the gate that refused the request for its load.
};

/// Receives the events of one attempt. onAnswerComplete() or onAttemptFailed() is the last one.
class AttemptObserver
{
public:
    virtual ~AttemptObserver() = default;
    virtual void onAnswerHead(AttemptId id, AnswerHead head) = 0;
    virtual void onAnswerBody(AttemptId id, std::string data) = 0;
    virtual void onAnswerComplete(AttemptId id, const GateTimings &timings) = 0;
    virtual void onAttemptFailed(AttemptId id, const AttemptFailure &failure) = 0;
};

/// Sends attempts to one gate, either on this host or over a connection to another host.
class AttemptGateway
{
public:
    virtual ~AttemptGateway() = default;
    /// Starts an attempt. The observer may be called before this returns.
    virtual void open(AttemptRequest request, std::weak_ptr<AttemptObserver> observer) = 0;
    /// Cancels the attempt; its observer is not called again. Returns true if it is known that no
    /// backend server has received the request or will receive it.
    virtual bool cancel(AttemptId id) = 0;
    /// Grants \p bytes of flow-control credit for the answer's body.
    virtual void grantCredit(AttemptId id, std::size_t bytes) = 0;
};

/// Flow-control window: body bytes of an answer that may be sent before the receiver grants credit.
/// Most answers are smaller and need no grant.
inline constexpr std::size_t AnswerWindowBytes = 128 * 1024;

} // namespace godwitlift
