/// \file
/// Decisions about a caller's call: route, idempotency key, backend server, retries and outcome.
#pragma once

#include "godwitlift/distribution/TokenBucket.h"
#include "godwitlift/serving/AnswerTracker.h"
#include "godwitlift/serving/BackendPicker.h"
#include "godwitlift/serving/IdempotencyLedger.h"
#include "godwitlift/serving/KeyClaim.h"
#include "godwitlift/serving/MemberLookup.h"
#include "godwitlift/serving/RetryBudget.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwitlift {

/// Identifies a caller's call within one ingress.
using CallId = StrongNumber<struct CallIdTag>;

/// Metadata of a call.
struct CallHead
{
    CallId call;
    std::string path; ///< Without the query.
    CallerId caller;
    IdempotencyKey key;            ///< Empty if the caller sent none.
    std::uint64_t fingerprint = 0; ///< Hash over method, path, query and body.
    std::uint64_t bodyBytes = 0;
    /// Set by the caller; can only shorten the route's deadline.
    std::optional<absl::Duration> timeout;
    std::uint32_t retriesLeft = 0; ///< Retries that the whole chain of calls may still make.
    bool isRelayed = false;        ///< Relayed by another node to this node as the key's owner.
};

/// Forward the call to the node on a backend server's host.
struct ForwardAction
{
    CallId call;
    AttemptId attempt;
    Target target;
    RouteId route;
    RankId rank;
    CallerId caller;
    absl::Time deadline;
    absl::Duration stallTimeout;
    std::uint32_t retriesLeft = 0; ///< Retries that the backend server's own calls may make.
    bool needsAnswerBody = false;  ///< onAttemptEnded() needs the answer for the ledger.
};

/// Relay the whole call to the node that owns its key.
struct RelayAction
{
    CallId call;
    HostId owner;
    Address address;
    absl::Time deadline;
};

/// Refuse the call: a final answer to the caller that does not come from a backend server.
struct CallRefusal
{
    CallId call;
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    absl::Duration retryAfter; ///< Zero if unspecified.
    RankId rank;               ///< Empty if no route matched.
};

/// Answer the call with the stored answer of its key.
struct ReplayAction
{
    CallId call;
    StoredAnswer answer;
};

/// Actions for the adapter to execute. Each call ends with exactly one refusal, replay or
/// completion.
struct IngressActions
{
    std::vector<ForwardAction> forwards;
    std::vector<RelayAction> relays;
    std::vector<CallRefusal> refusals;
    std::vector<ReplayAction> replays;
    std::vector<CallId> completions;      ///< The answer of the last attempt is the call's answer.
    std::vector<AttemptId> cancellations; ///< Attempts whose answer is no longer needed.
    std::vector<PlatformRequest> platformRequests;
    std::vector<Reason> retries; ///< Cause of each retry, for the metrics.
};

/// How an attempt ended.
struct AttemptReport
{
    AttemptId attempt;
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None; ///< None only if the verdict is Ran.
    GateLoad load;                ///< Limit 0 if the gate's load is not known.
    absl::Duration retryAfter;
    bool isAnswerStarted = false; ///< Part of the answer was already sent to the caller.
    StoredAnswer answer;          ///< Only if the forward action needs it.
};

/// Limits of an ingress.
struct IngressPolicy
{
    std::size_t callLimit = 20'000; ///< Calls in progress.
    std::uint32_t attemptLimit = 3; ///< For one call at this ingress.
    absl::Duration claimTimeout = absl::Seconds(2);
    double claimsPerSecond = 20; ///< Conditional writes to the platform by this node.
    double claimBurst = 40;
    /// For refusals without a better estimate.
    absl::Duration defaultRetryAfter = absl::Milliseconds(200);
    LedgerPolicy ledger;
};

/// Default number of retries of all calls in a call chain together.
inline constexpr std::uint32_t ChainRetryLimit = 2;

/// Manages calls from arrival to end. Not thread-safe: the adapter calls it with its serving lock
/// held.
///
/// Invariants: after an attempt with verdict MayHaveRun, a call is retried only if its route is
/// repeatable; a call with a key is forwarded only while this process owns the key and its ledger
/// returns MayRun; a refusal has verdict NotRun only if every attempt had verdict NotRun.
class Ingress final
{
public:
    /// \p memberLookup and \p random must outlive the ingress.
    Ingress(HostId self, Incarnation incarnation, IngressPolicy policy,
            const MemberLookup &memberLookup, RandomSource &random);

    void setRoutingTable(std::shared_ptr<const RoutingTable> table)
    {
        m_routingTable = std::move(table);
    }
    const std::shared_ptr<const RoutingTable> &routingTable() const { return m_routingTable; }

    IngressActions onCall(const CallHead &head, absl::Time now);
    /// The answer's head was received. From now on, the stall timeout applies and not the call's
    /// deadline.
    void onAnswerStarted(AttemptId attempt);
    IngressActions onAttemptEnded(const AttemptReport &report, absl::Time now);
    /// The relayed call has ended. \p verdict and \p reason are those of the key's owner, or
    /// MayHaveRun and KeyOwnerUnreachable if the owner could not be reached.
    IngressActions onRelayEnded(CallId call, Verdict verdict, Reason reason, absl::Time now);
    IngressActions onPlatformAnswer(const PlatformAnswer &answer, absl::Time now);
    /// The caller has disconnected. A forwarded call with a key continues, so that a retry finds
    /// its outcome.
    IngressActions cancel(CallId call, absl::Time now);
    /// Ends calls whose deadline has passed. Must be called about every 10 ms.
    IngressActions tick(absl::Time now);

    IdempotencyKey issueKey() { return m_ledger.issue(); }
    std::size_t callCount() const { return m_calls.size(); }
    const IdempotencyLedger &ledger() const { return m_ledger; }

private:
    struct Call
    {
        CallHead head;
        std::shared_ptr<const RoutingTable> table; ///< Owns the route.
        const ResolvedRoute *route = nullptr;
        absl::Time arrivalTime;
        absl::Time deadline;
        bool ownsKey = false;         ///< The ledger has the key in progress for this call.
        bool isAnswerStarted = false; ///< Of the current attempt.
        bool isDetached = false; ///< The caller has disconnected; only the ledger gets the outcome.
        AttemptId currentAttempt; ///< 0 if none.
        std::uint32_t attemptCount = 0;
        std::set<TargetKey> triedTargets;
        Verdict worstVerdict = Verdict::NotRun;
    };
    struct Attempt
    {
        CallId call;
        TargetKey target;
    };

    void forward(Call &call, absl::Time now, IngressActions &actions);
    void refuse(const Call &call, Verdict verdict, Reason reason, absl::Duration retryAfter,
                IngressActions &actions);
    void refuseOnArrival(const CallHead &head, Reason reason, absl::Duration retryAfter,
                         IngressActions &actions);
    void endCall(CallId call);
    /// Records the outcome of a call whose caller has disconnected.
    void finishDetached(const Call &call, const AttemptReport &report);
    /// Whether the call may be retried; if so, spends a retry of the call chain's budget and of the
    /// rank's. Sets \p refusalReason if one of them is exhausted.
    bool trySpendRetry(Call &call, const AttemptReport &report, absl::Time now,
                       Reason &refusalReason);
    /// Determines the owner of the call's key and continues there.
    void resolveKey(Call &call, absl::Time now, IngressActions &actions);
    void onKeyState(Call &call, KeyState state, absl::Time now, IngressActions &actions);
    void relayToOwner(Call &call, const HostId &owner, Incarnation incarnation,
                      IngressActions &actions);
    void startKeyClaim(Call &call, absl::Time now, IngressActions &actions);

    HostId m_self;
    Incarnation m_incarnation;
    IngressPolicy m_policy;
    RandomSource &m_random;
    std::shared_ptr<const RoutingTable> m_routingTable;
    const MemberLookup &m_memberLookup;
    BackendPicker m_picker;
    IdempotencyLedger m_ledger;
    TokenBucket m_claimRateLimit;
    std::map<RankId, RetryBudget> m_retryBudgets;
    std::map<CallId, Call> m_calls;
    std::map<AttemptId, Attempt> m_attempts;
    struct PendingClaim
    {
        CallId call;
        KeyClaim claim;
    };
    std::map<PlatformRequestId, PendingClaim> m_pendingClaims;
    std::uint64_t m_nextAttemptId = 1;
    std::uint64_t m_nextPlatformRequestId = 1;
    absl::Time m_nextExpiry = absl::InfinitePast();
};

} // namespace godwitlift
