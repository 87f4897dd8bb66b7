/// \file
/// Sinks that pass answers to the ingress of a serving runtime.
#pragma once

#include "ServingRuntime.h"

namespace godwitlift {

/// Passes an answer on to its call and records the first fault found in it.
class ValidatingSink : public AnswerSink
{
public:
    ValidatingSink(AttemptId attempt, std::shared_ptr<CallAnswer> answer)
        : m_attempt(attempt)
        , m_answer(std::move(answer))
    {}

    void onHead(AnswerHead head) override;
    void onBody(std::string_view part) override;
    bool isReadyForMore(std::function<void()> resume) override;

protected:
    /// Checks the end of the body. Returns the first fault of the whole answer, or None.
    Reason validateEnd(const AnswerEnd &end);
    AttemptId attempt() const { return m_attempt; }
    const CallAnswer &answer() const { return *m_answer; }

private:
    void recordFault(Reason reason);

    AttemptId m_attempt;
    std::shared_ptr<CallAnswer> m_answer;
    Reason m_firstFault = Reason::None;
};

/// Receives the answer of one attempt and reports its outcome to the ingress.
class ServingRuntime::AttemptSink final : public ValidatingSink
{
public:
    /// \p runtime must outlive the sink.
    AttemptSink(ServingRuntime &runtime, AttemptId attempt, std::shared_ptr<CallAnswer> answer,
                std::shared_ptr<std::atomic<bool>> cancelled)
        : ValidatingSink(attempt, std::move(answer))
        , m_runtime(runtime)
        , m_cancelled(std::move(cancelled))
    {}

    void onHead(AnswerHead head) override;
    void onEnd(const AnswerEnd &end) override;
    void onRefusal(const AnswerRefusal &refusal) override;
    bool isCancelled() const override { return *m_cancelled; }

private:
    AttemptReport makeReport(const GateLoad &load) const;

    ServingRuntime &m_runtime;
    std::shared_ptr<std::atomic<bool>> m_cancelled;
};

/// Receives the answer of a call that was relayed to the owner of its key.
class ServingRuntime::RelaySink final : public ValidatingSink
{
public:
    /// \p runtime must outlive the sink.
    RelaySink(ServingRuntime &runtime, CallId call, AttemptId attempt,
              std::shared_ptr<CallAnswer> answer)
        : ValidatingSink(attempt, std::move(answer))
        , m_runtime(runtime)
        , m_call(call)
    {}

    void onEnd(const AnswerEnd &end) override;
    void onRefusal(const AnswerRefusal &refusal) override;
    bool isCancelled() const override { return false; }

private:
    void reportEnd(Verdict verdict, Reason reason);

    ServingRuntime &m_runtime;
    CallId m_call;
};

} // namespace godwitlift
