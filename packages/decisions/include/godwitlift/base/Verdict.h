/// \file
/// What is known about the execution of a request, and why a request was refused or failed.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace godwitlift {

/// Whether a request was executed by a backend server, as far as this can be proved.
enum class Verdict : std::uint8_t {
    NotRun,     ///< No backend server has executed the request or will execute it.
    MayHaveRun, ///< The request was sent to a backend server and its outcome is unknown.
    Ran         ///< The complete answer of the backend server was received.
};

/// Why a request was refused or failed. Each value has its own counter in the metrics.
enum class Reason : std::uint8_t {
    None,
    NoRoute,             ///< No route of the configuration in force matches the request.
    NoConfiguration,     ///< The node has not received a configuration yet.
    NoBackendServer,     ///< No backend server of the service accepts requests.
    QueueFull,           ///< The queue of the rank at the gate is full.
    QueueShare,          ///< The caller has reached its share of the rank's queue.
    DeadlineUnmeetable,  ///< The request is not expected to complete before its deadline.
    DeadlineExpired,     ///< The deadline passed, or a queued request can no longer meet it.
    Draining,            ///< The backend server is draining or the node is shutting down.
    Displaced,           ///< Removed from a full queue for a request of another caller.
    Shed,                ///< The backend server refused the request before running it.
    ConnectFailed,       ///< No connection to the next hop could be established.
    PeerRefused,         ///< The peer does not belong to the mesh.
    AnswerLost,          ///< The next hop received the request, but no answer arrived.
    AnswerTruncated,     ///< The answer ended before its announced length.
    AnswerStalled,       ///< The transfer of the answer made no progress within the stall timeout.
    AnswerMismatched,    ///< The answer belongs to another request.
    Cancelled,           ///< The caller cancelled the request.
    KeyMissing,          ///< A non-idempotent call has no idempotency key.
    KeyInProgress,       ///< The first attempt of the idempotency key is still running.
    KeyOwnerUnreachable, ///< The node that owns the idempotency key cannot be reached.
    KeyOutcomeUnknown,   ///< The key was used before and the outcome of that call is unknown.
    KeyReused,           ///< The key was used before with a different request.
    PlatformUnavailable, ///< The claim for the key cannot be written to the platform.
    AnswerNotKept,       ///< The call of the key ran, but its answer was too large to store.
    RetryBudgetSpent,    ///< The retry budget of the rank or of the call chain is exhausted.
    TooLarge,            ///< The request exceeds a size limit.
    Overloaded,      ///< The ingress has reached its limit of open requests or of recorded keys.
    ServerError,     ///< The backend server answered with an error.
    NoRequestId,     ///< The request has no request id.
    RequestLimit,    ///< The request limit that the backend server states leaves no room in time.
    Quarantined,     ///< Backend servers have crashed under this request.
    UnknownKey,      ///< No client account holds the key that the request presents, or it has none.
    AccessOutdated,  ///< This node cannot know whether the key has been revoked.
    QuotaExceeded,   ///< The client account has spent its quota.
    RolloutExposure, ///< The request may not go to a version that is being rolled out.
    InputBudget,     ///< The node holds as many bytes of unfinished requests as it may.
    LinkBusy         ///< The request's body cannot be transferred to the host in time.
};

inline constexpr std::size_t ReasonCount = static_cast<std::size_t>(Reason::LinkBusy) + 1;

/// Stable lower-case name used in headers, logs and metrics.
std::string_view name(Verdict verdict);
/// Stable lower-case name used in headers, logs and metrics.
std::string_view name(Reason reason);
/// Inverse of name(Verdict); nullopt for an unknown name.
std::optional<Verdict> verdictFromName(std::string_view text);
/// Inverse of name(Reason); nullopt for an unknown name.
std::optional<Reason> reasonFromName(std::string_view text);

/// HTTP status returned to the caller of a request that ended without an answer.
int httpStatus(Verdict verdict, Reason reason);

} // namespace godwitlift
