/// \file
/// ServingRuntime, gate side: forwarded requests to the backend servers on this host.
#include "ServingRuntime.h"

#include <absl/time/clock.h>

namespace godwitlift {

void ServingRuntime::submitToGate(ForwardedCall call, std::shared_ptr<AnswerSink> sink)
{
    const absl::Time now = absl::Now();
    HostGateActions actions;
    {
        const absl::MutexLock lock(&m_mutex);
        const AttemptId localAttempt(m_nextLocalAttempt++);
        const ForwardedRequest request{ localAttempt, call.backendServer, call.rank, call.caller,
                                        now + call.timeout };
        m_gateAttempts[localAttempt] = { std::make_shared<ForwardedCall>(std::move(call)),
                                         std::move(sink), request.deadline, false };
        actions = m_gates.submit(request, now);
    }
    execute(actions);
}

void ServingRuntime::execute(const HostGateActions &actions)
{
    for (const GateRefusal &refusal : actions.refusals)
        onGateRefusal(refusal);
    for (const AdmittedRequest &admitted : actions.starts)
        sendToBackend(admitted);
}

void ServingRuntime::onGateRefusal(const GateRefusal &refusal)
{
    GateAttempt attempt;
    AnswerRefusal answer;
    {
        const absl::MutexLock lock(&m_mutex);
        const auto it = m_gateAttempts.find(refusal.attempt);
        if (it == m_gateAttempts.end())
            return;
        attempt = std::move(it->second);
        m_gateAttempts.erase(it);
        answer.load = m_gates.load(attempt.call->backendServer, absl::Now());
    }
    m_metrics.recordGateRefusal(refusal.reason);
    answer.attempt = attempt.call->attempt;
    answer.verdict = Verdict::NotRun;
    answer.reason = refusal.reason;
    answer.retryAfter = refusal.retryAfter;
    attempt.sink->onRefusal(answer);
}

void ServingRuntime::sendToBackend(const AdmittedRequest &admitted)
{
    BackendRequest request;
    {
        const absl::MutexLock lock(&m_mutex);
        const auto it = m_gateAttempts.find(admitted.localAttempt);
        if (it == m_gateAttempts.end())
            return;
        it->second.isRunning = true;
        request.call = *it->second.call;
        request.sink = it->second.sink;
        request.deadline = it->second.deadline;
    }
    request.address = admitted.address;
    request.onEnded = [this, localAttempt = admitted.localAttempt](
                              RunOutcome outcome, Reason reason, std::uint64_t receivedBytes) {
        onBackendRequestEnded(localAttempt, outcome, reason, receivedBytes);
    };
    m_backends.submit(std::move(request));
}

void ServingRuntime::onBackendRequestEnded(AttemptId localAttempt, RunOutcome outcome,
                                           Reason reason, std::uint64_t receivedBytes)
{
    GateAttempt attempt;
    GateLoad load;
    HostGateActions actions;
    {
        const absl::MutexLock lock(&m_mutex);
        const auto it = m_gateAttempts.find(localAttempt);
        if (it == m_gateAttempts.end())
            return;
        attempt = std::move(it->second);
        m_gateAttempts.erase(it);
        actions = m_gates.onRunEnded(localAttempt, outcome, absl::Now());
        load = m_gates.load(attempt.call->backendServer, absl::Now());
    }
    if (outcome == RunOutcome::Answered) {
        attempt.sink->onEnd({ receivedBytes, load });
    } else {
        AnswerRefusal refusal;
        refusal.attempt = attempt.call->attempt;
        refusal.verdict = outcome == RunOutcome::Failed ? Verdict::MayHaveRun : Verdict::NotRun;
        refusal.reason = reason;
        refusal.load = load;
        m_metrics.recordGateRefusal(reason);
        attempt.sink->onRefusal(refusal);
    }
    execute(actions);
}

void ServingRuntime::cancelAbandonedGateAttempts()
{
    const absl::MutexLock lock(&m_mutex);
    for (auto it = m_gateAttempts.begin(); it != m_gateAttempts.end();) {
        const bool isAbandoned = !it->second.isRunning && it->second.sink->isCancelled();
        if (isAbandoned && m_gates.cancel(it->first))
            it = m_gateAttempts.erase(it);
        else
            ++it;
    }
}

} // namespace godwitlift
