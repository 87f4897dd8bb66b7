/// \file
/// One attempt at a backend server, as both its sides see it.
#pragma once

#include "godwitlift/base/StrongId.h"
#include "godwitlift/base/Verdict.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace godwitlift {

/// A request on its way to a gate.
struct AttemptOrder
{
    AttemptId id; ///< Unique per sending node.
    std::string requestId;
    ServiceId service;
    std::string head; ///< Request line and fields, without those that the gate adds.
    std::shared_ptr<const std::string> body;
    int urgency = 0;
    absl::Time deadline;  ///< No answer is awaited after it.
    absl::Time objective; ///< An answer after it is worth less.
    bool isIdempotent = false;
    bool isHeadMethod = false;
};

/// Head of a backend server's answer, ready to be passed on.
struct AnswerHead
{
    unsigned status = 0;
    std::string phrase;
    std::string fields; ///< Whole lines, without those that concern one connection.
    std::optional<std::uint64_t> contentLength;
    bool isSealed = false; ///< Carries the backend server's signature.
};

/// Where the time of an attempt went at the gate's side.
struct GateTimes
{
    absl::Duration wait;    ///< From the arrival at the gate to the start.
    absl::Duration service; ///< From the start at the backend server to the end of its answer.
};

/// An attempt that ended without a whole answer.
struct AttemptFailure
{
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    bool reachedServer = false; ///< The backend server got the request, if only to refuse it.
    absl::Duration retryAfter;
};

/// Hears about one attempt. After answerComplete() or attemptFailed() nothing follows.
class AttemptObserver
{
public:
    virtual ~AttemptObserver() = default;
    virtual void answerHead(AttemptId id, AnswerHead head) = 0;
    virtual void answerBody(AttemptId id, std::string data) = 0;
    virtual void answerComplete(AttemptId id, const GateTimes &times) = 0;
    virtual void attemptFailed(AttemptId id, const AttemptFailure &failure) = 0;
};

/// The way to one gate: on this host or by a connection to another one.
class AttemptGateway
{
public:
    virtual ~AttemptGateway() = default;
    /// The observer may be called before this returns.
    virtual void open(AttemptOrder order, std::weak_ptr<AttemptObserver> observer) = 0;
    /// Nothing more is wanted of the attempt; its observer is not called again.
    virtual void cancel(AttemptId id) = 0;
    /// Allows the answer's body to go on by \p bytes.
    virtual void grant(AttemptId id, std::size_t bytes) = 0;
};

/// Body bytes of an answer that may be on their way before they are granted. Most answers are
/// smaller and need no grant.
inline constexpr std::size_t AnswerWindow = 128 * 1024;

} // namespace godwitlift
