/// \file
/// The answer to one caller, put together from attempts.
#pragma once

#include "godwitlift/adapters/AnswerSink.h"
#include "godwitlift/adapters/HttpServer.h"
#include "godwitlift/serving/Ingress.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <memory>

namespace godwitlift {

/// Where the answer of a call goes: to an HTTP caller, or back to the node that relayed the call.
class CallerPort
{
public:
    virtual ~CallerPort() = default;
    virtual void start(const AnswerHead &head) = 0;
    virtual void write(std::string_view part) = 0;
    virtual void finish(std::uint64_t bytes) = 0;
    /// Breaks off an answer that was started.
    virtual void abort() = 0;
    virtual void refuse(const CallRefusal &refusal) = 0;
    virtual bool wantsMore(std::function<void()> resume) = 0;
};

std::unique_ptr<CallerPort> createHttpPort(std::shared_ptr<HttpExchange> exchange);
std::unique_ptr<CallerPort> createRelayPort(std::shared_ptr<AnswerSink> sink);

/// Buffers the beginning of an answer, so that a small one is passed on only when it is whole and a
/// failed attempt can be repeated unseen. Thread-safe; its lock is held while the port is called.
///
/// Invariant: parts of an attempt are taken only while it is the current one, so that late and
/// crossed answers are dropped.
class CallAnswer final
{
public:
    /// Bytes that are held back until the answer is whole.
    static constexpr std::size_t HoldLimitBytes = 64U << 10U;

    explicit CallAnswer(std::unique_ptr<CallerPort> port);

    /// Makes \p attempt the current one and forgets what an earlier one brought.
    void expect(AttemptId attempt, absl::Duration stallTimeout, absl::Time now);
    /// Each returns a reason other than None if the attempt must be given up.
    Reason head(AttemptId attempt, AnswerHead head, absl::Time now);
    Reason body(AttemptId attempt, std::string_view part, absl::Time now);
    Reason end(AttemptId attempt, std::uint64_t bytes, absl::Time now);
    bool wantsMore(AttemptId attempt, std::function<void()> resume);
    /// AnswerStalled if an answer that began makes no progress for which the caller is not to
    /// blame.
    Reason check(AttemptId attempt, absl::Time now);
    bool isCurrent(AttemptId attempt) const;
    /// Whether part of the answer has gone to the caller.
    bool isStarted() const;
    /// Whether the current attempt's head has come.
    bool hasHead() const;

    /// The current attempt's answer as the ledger keeps it.
    StoredAnswer stored() const;
    /// Passes on what is held back and ends the answer.
    void complete();
    void refuse(const CallRefusal &refusal);
    void replay(const StoredAnswer &answer);

private:
    bool isExpected(AttemptId attempt) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void startPort() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    std::unique_ptr<CallerPort> m_port ABSL_GUARDED_BY(m_mutex);
    AttemptId m_attempt ABSL_GUARDED_BY(m_mutex);
    std::optional<AnswerTracker> m_tracker ABSL_GUARDED_BY(m_mutex);
    std::optional<AnswerHead> m_head ABSL_GUARDED_BY(m_mutex);
    std::string m_held ABSL_GUARDED_BY(m_mutex);
    bool m_started ABSL_GUARDED_BY(m_mutex) = false;
    bool m_ended ABSL_GUARDED_BY(m_mutex) = false;
    /// Set while the caller takes no more; shared with the port, which resets it.
    std::shared_ptr<std::atomic<bool>> m_paused ABSL_GUARDED_BY(m_mutex);
};

} // namespace godwitlift
