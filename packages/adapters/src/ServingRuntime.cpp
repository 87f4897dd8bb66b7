/// \file
/// Callers' side of serving: calls, attempts and answers.
#include "ServingRuntime.h"

#include "ServingSinks.h"

#include "godwitlift/base/Hashing.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace godwitlift {

namespace {

constexpr std::int64_t TimeoutCeilingMs = 3'600'000;

std::uint64_t fingerprintOf(const HttpRequest &request)
{
    return hashOf(request.body, hashOf(request.target, hashOf(request.method)));
}

std::optional<absl::Duration> timeoutOf(const HttpRequest &request)
{
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(request.header("Godwitlift-Timeout-Ms"), &milliseconds))
        return std::nullopt;
    return absl::Milliseconds(std::clamp<std::int64_t>(milliseconds, 0, TimeoutCeilingMs));
}

std::uint32_t retriesLeftOf(const HttpRequest &request)
{
    std::uint32_t left = ChainRetryLimit;
    if (!absl::SimpleAtoi(request.header("Godwitlift-Retries-Left"), &left))
        return ChainRetryLimit;
    return std::min(left, ChainRetryLimit);
}

} // namespace

ServingRuntime::ServingRuntime(const NodeIdentity &identity, IngressPolicy policy,
                               RandomSource &random, const MemberLookup &owners, PeerClient &peers,
                               PlatformWorkers &platform, BackendClient &backends, Metrics &metrics)
    : m_identity(identity)
    , m_peers(peers)
    , m_platform(platform)
    , m_backends(backends)
    , m_metrics(metrics)
    , m_ingress(identity.host, identity.incarnation, policy, owners, random)
{}

void ServingRuntime::setTable(const CompiledTable &compiled)
{
    HostGateActions step;
    std::size_t slots = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        if (compiled.generation <= m_tableSerial)
            return;
        m_tableSerial = compiled.generation;
        m_ingress.setRoutingTable(compiled.table);
        step = m_gates.updateServers(compiled.ownBackendServers, *compiled.table, absl::Now());
    }
    for (const BackendServer &server : compiled.ownBackendServers)
        slots += server.slots;
    m_backends.ensureWorkers(slots);
    carryOut(step);
}

void ServingRuntime::handle(std::shared_ptr<HttpExchange> exchange)
{
    const HttpRequest &request = exchange->request();
    CallHead head;
    head.path = request.path;
    const std::string caller = request.header("Godwitlift-Caller");
    head.caller = CallerId((caller.empty() ? request.clientAddress : caller).substr(0, 128));
    head.key = IdempotencyKey(request.header("Idempotency-Key"));
    head.fingerprint = fingerprintOf(request);
    head.bodyBytes = request.body.size();
    head.timeout = timeoutOf(request);
    head.retriesLeft = retriesLeftOf(request);

    ActiveCall call;
    call.request.caller = head.caller;
    call.request.method = request.method;
    call.request.target = request.target;
    call.request.headers = request.headers;
    call.request.body = request.body;
    call.request.key = head.key;
    call.answer = std::make_shared<CallAnswer>(createHttpPort(exchange));
    const CallId id = begin(std::move(head), std::move(call));
    exchange->onClosed([this, id] { callerGone(id); });
}

void ServingRuntime::callArrived(ForwardedCall call, std::shared_ptr<AnswerSink> sink)
{
    if (!call.isRelay) {
        arriveAtGate(std::move(call), std::move(sink));
        return;
    }
    CallHead head;
    head.path = call.target.substr(0, call.target.find('?'));
    head.caller = call.caller;
    head.key = call.key;
    head.fingerprint = hashOf(call.body, hashOf(call.target, hashOf(call.method)));
    head.bodyBytes = call.body.size();
    head.timeout = call.timeout;
    head.retriesLeft = call.retriesLeft;
    head.isRelayed = true;
    ActiveCall active;
    active.answer = std::make_shared<CallAnswer>(createRelayPort(std::move(sink)));
    active.request = std::move(call);
    active.request.isRelay = false;
    begin(std::move(head), std::move(active));
}

CallId ServingRuntime::begin(CallHead head, ActiveCall call)
{
    call.arrived = absl::Now();
    if (!m_ready || m_draining) {
        const Reason reason = m_draining ? Reason::Draining : Reason::NoConfiguration;
        // Under a key an earlier call may have run, which is not known here.
        const Verdict verdict = head.key.isEmpty() ? Verdict::NotRun : Verdict::MayHaveRun;
        const CallRefusal refusal{ {}, verdict, reason, absl::Seconds(1), {} };
        m_metrics.recordCall("", verdict, reason);
        call.answer->refuse(refusal);
        return {};
    }
    IngressActions step;
    {
        const absl::MutexLock lock(&m_mutex);
        head.call = CallId(m_nextCall++);
        m_calls[head.call] = std::make_shared<ActiveCall>(std::move(call));
        step = m_ingress.onCall(head, absl::Now());
    }
    carryOut(std::move(step));
    return head.call;
}

void ServingRuntime::callerGone(CallId call)
{
    IngressActions step;
    {
        const absl::MutexLock lock(&m_mutex);
        step = m_ingress.cancel(call, absl::Now());
    }
    carryOut(std::move(step));
}

std::shared_ptr<ServingRuntime::ActiveCall> ServingRuntime::activeCall(CallId call) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_calls.find(call);
    return it == m_calls.end() ? nullptr : it->second;
}

std::shared_ptr<ServingRuntime::ActiveCall> ServingRuntime::takeCall(CallId call)
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
        return nullptr;
    std::shared_ptr<ActiveCall> active = std::move(it->second);
    m_calls.erase(it);
    return active;
}

void ServingRuntime::carryOut(IngressActions step)
{
    for (const Reason reason : step.retries)
        m_metrics.recordRetry(reason);
    for (const AttemptId attempt : step.cancellations)
        cancelAttempt(attempt, false);
    for (const CallRefusal &refusal : step.refusals)
        refuse(refusal);
    for (const ReplayAction &order : step.replays)
        replay(order);
    for (const CallId call : step.completions)
        complete(call);
    for (PlatformRequest &request : step.platformRequests) {
        m_platform.submit(std::move(request), [this](const PlatformAnswer &answer) {
            m_metrics.recordPlatformRequest(name(answer.outcome));
            IngressActions next;
            {
                const absl::MutexLock lock(&m_mutex);
                next = m_ingress.onPlatformAnswer(answer, absl::Now());
            }
            carryOut(std::move(next));
        });
    }
    for (const RelayAction &order : step.relays)
        relay(order);
    for (const ForwardAction &order : step.forwards)
        forward(order);
}

void ServingRuntime::forward(const ForwardAction &order)
{
    const std::shared_ptr<ActiveCall> active = activeCall(order.call);
    if (active == nullptr)
        return;
    const absl::Time now = absl::Now();
    active->rank = order.rank.value();
    active->answer->expect(order.attempt, order.stallTimeout, now);
    ForwardedCall call = active->request;
    call.attempt = order.attempt;
    call.backendServer = order.target.server;
    call.rank = order.rank;
    call.timeout = order.deadline - now;
    call.stallTimeout = order.stallTimeout;
    call.retriesLeft = order.retriesLeft;
    call.runsAtMostOnce = order.needsAnswerBody;
    auto cancelled = std::make_shared<std::atomic<bool>>(false);
    auto sink = std::make_shared<AttemptSink>(*this, order.attempt, active->answer, cancelled);
    const bool isLocal = order.target.host == m_identity.host;
    {
        const absl::MutexLock lock(&m_mutex);
        m_attempts[order.attempt] = { order.call, active->answer,
                                      isLocal ? Address() : order.target.nodeAddress, nullptr,
                                      cancelled };
    }
    if (isLocal) {
        arriveAtGate(std::move(call), std::move(sink));
        return;
    }
    auto handle = m_peers.forward(order.target.nodeAddress, std::move(call), std::move(sink));
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_attempts.find(order.attempt);
    if (it != m_attempts.end())
        it->second.handle = std::move(handle);
}

void ServingRuntime::relay(const RelayAction &order)
{
    const std::shared_ptr<ActiveCall> active = activeCall(order.call);
    if (active == nullptr)
        return;
    const absl::Time now = absl::Now();
    const AttemptId attempt(order.call.value());
    active->answer->expect(attempt, order.deadline - now, now);
    ForwardedCall call = active->request;
    call.attempt = attempt;
    call.isRelay = true;
    call.timeout = order.deadline - now;
    m_peers.forward(order.address, std::move(call),
                    std::make_shared<RelaySink>(*this, order.call, attempt, active->answer));
}

void ServingRuntime::refuse(const CallRefusal &refusal)
{
    const std::shared_ptr<ActiveCall> active = takeCall(refusal.call);
    if (active == nullptr)
        return;
    m_metrics.recordCall(refusal.rank.value(), refusal.verdict, refusal.reason);
    active->answer->refuse(refusal);
}

void ServingRuntime::replay(const ReplayAction &order)
{
    const std::shared_ptr<ActiveCall> active = takeCall(order.call);
    if (active == nullptr)
        return;
    m_metrics.recordCall(active->rank, Verdict::Ran, Reason::None);
    active->answer->replay(order.answer);
}

void ServingRuntime::complete(CallId call)
{
    const std::shared_ptr<ActiveCall> active = takeCall(call);
    if (active == nullptr)
        return;
    m_metrics.recordCall(active->rank, Verdict::Ran, Reason::None);
    m_metrics.recordCallLatency(active->rank, absl::Now() - active->arrived);
    active->answer->complete();
}

void ServingRuntime::cancelAttempt(AttemptId attempt, bool isSilent)
{
    ActiveAttempt active;
    {
        const absl::MutexLock lock(&m_mutex);
        const auto it = m_attempts.find(attempt);
        if (it == m_attempts.end())
            return;
        active = it->second;
        m_attempts.erase(it);
    }
    *active.cancelled = true;
    if (active.handle != nullptr)
        active.handle->cancel();
    if (isSilent && !active.address.isEmpty()) {
        m_peers.replaceConnection(active.address);
        m_metrics.recordConnectionReplacement();
    }
}

void ServingRuntime::attemptEnded(const AttemptReport &report)
{
    IngressActions step;
    {
        const absl::MutexLock lock(&m_mutex);
        m_attempts.erase(report.attempt);
        step = m_ingress.onAttemptEnded(report, absl::Now());
    }
    carryOut(std::move(step));
}

IdempotencyKey ServingRuntime::issueKey()
{
    const absl::MutexLock lock(&m_mutex);
    return m_ingress.issueKey();
}

void ServingRuntime::tick()
{
    cancelAbandonedTickets();
    cancelStalledAttempts();
    IngressActions step;
    HostGateActions gates;
    {
        const absl::MutexLock lock(&m_mutex);
        step = m_ingress.tick(absl::Now());
        gates = m_gates.tick(absl::Now());
    }
    // An attempt without any answer past its deadline speaks against its connection.
    for (const AttemptId attempt : step.cancellations)
        cancelAttempt(attempt, true);
    step.cancellations.clear();
    carryOut(gates);
    carryOut(std::move(step));
}

void ServingRuntime::cancelStalledAttempts()
{
    const absl::Time now = absl::Now();
    std::vector<AttemptId> stalled;
    {
        const absl::MutexLock lock(&m_mutex);
        for (const auto &[id, attempt] : m_attempts) {
            // The gate judges stalls of its backend server; this finds a silent peer.
            if (!attempt.address.isEmpty() && attempt.answer->check(id, now) != Reason::None)
                stalled.push_back(id);
        }
    }
    for (const AttemptId attempt : stalled) {
        cancelAttempt(attempt, true);
        AttemptReport report;
        report.attempt = attempt;
        report.reason = Reason::AnswerStalled;
        report.isAnswerStarted = true;
        attemptEnded(report);
    }
}

void ServingRuntime::drain()
{
    m_draining = true;
    HostGateActions step;
    {
        const absl::MutexLock lock(&m_mutex);
        step = m_gates.drainAll(absl::Now());
    }
    carryOut(step);
}

std::size_t ServingRuntime::inProgress() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_calls.size() + m_tickets.size();
}

} // namespace godwitlift
