/// \file
/// Names of verdicts and reasons, and their HTTP status codes.
#include "godwitlift/base/Verdict.h"

namespace godwitlift {

namespace {

constexpr std::array<std::string_view, 3> VerdictNames = { "not-run", "may-have-run", "ran" };

constexpr std::array<std::string_view, ReasonCount> ReasonNames = {
    "none",
    "no-route",
    "no-configuration",
    "no-backend-server",
    "queue-full",
    "queue-share",
    "deadline-unmeetable",
    "deadline-expired",
    "draining",
    "displaced",
    "shed",
    "connect-failed",
    "peer-refused",
    "answer-lost",
    "answer-truncated",
    "answer-stalled",
    "answer-mismatched",
    "cancelled",
    "key-missing",
    "key-in-progress",
    "key-owner-unreachable",
    "key-outcome-unknown",
    "key-reused",
    "platform-unavailable",
    "answer-not-kept",
    "retry-budget-spent",
    "too-large",
    "overloaded",
    "server-error",
    "no-request-id",
    "request-limit",
    "quarantined",
    "unknown-key",
    "access-outdated",
    "quota-exceeded",
    "rollout-exposure",
    "input-budget",
    "link-busy",
};

template<typename Enum, std::size_t Count>
std::optional<Enum> fromName(const std::array<std::string_view, Count> &names,
                             std::string_view text)
{
    for (std::size_t i = 0; i < Count; ++i) {
        if (names[i] == text)
            return static_cast<Enum>(i);
    }
    return std::nullopt;
}

} // namespace

std::string_view name(Verdict verdict)
{
    return VerdictNames[static_cast<std::size_t>(verdict)];
}

std::string_view name(Reason reason)
{
    return ReasonNames[static_cast<std::size_t>(reason)];
}

std::optional<Verdict> verdictFromName(std::string_view text)
{
    return fromName<Verdict>(VerdictNames, text);
}

std::optional<Reason> reasonFromName(std::string_view text)
{
    return fromName<Reason>(ReasonNames, text);
}

int httpStatus(Verdict verdict, Reason reason)
{
    switch (reason) {
    case Reason::NoRoute:
        return 404;
    case Reason::KeyMissing:
        return 400;
    case Reason::UnknownKey:
        return 401;
    case Reason::QuotaExceeded:
        return 429;
    case Reason::KeyInProgress:
    case Reason::KeyOutcomeUnknown:
    case Reason::AnswerNotKept:
        return 409;
    case Reason::KeyReused:
        return 422;
    case Reason::TooLarge:
        return 413;
    case Reason::DeadlineExpired:
    case Reason::DeadlineUnmeetable:
        return 504;
    default:
        return verdict == Verdict::NotRun ? 503 : 502;
    }
}

} // namespace godwitlift
