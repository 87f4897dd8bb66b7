/// \file
/// Judging answers and reporting their ends.
#include "ServingSinks.h"

#include <absl/time/clock.h>

namespace godwitlift {

void TrackedSink::note(Reason reason)
{
    if (m_problem == Reason::None)
        m_problem = reason;
}

void TrackedSink::head(AnswerHead head)
{
    note(m_answer->head(m_attempt, std::move(head), absl::Now()));
}

void TrackedSink::body(std::string_view part)
{
    note(m_answer->body(m_attempt, part, absl::Now()));
}

bool TrackedSink::wantsMore(std::function<void()> resume)
{
    return m_answer->wantsMore(m_attempt, std::move(resume));
}

Reason TrackedSink::judge(const AnswerEnd &end)
{
    note(m_answer->end(m_attempt, end.received, absl::Now()));
    return m_problem;
}

void ServingRuntime::AttemptSink::head(AnswerHead head)
{
    TrackedSink::head(std::move(head));
    const absl::MutexLock lock(&m_runtime.m_mutex);
    m_runtime.m_ingress.onAnswerStarted(attempt());
}

void ServingRuntime::AttemptSink::end(const AnswerEnd &end)
{
    const Reason problem = judge(end);
    AttemptReport report = newReport(end.load);
    report.verdict = problem == Reason::None ? Verdict::Ran : Verdict::MayHaveRun;
    report.reason = problem;
    if (problem == Reason::None)
        report.answer = answer().stored();
    m_runtime.attemptEnded(report);
}

void ServingRuntime::AttemptSink::refuse(const AnswerRefusal &refusal)
{
    AttemptReport report = newReport(refusal.load);
    report.verdict = refusal.verdict;
    report.reason = refusal.reason;
    report.retryAfter = refusal.retryAfter;
    m_runtime.attemptEnded(report);
}

AttemptReport ServingRuntime::AttemptSink::newReport(const GateLoad &load) const
{
    AttemptReport report;
    report.attempt = attempt();
    report.load = load;
    report.isAnswerStarted = answer().isCurrent(attempt()) && answer().isStarted();
    return report;
}

void ServingRuntime::RelaySink::end(const AnswerEnd &end)
{
    const Reason problem = judge(end);
    finish(problem == Reason::None ? Verdict::Ran : Verdict::MayHaveRun, problem);
}

void ServingRuntime::RelaySink::refuse(const AnswerRefusal &refusal)
{
    const bool unreachable = refusal.reason == Reason::ConnectFailed;
    // The owner may have run an earlier call under the key, so "not run" cannot be proved.
    finish(unreachable ? Verdict::MayHaveRun : refusal.verdict,
           unreachable ? Reason::KeyOwnerUnreachable : refusal.reason);
}

void ServingRuntime::RelaySink::finish(Verdict verdict, Reason reason)
{
    IngressActions step;
    {
        const absl::MutexLock lock(&m_runtime.m_mutex);
        step = m_runtime.m_ingress.onRelayEnded(m_call, verdict, reason, absl::Now());
    }
    m_runtime.carryOut(std::move(step));
}

} // namespace godwitlift
