/// \file
/// Calls from arrival to end.
#include "godwitlift/serving/Ingress.h"

#include <algorithm>

namespace godwitlift {

namespace {

constexpr absl::Duration ExpiryPeriod = absl::Seconds(10);
/// Time past the deadline after which an attempt without any answer counts as lost.
constexpr absl::Duration LostGrace = absl::Milliseconds(100);

bool isLoadRefusal(Reason reason)
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

AttemptQuality qualityOf(const AttemptReport &report)
{
    if (report.verdict == Verdict::Ran)
        return AttemptQuality::Good;
    return isLoadRefusal(report.reason) ? AttemptQuality::Busy : AttemptQuality::Bad;
}

} // namespace

Ingress::Ingress(HostId self, Incarnation incarnation, IngressPolicy policy,
                 const OwnerLookup &owners, RandomSource &random)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_policy(policy)
    , m_random(random)
    , m_owners(owners)
    , m_picker(random)
    , m_ledger(m_self, incarnation, random.next(), policy.ledger)
    , m_claims(policy.claimsPerSecond, policy.claimBurst)
{}

void Ingress::refuseEarly(const CallHead &head, Reason reason, absl::Duration retryAfter,
                          IngressStep &step)
{
    step.refusals.push_back({ head.call, Verdict::NotRun, reason, retryAfter, {} });
}

IngressStep Ingress::arrive(const CallHead &head, absl::Time now)
{
    IngressStep step;
    if (m_table == nullptr || m_table->version() == Version()) {
        refuseEarly(head, Reason::NoConfiguration, m_policy.refusalPause, step);
        return step;
    }
    const ResolvedRoute *route = m_table->route(head.path);
    if (route == nullptr) {
        refuseEarly(head, Reason::NoRoute, absl::ZeroDuration(), step);
        return step;
    }
    if (m_calls.size() >= m_policy.callLimit) {
        refuseEarly(head, Reason::Overloaded, m_policy.refusalPause, step);
        return step;
    }
    if (head.bodyBytes > route->route.requestLimitBytes) {
        refuseEarly(head, Reason::TooLarge, absl::ZeroDuration(), step);
        return step;
    }
    Call &call = m_calls[head.call];
    call.head = head;
    call.table = m_table;
    call.route = route;
    call.arrived = now;
    call.deadline =
            now + std::min(route->route.deadline, head.timeout.value_or(route->route.deadline));
    m_budgets[route->rank.id].firstAttempt(route->rank.retryRatio);
    if (route->route.repeatability == Repeatability::AtMostOnce)
        resolveKey(call, now, step);
    else
        forward(call, now, step);
    return step;
}

void Ingress::resolveKey(Call &call, absl::Time now, IngressStep &step)
{
    if (call.head.key.isEmpty()) {
        refuse(call, Verdict::NotRun, Reason::KeyMissing, absl::ZeroDuration(), step);
        return;
    }
    const auto issued = IssuedKey::parse(call.head.key);
    if (!issued && m_ledger.knows(call.head.key)) {
        onKeyState(call, m_ledger.beginClaimed(call.head.key, call.head.fingerprint, now, now), now,
                   step);
        return;
    }
    if (!issued) {
        startClaim(call, now, step);
        return;
    }
    if (issued->owner == m_self)
        onKeyState(call, m_ledger.beginIssued(*issued, call.head.fingerprint, now), now, step);
    else
        relayToOwner(call, issued->owner, issued->incarnation, step);
}

void Ingress::startClaim(Call &call, absl::Time now, IngressStep &step)
{
    if (!m_claims.tryTake(now)) {
        // Whether an earlier call used the key is not known here, so "not run" cannot be proved.
        refuse(call, Verdict::MayHaveRun, Reason::PlatformUnavailable, m_claims.waitFor(), step);
        return;
    }
    KeyClaim claim(call.head.key, { m_self, m_incarnation, now },
                   std::min(call.deadline, now + m_policy.claimTimeout));
    const PlatformRequestId id(m_nextRequest++);
    step.platformRequests.push_back({ id, claim.begin() });
    m_pendingClaims.emplace(id, PendingClaim{ call.head.call, std::move(claim) });
}

IngressStep Ingress::platformAnswered(const PlatformAnswer &answer, absl::Time now)
{
    IngressStep step;
    const auto it = m_pendingClaims.find(answer.id);
    if (it == m_pendingClaims.end())
        return step;
    PendingClaim pending = std::move(it->second);
    m_pendingClaims.erase(it);
    const auto found = m_calls.find(pending.call);
    if (found == m_calls.end())
        return step; // The caller is gone or was refused; an owned key stays free to run.
    Call &call = found->second;
    if (auto next = pending.claim.advance(answer, now)) {
        const PlatformRequestId id(m_nextRequest++);
        step.platformRequests.push_back({ id, std::move(*next) });
        m_pendingClaims.emplace(id, std::move(pending));
        return step;
    }
    const auto *owner = std::get_if<KeyOwner>(&*pending.claim.end());
    if (owner == nullptr) {
        refuse(call, Verdict::MayHaveRun, Reason::PlatformUnavailable, m_policy.refusalPause, step);
        return step;
    }
    if (owner->host == m_self && owner->incarnation == m_incarnation)
        onKeyState(call,
                   m_ledger.beginClaimed(call.head.key, call.head.fingerprint, owner->claimed, now),
                   now, step);
    else
        relayToOwner(call, owner->host, owner->incarnation, step);
    return step;
}

void Ingress::relayToOwner(Call &call, const HostId &owner, Incarnation incarnation,
                           IngressStep &step)
{
    const auto known = owner == m_self ? std::nullopt : m_owners.find(owner);
    if (!known || known->incarnation != incarnation) {
        // The owner's process is gone, and what it knew of the key with it.
        refuse(call, Verdict::MayHaveRun, Reason::KeyOutcomeUnknown, absl::ZeroDuration(), step);
        return;
    }
    if (call.head.isRelayed) {
        refuse(call, Verdict::MayHaveRun, Reason::KeyOwnerUnreachable, m_policy.refusalPause, step);
        return;
    }
    step.relays.push_back({ call.head.call, owner, known->address, call.deadline });
}

void Ingress::onKeyState(Call &call, KeyState state, absl::Time now, IngressStep &step)
{
    switch (state) {
    case KeyState::MayRun:
        call.ownsKey = true;
        forward(call, now, step);
        return;
    case KeyState::InProgress:
        refuse(call, Verdict::MayHaveRun, Reason::KeyInProgress, m_policy.refusalPause, step);
        return;
    case KeyState::Known:
        if (!m_ledger.answer(call.head.key)->isComplete) {
            refuse(call, Verdict::Ran, Reason::AnswerNotKept, absl::ZeroDuration(), step);
            return;
        }
        step.replays.push_back({ call.head.call, *m_ledger.answer(call.head.key) });
        end(call.head.call);
        return;
    case KeyState::Unknown:
        refuse(call, Verdict::MayHaveRun, Reason::KeyOutcomeUnknown, absl::ZeroDuration(), step);
        return;
    case KeyState::OtherRequest:
        refuse(call, Verdict::NotRun, Reason::KeyReused, absl::ZeroDuration(), step);
        return;
    case KeyState::NoSpace:
        refuse(call, Verdict::NotRun, Reason::Overloaded, m_policy.refusalPause, step);
        return;
    }
}

void Ingress::forward(Call &call, absl::Time now, IngressStep &step)
{
    const Target *target = m_picker.pick(*call.route->targets, call.tried, now);
    if (target == nullptr) {
        refuse(call, call.worst, Reason::NoBackendServer, m_policy.refusalPause, step);
        return;
    }
    const TargetKey key{ target->host, target->server };
    const AttemptId attempt(m_nextAttempt++);
    call.attempt = attempt;
    call.isAnswering = false;
    ++call.attempts;
    call.tried.insert(key);
    m_attempts[attempt] = { call.head.call, key };
    m_picker.sent(key);
    ForwardOrder order;
    order.call = call.head.call;
    order.attempt = attempt;
    order.target = *target;
    order.route = call.route->route.id;
    order.rank = call.route->rank.id;
    order.caller = call.head.caller;
    order.deadline = call.deadline;
    order.stallTimeout = call.route->route.stallTimeout;
    order.retriesLeft = call.head.retriesLeft;
    order.keepsAnswer = call.ownsKey;
    step.forwards.push_back(std::move(order));
}

bool Ingress::mayRetry(Call &call, const AttemptReport &report, absl::Time now, Reason &spent)
{
    const bool repeatable = call.route->route.repeatability == Repeatability::Repeatable;
    if (report.answerStarted || report.reason == Reason::Cancelled
        || report.reason == Reason::DeadlineExpired || now >= call.deadline)
        return false;
    if (report.verdict == Verdict::MayHaveRun && !repeatable)
        return false;
    if (call.attempts >= m_policy.attemptLimit)
        return false;
    if (call.head.retriesLeft == 0 || !m_budgets[call.route->rank.id].tryRetry()) {
        spent = Reason::RetryBudgetSpent;
        return false;
    }
    --call.head.retriesLeft;
    return true;
}

IngressStep Ingress::attemptEnded(const AttemptReport &report, absl::Time now)
{
    IngressStep step;
    const auto attempt = m_attempts.find(report.attempt);
    if (attempt == m_attempts.end())
        return step; // Late or doubled: the call has ended or moved on.
    const CallId id = attempt->second.call;
    m_picker.ended(attempt->second.target, qualityOf(report), report.load, now);
    m_attempts.erase(attempt);
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return step;
    Call &call = found->second;
    if (call.attempt != report.attempt)
        return step;
    call.attempt = AttemptId();
    if (call.isDetached) {
        settle(call, report);
        return step;
    }
    if (report.verdict == Verdict::Ran) {
        if (call.ownsKey)
            m_ledger.finish(call.head.key, Verdict::Ran, report.answer);
        step.completions.push_back(id);
        end(id);
        return step;
    }
    call.worst = std::max(call.worst, report.verdict);
    Reason reason = report.reason;
    if (mayRetry(call, report, now, reason)) {
        step.retries.push_back(report.reason);
        forward(call, now, step);
        return step;
    }
    refuse(call, call.worst, reason, std::max(report.retryAfter, absl::ZeroDuration()), step);
    return step;
}

IngressStep Ingress::relayEnded(CallId id, Verdict verdict, Reason reason, absl::Time)
{
    IngressStep step;
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return step;
    if (verdict == Verdict::Ran) {
        step.completions.push_back(id);
        end(id);
        return step;
    }
    refuse(it->second, verdict, reason, m_policy.refusalPause, step);
    return step;
}

void Ingress::refuse(const Call &call, Verdict verdict, Reason reason, absl::Duration retryAfter,
                     IngressStep &step)
{
    if (call.ownsKey)
        m_ledger.finish(call.head.key, verdict, {});
    step.refusals.push_back({ call.head.call, verdict, reason, retryAfter, call.route->rank.id });
    end(call.head.call);
}

void Ingress::settle(const Call &call, const AttemptReport &report)
{
    m_ledger.finish(call.head.key, std::max(call.worst, report.verdict), report.answer);
    end(call.head.call);
}

void Ingress::answerStarted(AttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    const auto call = m_calls.find(it->second.call);
    if (call != m_calls.end() && call->second.attempt == attempt)
        call->second.isAnswering = true;
}

void Ingress::end(CallId call)
{
    m_calls.erase(call);
}

IngressStep Ingress::cancel(CallId id, absl::Time)
{
    IngressStep step;
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return step;
    Call &call = it->second;
    if (call.isDetached)
        return step;
    if (call.ownsKey && call.attempt != AttemptId()) {
        call.isDetached = true;
        step.refusals.push_back({ id, Verdict::MayHaveRun, Reason::Cancelled, absl::ZeroDuration(),
                                  call.route->rank.id });
        return step;
    }
    if (call.attempt != AttemptId())
        step.cancellations.push_back(call.attempt);
    const Verdict verdict = call.attempt == AttemptId() ? call.worst : Verdict::MayHaveRun;
    refuse(call, verdict, Reason::Cancelled, absl::ZeroDuration(), step);
    return step;
}

IngressStep Ingress::tick(absl::Time now)
{
    IngressStep step;
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + ExpiryPeriod;
        m_picker.expire(now);
        m_ledger.expire(now);
    }
    std::vector<CallId> waiting;
    std::vector<AttemptId> lost;
    for (const auto &[id, call] : m_calls) {
        if (call.attempt == AttemptId() && now >= call.deadline)
            waiting.push_back(id);
        else if (!call.isAnswering && now >= call.deadline + LostGrace)
            lost.push_back(call.attempt);
    }
    for (const CallId id : waiting)
        refuse(m_calls.at(id), Verdict::MayHaveRun, Reason::DeadlineExpired, absl::ZeroDuration(),
               step);
    for (const AttemptId attempt : lost) {
        step.cancellations.push_back(attempt);
        AttemptReport report;
        report.attempt = attempt;
        report.reason = Reason::AnswerLost;
        const IngressStep ended = attemptEnded(report, now);
        step.refusals.insert(step.refusals.end(), ended.refusals.begin(), ended.refusals.end());
    }
    return step;
}

} // namespace godwitlift
