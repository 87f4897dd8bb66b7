/// \file
/// Gates' side of serving: requests from peers to the backend servers of this host.
#include "ServingRuntime.h"

#include <absl/time/clock.h>

namespace godwitlift {

void ServingRuntime::arriveAtGate(ForwardedCall call, std::shared_ptr<AnswerSink> sink)
{
    const absl::Time now = absl::Now();
    HostGateActions step;
    {
        const absl::MutexLock lock(&m_mutex);
        const AttemptId ticket(m_nextTicket++);
        const ForwardedRequest arrival{ ticket, call.backendServer, call.rank, call.caller,
                                        now + call.timeout };
        m_tickets[ticket] = { std::make_shared<ForwardedCall>(std::move(call)), std::move(sink),
                              arrival.deadline, false };
        step = m_gates.submit(arrival, now);
    }
    carryOut(step);
}

void ServingRuntime::carryOut(const HostGateActions &step)
{
    for (const GateRefusal &refusal : step.refusals)
        refuseAtGate(refusal);
    for (const AdmittedRequest &start : step.starts)
        startAtGate(start);
}

void ServingRuntime::refuseAtGate(const GateRefusal &refusal)
{
    GateTicket ticket;
    AnswerRefusal answer;
    {
        const absl::MutexLock lock(&m_mutex);
        const auto it = m_tickets.find(refusal.attempt);
        if (it == m_tickets.end())
            return;
        ticket = std::move(it->second);
        m_tickets.erase(it);
        answer.load = m_gates.load(ticket.call->backendServer, absl::Now());
    }
    m_metrics.recordGateRefusal(refusal.reason);
    answer.attempt = ticket.call->attempt;
    answer.verdict = Verdict::NotRun;
    answer.reason = refusal.reason;
    answer.retryAfter = refusal.retryAfter;
    ticket.sink->refuse(answer);
}

void ServingRuntime::startAtGate(const AdmittedRequest &start)
{
    BackendJob job;
    {
        const absl::MutexLock lock(&m_mutex);
        const auto it = m_tickets.find(start.localAttempt);
        if (it == m_tickets.end())
            return;
        it->second.isRunning = true;
        job.call = *it->second.call;
        job.sink = it->second.sink;
        job.deadline = it->second.deadline;
    }
    job.address = start.address;
    job.ended = [this, ticket = start.localAttempt](RunOutcome end, Reason reason,
                                                    std::uint64_t received) {
        gateEnded(ticket, end, reason, received);
    };
    m_backends.run(std::move(job));
}

void ServingRuntime::gateEnded(AttemptId ticket, RunOutcome end, Reason reason,
                               std::uint64_t received)
{
    GateTicket ended;
    GateLoad load;
    HostGateActions step;
    {
        const absl::MutexLock lock(&m_mutex);
        const auto it = m_tickets.find(ticket);
        if (it == m_tickets.end())
            return;
        ended = std::move(it->second);
        m_tickets.erase(it);
        step = m_gates.onRunEnded(ticket, end, absl::Now());
        load = m_gates.load(ended.call->backendServer, absl::Now());
    }
    if (end == RunOutcome::Answered) {
        ended.sink->end({ received, load });
    } else {
        AnswerRefusal refusal;
        refusal.attempt = ended.call->attempt;
        refusal.verdict = end == RunOutcome::Failed ? Verdict::MayHaveRun : Verdict::NotRun;
        refusal.reason = reason;
        refusal.load = load;
        m_metrics.recordGateRefusal(reason);
        ended.sink->refuse(refusal);
    }
    carryOut(step);
}

void ServingRuntime::cancelAbandonedTickets()
{
    const absl::MutexLock lock(&m_mutex);
    for (auto it = m_tickets.begin(); it != m_tickets.end();) {
        const bool isAbandoned = !it->second.isRunning && it->second.sink->isCancelled();
        if (isAbandoned && m_gates.cancel(it->first))
            it = m_tickets.erase(it);
        else
            ++it;
    }
}

} // namespace godwitlift
