/// \file
/// All decisions about a caller's call: route, key, backend server, retries and its end.
#pragma once

#include "godwitlift/distribution/TokenBucket.h"
#include "godwitlift/serving/AnswerTracker.h"
#include "godwitlift/serving/BackendPicker.h"
#include "godwitlift/serving/KeyClaim.h"
#include "godwitlift/serving/OperationLedger.h"
#include "godwitlift/serving/OwnerLookup.h"
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

/// What the ingress needs to know of a call.
struct CallHead
{
    CallId call;
    std::string path; ///< Without the query.
    CallerId caller;
    IdempotencyKey key;            ///< Empty if the caller sent none.
    std::uint64_t fingerprint = 0; ///< Hash over method, path, query and body.
    std::uint64_t bodyBytes = 0;
    std::optional<absl::Duration> timeout; ///< The caller's own bound.
    std::uint32_t retriesLeft = 0; ///< Retries that the whole chain of calls may still make.
    bool isRelayed = false;        ///< Another node sent it here as to the key's owner.
};

/// Send the call to the node beside a backend server.
struct ForwardOrder
{
    CallId call;
    AttemptId attempt;
    Target target;
    RouteId route;
    RankId rank;
    CallerId caller;
    absl::Time deadline;
    absl::Duration stallTimeout;
    std::uint32_t retriesLeft = 0; ///< What the backend server's own calls may still retry.
    bool keepsAnswer = false;      ///< The body must be reported to attemptEnded() for the ledger.
};

/// Relay the whole call to the node that owns its key.
struct RelayOrder
{
    CallId call;
    HostId owner;
    Address address;
    absl::Time deadline;
};

/// Final answer to the caller without a backend server's answer.
struct CallRefusal
{
    CallId call;
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    absl::Duration retryAfter; ///< Zero: no advice.
    RankId rank;               ///< Empty if no route matched.
};

/// Answer from the ledger.
struct ReplayOrder
{
    CallId call;
    StoredAnswer answer;
};

/// What the ingress wants done; each call ends with exactly one of refusal, replay, completion.
struct IngressStep
{
    std::vector<ForwardOrder> forwards;
    std::vector<RelayOrder> relays;
    std::vector<CallRefusal> refusals;
    std::vector<ReplayOrder> replays;
    std::vector<CallId> completions;      ///< The answer of the last attempt is the call's answer.
    std::vector<AttemptId> cancellations; ///< Attempts whose caller is gone.
    std::vector<PlatformRequest> platformRequests;
    std::vector<Reason> retries; ///< Reason of each retry made, for the counters.
};

/// How an attempt ended.
struct AttemptReport
{
    AttemptId attempt;
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None; ///< None only for Ran.
    GateLoad load;                ///< Zero limit if the gate could not be heard.
    absl::Duration retryAfter;
    bool answerStarted = false; ///< Part of the answer has gone to the caller already.
    StoredAnswer answer;        ///< For the ledger, if the order asked for it.
};

/// Bounds of an ingress.
struct IngressPolicy
{
    std::size_t callLimit = 20'000; ///< Calls in progress.
    std::uint32_t attemptLimit = 3; ///< Attempts of one call at this ingress.
    absl::Duration claimTimeout = absl::Seconds(2);
    double claimsPerSecond = 20; ///< Platform writes for keys, of this node.
    double claimBurst = 40;
    absl::Duration refusalPause = absl::Milliseconds(200); ///< Advice when there is no better one.
    LedgerPolicy ledger;
};

/// Default number of retries that a whole chain of calls may make.
inline constexpr std::uint32_t ChainRetryLimit = 2;

/// Owns calls from arrival to end. Not thread-safe: the adapter calls it under its serving lock.
///
/// Invariants: a call that was handed over with verdict MayHaveRun is tried again only if its route
/// is repeatable; a call under a key is handed over only while this process owns the key and its
/// ledger says MayRun; a refusal with verdict NotRun is given only if every attempt was NotRun.
class Ingress final
{
public:
    /// \p owners and \p random must outlive the ingress.
    Ingress(HostId self, Incarnation incarnation, IngressPolicy policy, const OwnerLookup &owners,
            RandomSource &random);

    void setTable(std::shared_ptr<const RoutingTable> table) { m_table = std::move(table); }
    const std::shared_ptr<const RoutingTable> &table() const { return m_table; }

    IngressStep arrive(const CallHead &head, absl::Time now);
    /// The answer's head has come; from now on its progress counts and not the call's deadline.
    void answerStarted(AttemptId attempt);
    IngressStep attemptEnded(const AttemptReport &report, absl::Time now);
    /// The relayed call came back. \p verdict and \p reason are the owner's; an unreachable owner
    /// is reported as MayHaveRun with KeyOwnerUnreachable.
    IngressStep relayEnded(CallId call, Verdict verdict, Reason reason, absl::Time now);
    IngressStep platformAnswered(const PlatformAnswer &answer, absl::Time now);
    /// The caller is gone. A call under a key goes on, so that a retry finds its outcome.
    IngressStep cancel(CallId call, absl::Time now);
    /// Ends calls whose deadline has passed. Call it about every 10 ms.
    IngressStep tick(absl::Time now);

    IdempotencyKey issueKey() { return m_ledger.issue(); }
    std::size_t callCount() const { return m_calls.size(); }
    const OperationLedger &ledger() const { return m_ledger; }

private:
    struct Call
    {
        CallHead head;
        std::shared_ptr<const RoutingTable> table; ///< Keeps the route alive.
        const ResolvedRoute *route = nullptr;
        absl::Time arrived;
        absl::Time deadline;
        bool ownsKey = false;     ///< The ledger holds this call's key in progress.
        bool isAnswering = false; ///< The current attempt's answer has begun.
        bool isDetached = false;  ///< The caller is gone; only the ledger awaits the outcome.
        AttemptId attempt;        ///< Current attempt; 0 if none.
        std::uint32_t attempts = 0;
        std::set<TargetKey> tried;
        Verdict worst = Verdict::NotRun; ///< Gravest verdict of the attempts so far.
    };
    struct Attempt
    {
        CallId call;
        TargetKey target;
    };

    void forward(Call &call, absl::Time now, IngressStep &step);
    void refuse(const Call &call, Verdict verdict, Reason reason, absl::Duration retryAfter,
                IngressStep &step);
    void refuseEarly(const CallHead &head, Reason reason, absl::Duration retryAfter,
                     IngressStep &step);
    void end(CallId call);
    void settle(const Call &call, const AttemptReport &report);
    bool mayRetry(Call &call, const AttemptReport &report, absl::Time now, Reason &spent);
    void resolveKey(Call &call, absl::Time now, IngressStep &step);
    void onKeyState(Call &call, KeyState state, absl::Time now, IngressStep &step);
    void relayToOwner(Call &call, const HostId &owner, Incarnation incarnation, IngressStep &step);
    void startClaim(Call &call, absl::Time now, IngressStep &step);

    HostId m_self;
    Incarnation m_incarnation;
    IngressPolicy m_policy;
    RandomSource &m_random;
    std::shared_ptr<const RoutingTable> m_table;
    const OwnerLookup &m_owners;
    BackendPicker m_picker;
    OperationLedger m_ledger;
    TokenBucket m_claims;
    std::map<RankId, RetryBudget> m_budgets;
    std::map<CallId, Call> m_calls;
    std::map<AttemptId, Attempt> m_attempts;
    struct PendingClaim
    {
        CallId call;
        KeyClaim claim;
    };
    std::map<PlatformRequestId, PendingClaim> m_pendingClaims;
    std::uint64_t m_nextAttempt = 1;
    std::uint64_t m_nextRequest = 1;
    absl::Time m_nextExpiry = absl::InfinitePast();
};

} // namespace godwitlift
