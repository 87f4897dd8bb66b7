/// \file
/// The outcome of a request as far as the system can prove it, and the reason for a refusal.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace godwitlift {

/// What is known about whether a request ran at a backend server.
enum class Verdict : std::uint8_t {
    NotRun,     ///< No backend server saw the request, now or later.
    MayHaveRun, ///< The request was handed to a backend server and its outcome is unknown.
    Ran         ///< A whole answer of the backend server exists.
};

/// Why a request was refused or failed. Each value has its own counter in the metrics.
enum class Reason : std::uint8_t {
    None,
    NoRoute,             ///< No route of the configuration in force matches the request.
    NoConfiguration,     ///< The node holds no configuration yet.
    NoBackendServer,     ///< No backend server of the service may take work.
    QueueFull,           ///< The rank's queue at the gate is full.
    QueueShare,          ///< The caller's share of the rank's queue is used up.
    DeadlineUnmeetable,  ///< The deadline falls before the expected end of the work.
    DeadlineExpired,     ///< The deadline passed while the request was queued.
    Draining,            ///< The backend server is being handed back or the node is stopping.
    Displaced,           ///< A queued request gave way to one of a more urgent rank.
    Shed,                ///< The backend server refused the request before running it.
    ConnectFailed,       ///< No connection to the next hop was established.
    PeerRefused,         ///< The peer does not belong to the mesh.
    AnswerLost,          ///< The next hop had the request and no answer came.
    AnswerTruncated,     ///< The answer ended before its announced length.
    AnswerStalled,       ///< The answer made no progress for too long.
    AnswerMismatched,    ///< The answer belongs to another request.
    Cancelled,           ///< The caller gave up.
    KeyMissing,          ///< A call that may not be repeated carries no idempotency key.
    KeyInProgress,       ///< The first attempt of the idempotency key is still running.
    KeyOwnerUnreachable, ///< The owner of the idempotency key cannot be asked.
    KeyOutcomeUnknown,   ///< The key was used before and its outcome cannot be proved.
    KeyReused,           ///< The key was used before with a different request.
    PlatformUnavailable, ///< The claim for the key cannot be written.
    AnswerNotKept,       ///< The key's call ran, but its answer was too large to keep.
    RetryBudgetSpent,    ///< The retry budget of the rank or of the chain is spent.
    TooLarge,            ///< The request exceeds a size limit.
    Overloaded,          ///< The ingress holds more requests than its limit.
    ServerError,         ///< The backend server answered with a failure of its own.
    NoRequestId          ///< The request carries no id of its own.
};

inline constexpr std::size_t ReasonCount = static_cast<std::size_t>(Reason::NoRequestId) + 1;

/// Stable lower-case name used in headers, logs and metrics.
std::string_view name(Verdict verdict);
/// Stable lower-case name used in headers, logs and metrics.
std::string_view name(Reason reason);
/// Inverse of name(Verdict); empty for an unknown name.
std::optional<Verdict> verdictFromName(std::string_view text);
/// Inverse of name(Reason); empty for an unknown name.
std::optional<Reason> reasonFromName(std::string_view text);

/// HTTP status that the caller sees for a request that ended without an answer.
int httpStatus(Verdict verdict, Reason reason);

} // namespace godwitlift
