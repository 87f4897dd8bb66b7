/// \file
/// Validating answers and reporting their outcomes.
#include "ServingSinks.h"

#include <absl/time/clock.h>

namespace godwitlift {

void ValidatingSink::recordFault(Reason reason)
{
    if (m_firstFault == Reason::None)
        m_firstFault = reason;
}

void ValidatingSink::onHead(AnswerHead head)
{
    recordFault(m_answer->onHead(m_attempt, std::move(head), absl::Now()));
}

void ValidatingSink::onBody(std::string_view part)
{
    recordFault(m_answer->onBody(m_attempt, part, absl::Now()));
}

bool ValidatingSink::isReadyForMore(std::function<void()> resume)
{
    return m_answer->isReadyForMore(m_attempt, std::move(resume));
}

Reason ValidatingSink::validateEnd(const AnswerEnd &end)
{
    recordFault(m_answer->onEnd(m_attempt, end.receivedBytes, absl::Now()));
    return m_firstFault;
}

void ServingRuntime::AttemptSink::onHead(AnswerHead head)
{
    ValidatingSink::onHead(std::move(head));
    const absl::MutexLock lock(&m_runtime.m_mutex);
    m_runtime.m_ingress.onAnswerStarted(attempt());
}

void ServingRuntime::AttemptSink::onEnd(const AnswerEnd &end)
{
    const Reason fault = validateEnd(end);
    AttemptReport report = makeReport(end.load);
    report.verdict = fault == Reason::None ? Verdict::Ran : Verdict::MayHaveRun;
    report.reason = fault;
    if (fault == Reason::None)
        report.answer = answer().toStoredAnswer();
    m_runtime.onAttemptEnded(report);
}

void ServingRuntime::AttemptSink::onRefusal(const AnswerRefusal &refusal)
{
    AttemptReport report = makeReport(refusal.load);
    report.verdict = refusal.verdict;
    report.reason = refusal.reason;
    report.retryAfter = refusal.retryAfter;
    m_runtime.onAttemptEnded(report);
}

AttemptReport ServingRuntime::AttemptSink::makeReport(const GateLoad &load) const
{
    AttemptReport report;
    report.attempt = attempt();
    report.load = load;
    report.isAnswerStarted = answer().isCurrent(attempt()) && answer().isStarted();
    return report;
}

void ServingRuntime::RelaySink::onEnd(const AnswerEnd &end)
{
    const Reason fault = validateEnd(end);
    reportEnd(fault == Reason::None ? Verdict::Ran : Verdict::MayHaveRun, fault);
}

void ServingRuntime::RelaySink::onRefusal(const AnswerRefusal &refusal)
{
    const bool isOwnerUnreachable = refusal.reason == Reason::ConnectFailed;
    // The owner may have run an earlier call with the same key, so NotRun cannot be guaranteed.
    reportEnd(isOwnerUnreachable ? Verdict::MayHaveRun : refusal.verdict,
              isOwnerUnreachable ? Reason::KeyOwnerUnreachable : refusal.reason);
}

void ServingRuntime::RelaySink::reportEnd(Verdict verdict, Reason reason)
{
    IngressActions actions;
    {
        const absl::MutexLock lock(&m_runtime.m_mutex);
        actions = m_runtime.m_ingress.onRelayEnded(m_call, verdict, reason, absl::Now());
    }
    m_runtime.execute(std::move(actions));
}

} // namespace godwitlift
