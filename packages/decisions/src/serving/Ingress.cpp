/// \file
/// Call handling from arrival to end.
#include "godwitlift/serving/Ingress.h"

#include <algorithm>

namespace godwitlift {

namespace {

constexpr absl::Duration ExpiryPeriod = absl::Seconds(10);
/// Time after the deadline at which an attempt without an answer counts as lost.
constexpr absl::Duration LostAnswerGrace = absl::Milliseconds(100);

bool isLoadRefusalOrCancellation(Reason reason)
{
    switch (reason) {
    case Reason::QueueFull:
    case Reason::QueueShare:
    case Reason::Displaced:
    case Reason::DeadlineUnmeetable:
    case Reason::DeadlineExpired:
    case Reason::Cancelled:
        return true;
    default:
        return false;
    }
}

AttemptResult resultOf(const AttemptReport &report)
{
    if (report.verdict == Verdict::Ran)
        return AttemptResult::Success;
    return isLoadRefusalOrCancellation(report.reason) ? AttemptResult::Overloaded
                                                      : AttemptResult::Failure;
}

} // namespace

Ingress::Ingress(HostId self, Incarnation incarnation, IngressPolicy policy,
                 const MemberLookup &memberLookup, RandomSource &random)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_policy(policy)
    , m_random(random)
    , m_memberLookup(memberLookup)
    , m_picker(random)
    , m_ledger(m_self, incarnation, random.next(), policy.ledger)
    , m_claimRateLimit(policy.claimsPerSecond, policy.claimBurst)
{}

void Ingress::refuseOnArrival(const CallHead &head, Reason reason, absl::Duration retryAfter,
                              IngressActions &actions)
{
    actions.refusals.push_back({ head.call, Verdict::NotRun, reason, retryAfter, {} });
}

IngressActions Ingress::onCall(const CallHead &head, absl::Time now)
{
    IngressActions actions;
    if (m_routingTable == nullptr || m_routingTable->version() == Version()) {
        refuseOnArrival(head, Reason::NoConfiguration, m_policy.defaultRetryAfter, actions);
        return actions;
    }
    const ResolvedRoute *route = m_routingTable->route(head.path);
    if (route == nullptr) {
        refuseOnArrival(head, Reason::NoRoute, absl::ZeroDuration(), actions);
        return actions;
    }
    if (m_calls.size() >= m_policy.callLimit) {
        refuseOnArrival(head, Reason::Overloaded, m_policy.defaultRetryAfter, actions);
        return actions;
    }
    if (head.bodyBytes > route->route.requestLimitBytes) {
        refuseOnArrival(head, Reason::TooLarge, absl::ZeroDuration(), actions);
        return actions;
    }
    Call &call = m_calls[head.call];
    call.head = head;
    call.table = m_routingTable;
    call.route = route;
    call.arrivalTime = now;
    call.deadline =
            now + std::min(route->route.deadline, head.timeout.value_or(route->route.deadline));
    m_retryBudgets[route->rank.id].onFirstAttempt(route->rank.retryRatio);
    if (route->route.repeatability == Repeatability::AtMostOnce)
        resolveKey(call, now, actions);
    else
        forward(call, now, actions);
    return actions;
}

void Ingress::resolveKey(Call &call, absl::Time now, IngressActions &actions)
{
    if (call.head.key.isEmpty()) {
        refuse(call, Verdict::NotRun, Reason::KeyMissing, absl::ZeroDuration(), actions);
        return;
    }
    const auto issued = IssuedKey::parse(call.head.key);
    if (!issued && m_ledger.contains(call.head.key)) {
        onKeyState(call, m_ledger.beginClaimed(call.head.key, call.head.fingerprint, now, now), now,
                   actions);
        return;
    }
    if (!issued) {
        startKeyClaim(call, now, actions);
        return;
    }
    if (issued->owner == m_self)
        onKeyState(call, m_ledger.beginIssued(*issued, call.head.fingerprint, now), now, actions);
    else
        relayToOwner(call, issued->owner, issued->incarnation, actions);
}

void Ingress::startKeyClaim(Call &call, absl::Time now, IngressActions &actions)
{
    if (!m_claimRateLimit.tryConsume(now)) {
        // An earlier call may have run with the key, so NotRun cannot be proved.
        refuse(call, Verdict::MayHaveRun, Reason::PlatformUnavailable,
               m_claimRateLimit.timeUntilAvailable(), actions);
        return;
    }
    KeyClaim claim(call.head.key, { m_self, m_incarnation, now },
                   std::min(call.deadline, now + m_policy.claimTimeout));
    const PlatformRequestId id(m_nextPlatformRequestId++);
    actions.platformRequests.push_back({ id, claim.start() });
    m_pendingClaims.emplace(id, PendingClaim{ call.head.call, std::move(claim) });
}

IngressActions Ingress::onPlatformAnswer(const PlatformAnswer &answer, absl::Time now)
{
    IngressActions actions;
    const auto it = m_pendingClaims.find(answer.id);
    if (it == m_pendingClaims.end())
        return actions;
    PendingClaim pending = std::move(it->second);
    m_pendingClaims.erase(it);
    const auto found = m_calls.find(pending.call);
    if (found == m_calls.end())
        return actions; // The call has ended meanwhile; a later call with its key can still run.
    Call &call = found->second;
    if (auto next = pending.claim.onPlatformAnswer(answer, now)) {
        const PlatformRequestId id(m_nextPlatformRequestId++);
        actions.platformRequests.push_back({ id, std::move(*next) });
        m_pendingClaims.emplace(id, std::move(pending));
        return actions;
    }
    const auto *owner = std::get_if<KeyOwner>(&*pending.claim.result());
    if (owner == nullptr) {
        refuse(call, Verdict::MayHaveRun, Reason::PlatformUnavailable, m_policy.defaultRetryAfter,
               actions);
        return actions;
    }
    if (owner->host == m_self && owner->incarnation == m_incarnation)
        onKeyState(
                call,
                m_ledger.beginClaimed(call.head.key, call.head.fingerprint, owner->claimTime, now),
                now, actions);
    else
        relayToOwner(call, owner->host, owner->incarnation, actions);
    return actions;
}

void Ingress::relayToOwner(Call &call, const HostId &owner, Incarnation incarnation,
                           IngressActions &actions)
{
    const auto member = owner == m_self ? std::nullopt : m_memberLookup.find(owner);
    if (!member || member->incarnation != incarnation) {
        // The owner's process has ended or is assumed to have ended, and the key's state is lost.
        refuse(call, Verdict::MayHaveRun, Reason::KeyOutcomeUnknown, absl::ZeroDuration(), actions);
        return;
    }
    if (call.head.isRelayed) {
        refuse(call, Verdict::MayHaveRun, Reason::KeyOwnerUnreachable, m_policy.defaultRetryAfter,
               actions);
        return;
    }
    actions.relays.push_back({ call.head.call, owner, member->address, call.deadline });
}

void Ingress::onKeyState(Call &call, KeyState state, absl::Time now, IngressActions &actions)
{
    switch (state) {
    case KeyState::MayRun:
        call.ownsKey = true;
        forward(call, now, actions);
        return;
    case KeyState::InProgress:
        refuse(call, Verdict::MayHaveRun, Reason::KeyInProgress, m_policy.defaultRetryAfter,
               actions);
        return;
    case KeyState::Completed:
        if (!m_ledger.answer(call.head.key)->isComplete) {
            refuse(call, Verdict::Ran, Reason::AnswerNotKept, absl::ZeroDuration(), actions);
            return;
        }
        actions.replays.push_back({ call.head.call, *m_ledger.answer(call.head.key) });
        endCall(call.head.call);
        return;
    case KeyState::OutcomeUnknown:
        refuse(call, Verdict::MayHaveRun, Reason::KeyOutcomeUnknown, absl::ZeroDuration(), actions);
        return;
    case KeyState::RequestMismatch:
        refuse(call, Verdict::NotRun, Reason::KeyReused, absl::ZeroDuration(), actions);
        return;
    case KeyState::LedgerFull:
        refuse(call, Verdict::NotRun, Reason::Overloaded, m_policy.defaultRetryAfter, actions);
        return;
    }
}

void Ingress::forward(Call &call, absl::Time now, IngressActions &actions)
{
    const Target *target = m_picker.pick(*call.route->targets, call.triedTargets, now);
    if (target == nullptr) {
        refuse(call, call.worstVerdict, Reason::NoBackendServer, m_policy.defaultRetryAfter,
               actions);
        return;
    }
    const TargetKey key{ target->host, target->server };
    const AttemptId attempt(m_nextAttemptId++);
    call.currentAttempt = attempt;
    call.isAnswerStarted = false;
    ++call.attemptCount;
    call.triedTargets.insert(key);
    m_attempts[attempt] = { call.head.call, key };
    m_picker.onAttemptSent(key);
    ForwardAction action;
    action.call = call.head.call;
    action.attempt = attempt;
    action.target = *target;
    action.route = call.route->route.id;
    action.rank = call.route->rank.id;
    action.caller = call.head.caller;
    action.deadline = call.deadline;
    action.stallTimeout = call.route->route.stallTimeout;
    action.retriesLeft = call.head.retriesLeft;
    action.needsAnswerBody = call.ownsKey;
    actions.forwards.push_back(std::move(action));
}

bool Ingress::trySpendRetry(Call &call, const AttemptReport &report, absl::Time now,
                            Reason &refusalReason)
{
    const bool repeatable = call.route->route.repeatability == Repeatability::Repeatable;
    if (report.isAnswerStarted || report.reason == Reason::Cancelled
        || report.reason == Reason::DeadlineExpired || now >= call.deadline)
        return false;
    if (report.verdict == Verdict::MayHaveRun && !repeatable)
        return false;
    if (call.attemptCount >= m_policy.attemptLimit)
        return false;
    if (call.head.retriesLeft == 0 || !m_retryBudgets[call.route->rank.id].trySpend()) {
        refusalReason = Reason::RetryBudgetSpent;
        return false;
    }
    --call.head.retriesLeft;
    return true;
}

IngressActions Ingress::onAttemptEnded(const AttemptReport &report, absl::Time now)
{
    IngressActions actions;
    const auto attempt = m_attempts.find(report.attempt);
    if (attempt == m_attempts.end())
        return actions; // Late or duplicate report: the attempt has already ended.
    const CallId id = attempt->second.call;
    m_picker.onAttemptEnded(attempt->second.target, resultOf(report), report.load, now);
    m_attempts.erase(attempt);
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return actions;
    Call &call = found->second;
    if (call.currentAttempt != report.attempt)
        return actions;
    call.currentAttempt = AttemptId();
    if (call.isDetached) {
        finishDetached(call, report);
        return actions;
    }
    if (report.verdict == Verdict::Ran) {
        if (call.ownsKey)
            m_ledger.finish(call.head.key, Verdict::Ran, report.answer);
        actions.completions.push_back(id);
        endCall(id);
        return actions;
    }
    call.worstVerdict = std::max(call.worstVerdict, report.verdict);
    Reason reason = report.reason;
    if (trySpendRetry(call, report, now, reason)) {
        actions.retries.push_back(report.reason);
        forward(call, now, actions);
        return actions;
    }
    refuse(call, call.worstVerdict, reason, std::max(report.retryAfter, absl::ZeroDuration()),
           actions);
    return actions;
}

IngressActions Ingress::onRelayEnded(CallId id, Verdict verdict, Reason reason, absl::Time)
{
    IngressActions actions;
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return actions;
    if (verdict == Verdict::Ran) {
        actions.completions.push_back(id);
        endCall(id);
        return actions;
    }
    refuse(it->second, verdict, reason, m_policy.defaultRetryAfter, actions);
    return actions;
}

void Ingress::refuse(const Call &call, Verdict verdict, Reason reason, absl::Duration retryAfter,
                     IngressActions &actions)
{
    if (call.ownsKey)
        m_ledger.finish(call.head.key, verdict, {});
    actions.refusals.push_back(
            { call.head.call, verdict, reason, retryAfter, call.route->rank.id });
    endCall(call.head.call);
}

void Ingress::finishDetached(const Call &call, const AttemptReport &report)
{
    m_ledger.finish(call.head.key, std::max(call.worstVerdict, report.verdict), report.answer);
    endCall(call.head.call);
}

void Ingress::onAnswerStarted(AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    const auto call = m_calls.find(it->second.call);
    if (call != m_calls.end() && call->second.currentAttempt == attempt)
        call->second.isAnswerStarted = true;
}

void Ingress::endCall(CallId call)
{
    m_calls.erase(call);
}

IngressActions Ingress::cancel(CallId id, absl::Time)
{
    IngressActions actions;
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return actions;
    Call &call = it->second;
    if (call.isDetached)
        return actions;
    if (call.ownsKey && call.currentAttempt != AttemptId()) {
        call.isDetached = true;
        actions.refusals.push_back({ id, Verdict::MayHaveRun, Reason::Cancelled,
                                     absl::ZeroDuration(), call.route->rank.id });
        return actions;
    }
    if (call.currentAttempt != AttemptId())
        actions.cancellations.push_back(call.currentAttempt);
    const Verdict verdict =
            call.currentAttempt == AttemptId() ? call.worstVerdict : Verdict::MayHaveRun;
    refuse(call, verdict, Reason::Cancelled, absl::ZeroDuration(), actions);
    return actions;
}

IngressActions Ingress::tick(absl::Time now)
{
    IngressActions actions;
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + ExpiryPeriod;
        m_picker.expire(now);
        m_ledger.expire(now);
    }
    std::vector<CallId> expiredCalls;
    std::vector<AttemptId> lostAttempts;
    for (const auto &[id, call] : m_calls) {
        if (call.currentAttempt == AttemptId() && now >= call.deadline)
            expiredCalls.push_back(id);
        else if (!call.isAnswerStarted && now >= call.deadline + LostAnswerGrace)
            lostAttempts.push_back(call.currentAttempt);
    }
    for (const CallId id : expiredCalls)
        refuse(m_calls.at(id), Verdict::MayHaveRun, Reason::DeadlineExpired, absl::ZeroDuration(),
               actions);
    for (const AttemptId attempt : lostAttempts) {
        actions.cancellations.push_back(attempt);
        AttemptReport report;
        report.attempt = attempt;
        report.reason = Reason::AnswerLost;
        const IngressActions attemptActions = onAttemptEnded(report, now);
        actions.refusals.insert(actions.refusals.end(), attemptActions.refusals.begin(),
                                attemptActions.refusals.end());
    }
    return actions;
}

} // namespace godwitlift
