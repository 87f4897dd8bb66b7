/// \file
/// ServingRuntime, ingress side: calls, attempts and answers.
#include "ServingRuntime.h"

#include "ServingSinks.h"

#include "godwitlift/base/Hashing.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace godwitlift {

namespace {

constexpr std::int64_t MaxTimeoutMs = 3'600'000;

std::uint64_t fingerprintOf(const HttpRequest &request)
{
    return hashOf(request.body, hashOf(request.target, hashOf(request.method)));
}

std::optional<absl::Duration> timeoutOf(const HttpRequest &request)
{
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(request.header("Godwitlift-Timeout-Ms"), &milliseconds))
        return std::nullopt;
    return absl::Milliseconds(std::clamp<std::int64_t>(milliseconds, 0, MaxTimeoutMs));
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
                               RandomSource &random, const MemberLookup &memberLookup,
                               PeerClient &peers, PlatformWorkers &platform,
                               BackendClient &backends, Metrics &metrics)
    : m_identity(identity)
    , m_peers(peers)
    , m_platform(platform)
    , m_backends(backends)
    , m_metrics(metrics)
    , m_ingress(identity.host, identity.incarnation, policy, memberLookup, random)
{}

void ServingRuntime::setRoutingTable(const CompiledTable &compiled)
{
    HostGateActions actions;
    std::size_t slots = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        if (compiled.generation <= m_tableGeneration)
            return;
        m_tableGeneration = compiled.generation;
        m_ingress.setRoutingTable(compiled.table);
        actions = m_gates.updateServers(compiled.ownBackendServers, *compiled.table, absl::Now());
    }
    for (const BackendServer &server : compiled.ownBackendServers)
        slots += server.slots;
    m_backends.ensureWorkers(slots);
    execute(actions);
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
    call.answer = std::make_shared<CallAnswer>(createHttpAnswerWriter(exchange));
    const CallId id = startCall(std::move(head), std::move(call));
    exchange->setDisconnectHandler([this, id] { onCallerDisconnected(id); });
}

void ServingRuntime::onForwardedCall(ForwardedCall call, std::shared_ptr<AnswerSink> sink)
{
    if (!call.isRelay) {
        submitToGate(std::move(call), std::move(sink));
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
    active.answer = std::make_shared<CallAnswer>(createRelayAnswerWriter(std::move(sink)));
    active.request = std::move(call);
    active.request.isRelay = false;
    startCall(std::move(head), std::move(active));
}

CallId ServingRuntime::startCall(CallHead head, ActiveCall call)
{
    call.arrivalTime = absl::Now();
    if (!m_ready || m_draining) {
        const Reason reason = m_draining ? Reason::Draining : Reason::NoConfiguration;
        // An earlier call with the same key may have run, which is not known here.
        const Verdict verdict = head.key.isEmpty() ? Verdict::NotRun : Verdict::MayHaveRun;
        const CallRefusal refusal{ {}, verdict, reason, absl::Seconds(1), {} };
        m_metrics.recordCall("", verdict, reason);
        call.answer->refuse(refusal);
        return {};
    }
    IngressActions actions;
    {
        const absl::MutexLock lock(&m_mutex);
        head.call = CallId(m_nextCallId++);
        m_calls[head.call] = std::make_shared<ActiveCall>(std::move(call));
        actions = m_ingress.onCall(head, absl::Now());
    }
    execute(std::move(actions));
    return head.call;
}

void ServingRuntime::onCallerDisconnected(CallId call)
{
    IngressActions actions;
    {
        const absl::MutexLock lock(&m_mutex);
        actions = m_ingress.cancel(call, absl::Now());
    }
    execute(std::move(actions));
}

std::shared_ptr<ServingRuntime::ActiveCall> ServingRuntime::findCall(CallId call) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_calls.find(call);
    return it == m_calls.end() ? nullptr : it->second;
}

std::shared_ptr<ServingRuntime::ActiveCall> ServingRuntime::removeCall(CallId call)
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
        return nullptr;
    std::shared_ptr<ActiveCall> active = std::move(it->second);
    m_calls.erase(it);
    return active;
}

void ServingRuntime::execute(IngressActions actions)
{
    for (const Reason reason : actions.retries)
        m_metrics.recordRetry(reason);
    for (const AttemptId attempt : actions.cancellations)
        cancelAttempt(attempt, false);
    for (const CallRefusal &refusal : actions.refusals)
        refuse(refusal);
    for (const ReplayAction &action : actions.replays)
        replay(action);
    for (const CallId call : actions.completions)
        complete(call);
    for (PlatformRequest &request : actions.platformRequests) {
        m_platform.submit(std::move(request), [this](const PlatformAnswer &answer) {
            m_metrics.recordPlatformRequest(name(answer.outcome));
            IngressActions nextActions;
            {
                const absl::MutexLock lock(&m_mutex);
                nextActions = m_ingress.onPlatformAnswer(answer, absl::Now());
            }
            execute(std::move(nextActions));
        });
    }
    for (const RelayAction &action : actions.relays)
        relay(action);
    for (const ForwardAction &action : actions.forwards)
        forward(action);
}

void ServingRuntime::forward(const ForwardAction &action)
{
    const std::shared_ptr<ActiveCall> active = findCall(action.call);
    if (active == nullptr)
        return;
    const absl::Time now = absl::Now();
    active->rank = action.rank.value();
    active->answer->beginAttempt(action.attempt, action.stallTimeout, now);
    ForwardedCall call = active->request;
    call.attempt = action.attempt;
    call.backendServer = action.target.server;
    call.rank = action.rank;
    call.timeout = action.deadline - now;
    call.stallTimeout = action.stallTimeout;
    call.retriesLeft = action.retriesLeft;
    // Set if this node owns the idempotency key of the call.
    call.runsAtMostOnce = action.needsAnswerBody;
    auto cancelled = std::make_shared<std::atomic<bool>>(false);
    auto sink = std::make_shared<AttemptSink>(*this, action.attempt, active->answer, cancelled);
    const bool isLocal = action.target.host == m_identity.host;
    {
        const absl::MutexLock lock(&m_mutex);
        m_attempts[action.attempt] = { action.call, active->answer,
                                       isLocal ? Address() : action.target.nodeAddress, nullptr,
                                       cancelled };
    }
    if (isLocal) {
        submitToGate(std::move(call), std::move(sink));
        return;
    }
    auto handle = m_peers.forward(action.target.nodeAddress, std::move(call), std::move(sink));
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_attempts.find(action.attempt);
    if (it != m_attempts.end())
        it->second.handle = std::move(handle);
}

void ServingRuntime::relay(const RelayAction &action)
{
    const std::shared_ptr<ActiveCall> active = findCall(action.call);
    if (active == nullptr)
        return;
    const absl::Time now = absl::Now();
    // A relayed call has no attempt on this node; the call id identifies its answer instead.
    const AttemptId attempt(action.call.value());
    active->answer->beginAttempt(attempt, action.deadline - now, now);
    ForwardedCall call = active->request;
    call.attempt = attempt;
    call.isRelay = true;
    call.timeout = action.deadline - now;
    m_peers.forward(action.address, std::move(call),
                    std::make_shared<RelaySink>(*this, action.call, attempt, active->answer));
}

void ServingRuntime::refuse(const CallRefusal &refusal)
{
    const std::shared_ptr<ActiveCall> active = removeCall(refusal.call);
    if (active == nullptr)
        return;
    m_metrics.recordCall(refusal.rank.value(), refusal.verdict, refusal.reason);
    active->answer->refuse(refusal);
}

void ServingRuntime::replay(const ReplayAction &action)
{
    const std::shared_ptr<ActiveCall> active = removeCall(action.call);
    if (active == nullptr)
        return;
    m_metrics.recordCall(active->rank, Verdict::Ran, Reason::None);
    active->answer->replay(action.answer);
}

void ServingRuntime::complete(CallId call)
{
    const std::shared_ptr<ActiveCall> active = removeCall(call);
    if (active == nullptr)
        return;
    m_metrics.recordCall(active->rank, Verdict::Ran, Reason::None);
    m_metrics.recordCallLatency(active->rank, absl::Now() - active->arrivalTime);
    active->answer->complete();
}

void ServingRuntime::cancelAttempt(AttemptId attempt, bool isPeerUnresponsive)
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
    if (isPeerUnresponsive && !active.address.isEmpty()) {
        m_peers.replaceConnection(active.address);
        m_metrics.recordConnectionReplacement();
    }
}

void ServingRuntime::onAttemptEnded(const AttemptReport &report)
{
    IngressActions actions;
    {
        const absl::MutexLock lock(&m_mutex);
        m_attempts.erase(report.attempt);
        actions = m_ingress.onAttemptEnded(report, absl::Now());
    }
    execute(std::move(actions));
}

IdempotencyKey ServingRuntime::issueKey()
{
    const absl::MutexLock lock(&m_mutex);
    return m_ingress.issueKey();
}

void ServingRuntime::tick()
{
    cancelAbandonedGateAttempts();
    cancelStalledAttempts();
    IngressActions actions;
    HostGateActions gateActions;
    {
        const absl::MutexLock lock(&m_mutex);
        actions = m_ingress.tick(absl::Now());
        gateActions = m_gates.tick(absl::Now());
    }
    // An attempt whose answer has not begun some time after its deadline indicates a broken
    // connection to the peer.
    for (const AttemptId attempt : actions.cancellations)
        cancelAttempt(attempt, true);
    actions.cancellations.clear();
    execute(gateActions);
    execute(std::move(actions));
}

void ServingRuntime::cancelStalledAttempts()
{
    const absl::Time now = absl::Now();
    std::vector<AttemptId> stalled;
    {
        const absl::MutexLock lock(&m_mutex);
        for (const auto &[id, attempt] : m_attempts) {
            // Stalls of a backend server are detected at its gate; this detects an unresponsive
            // peer.
            if (!attempt.address.isEmpty()
                && attempt.answer->checkProgress(id, now) != Reason::None)
                stalled.push_back(id);
        }
    }
    for (const AttemptId attempt : stalled) {
        cancelAttempt(attempt, true);
        AttemptReport report;
        report.attempt = attempt;
        report.reason = Reason::AnswerStalled;
        report.isAnswerStarted = true;
        onAttemptEnded(report);
    }
}

void ServingRuntime::drain()
{
    m_draining = true;
    HostGateActions actions;
    {
        const absl::MutexLock lock(&m_mutex);
        actions = m_gates.drainAll(absl::Now());
    }
    execute(actions);
}

std::size_t ServingRuntime::activeRequestCount() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_calls.size() + m_gateAttempts.size();
}

} // namespace godwitlift
