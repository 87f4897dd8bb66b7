/// \file
/// Calls and answers as they travel between adapters.
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

/// A call on its way to a gate or to the owner of its key.
struct ForwardedCall
{
    AttemptId attempt;
    bool isRelay = false; ///< To the owner of the key instead of a gate.
    BackendServerId backendServer;
    RankId rank;
    CallerId caller;
    std::string method;
    std::string target; ///< Path and query.
    std::vector<HttpHeader> headers;
    std::string body;
    absl::Duration timeout;
    absl::Duration stallTimeout;
    std::uint32_t retriesLeft = 0;
    IdempotencyKey key;
    bool runsAtMostOnce = false;
};

struct AnswerHead
{
    AttemptId attempt;
    int status = 0;
    std::vector<HttpHeader> headers;
    std::optional<std::uint64_t> length; ///< Bytes of the body, if announced.
};

/// The whole body has been passed on.
struct AnswerEnd
{
    std::uint64_t received = 0; ///< Bytes of the body.
    GateLoad load;
};

/// The call ended without a whole answer.
struct AnswerRefusal
{
    AttemptId attempt;
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    absl::Duration retryAfter;
    GateLoad load;
};

/// Takes one answer: a head, any number of body parts and an end, or a refusal at any point.
/// Calls come one at a time, from any thread, and none of them blocks.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    virtual void head(AnswerHead head) = 0;
    virtual void body(std::string_view part) = 0;
    virtual void end(const AnswerEnd &end) = 0;
    virtual void refuse(const AnswerRefusal &refusal) = 0;
    /// No more is known to come at once: what was passed on should travel now.
    virtual void flush() {}
    /// Whether more of the body is wanted now. If not, \p resume is called once when it is, from
    /// any thread; it may also be called when the answer is cancelled.
    virtual bool wantsMore(std::function<void()> resume) = 0;
    /// Whether nobody wants the answer any more.
    virtual bool isCancelled() const = 0;
};

} // namespace godwitlift
