/// \file
/// Calls and their answers as the adapters exchange them.
#pragma once

#include "godwitlift/base/Verdict.h"
#include "godwitlift/serving/Gate.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwitlift {

struct HttpHeader
{
    std::string name;
    std::string value;
};

/// A call forwarded to the gate of a backend server, or relayed to the node that owns its key.
struct ForwardedCall
{
    AttemptId attempt;
    bool isRelay = false; ///< Sent to the owner of the key instead of to a gate.
    BackendServerId backendServer;
    RankId rank;
    CallerId caller;
    std::string method;
    std::string target; ///< Path and query.
    std::vector<HttpHeader> headers;
    std::string body;
    absl::Duration timeout;        ///< Time left until the deadline.
    absl::Duration stallTimeout;   ///< Longest time without progress of the answer.
    std::uint32_t retriesLeft = 0; ///< For the backend server's own calls.
    IdempotencyKey key;            ///< Empty if the caller sent none.
    bool runsAtMostOnce = false;   ///< The request must not be sent to the backend server twice.
};

struct AnswerHead
{
    AttemptId attempt;
    int status = 0;
    std::vector<HttpHeader> headers;
    std::optional<std::uint64_t> contentLength; ///< Size of the body in bytes, if known.
};

/// Ends an answer whose complete body has been delivered.
struct AnswerEnd
{
    std::uint64_t receivedBytes = 0; ///< Size of the body.
    GateLoad load;
};

/// Ends a call without a complete answer.
struct AnswerRefusal
{
    AttemptId attempt;
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    absl::Duration retryAfter;
    GateLoad load;
};

/// Receives one answer: a head, any number of body parts and an end, or a refusal at any point.
/// Methods are called one at a time, from any thread, and must not block.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    virtual void onHead(AnswerHead head) = 0;
    virtual void onBody(std::string_view part) = 0;
    virtual void onEnd(const AnswerEnd &end) = 0;
    virtual void onRefusal(const AnswerRefusal &refusal) = 0;
    /// No more data is available at the moment; the sink should send what it has buffered.
    virtual void flush() {}
    /// Backpressure: returns whether the sink accepts more of the body now. If not, \p resume is
    /// called once, from any thread, when the sink accepts more or the answer is cancelled.
    virtual bool isReadyForMore(std::function<void()> resume) = 0;
    /// Returns true if the answer is no longer needed and the sender should stop.
    virtual bool isCancelled() const = 0;
};

} // namespace godwitlift
