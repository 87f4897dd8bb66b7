/// \file
/// Sinks through which answers reach the ingress of a serving runtime.
#pragma once

#include "ServingRuntime.h"

namespace godwitlift {

/// Passes an answer on to its call and remembers the first fault found in it.
class TrackedSink : public AnswerSink
{
public:
    TrackedSink(AttemptId attempt, std::shared_ptr<CallAnswer> answer)
        : m_attempt(attempt)
        , m_answer(std::move(answer))
    {}

    void head(AnswerHead head) override;
    void body(std::string_view part) override;
    bool wantsMore(std::function<void()> resume) override;

protected:
    /// Takes the end of the body; returns the first fault of the whole answer, or None.
    Reason judge(const AnswerEnd &end);
    AttemptId attempt() const { return m_attempt; }
    const CallAnswer &answer() const { return *m_answer; }

private:
    void note(Reason reason);

    AttemptId m_attempt;
    std::shared_ptr<CallAnswer> m_answer;
    Reason m_problem = Reason::None;
};

/// Takes the answer of one attempt and reports its end to the ingress.
class ServingRuntime::AttemptSink final : public TrackedSink
{
public:
    /// \p runtime must outlive the sink.
    AttemptSink(ServingRuntime &runtime, AttemptId attempt, std::shared_ptr<CallAnswer> answer,
                std::shared_ptr<std::atomic<bool>> cancelled)
        : TrackedSink(attempt, std::move(answer))
        , m_runtime(runtime)
        , m_cancelled(std::move(cancelled))
    {}

    void head(AnswerHead head) override;
    void end(const AnswerEnd &end) override;
    void refuse(const AnswerRefusal &refusal) override;
    bool isCancelled() const override { return *m_cancelled; }

private:
    AttemptReport newReport(const GateLoad &load) const;

    ServingRuntime &m_runtime;
    std::shared_ptr<std::atomic<bool>> m_cancelled;
};

/// Takes the answer of a call that the owner of its key works on.
class ServingRuntime::RelaySink final : public TrackedSink
{
public:
    /// \p runtime must outlive the sink.
    RelaySink(ServingRuntime &runtime, CallId call, AttemptId attempt,
              std::shared_ptr<CallAnswer> answer)
        : TrackedSink(attempt, std::move(answer))
        , m_runtime(runtime)
        , m_call(call)
    {}

    void end(const AnswerEnd &end) override;
    void refuse(const AnswerRefusal &refusal) override;
    bool isCancelled() const override { return false; }

private:
    void finish(Verdict verdict, Reason reason);

    ServingRuntime &m_runtime;
    CallId m_call;
};

} // namespace godwitlift
