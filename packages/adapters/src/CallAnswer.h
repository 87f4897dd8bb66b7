/// \file
/// The answer to one call, taken from its successive attempts.
#pragma once

#include "godwitlift/adapters/AnswerSink.h"
#include "godwitlift/adapters/HttpServer.h"
#include "godwitlift/serving/Ingress.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <memory>

namespace godwitlift {

/// Sends the answer of a call to the HTTP caller, or to the node that relayed the call.
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;
    virtual void writeHead(const AnswerHead &head) = 0;
    virtual void writeBody(std::string_view part) = 0;
    virtual void finish(std::uint64_t bodyBytes) = 0;
    /// Aborts an answer whose head has been written.
    virtual void abort() = 0;
    virtual void refuse(const CallRefusal &refusal) = 0;
    /// Backpressure, as in AnswerSink.
    virtual bool isReadyForMore(std::function<void()> resume) = 0;
};

std::unique_ptr<AnswerWriter> createHttpAnswerWriter(std::shared_ptr<HttpExchange> exchange);
std::unique_ptr<AnswerWriter> createRelayAnswerWriter(std::shared_ptr<AnswerSink> sink);

/// Buffers the start of an answer. An answer that fits into the buffer is sent only when it is
/// complete, so that a failed attempt can be retried without the caller noticing. Thread-safe; the
/// mutex is held while the writer is called.
///
/// Invariant: data of an attempt is accepted only while the attempt is the current one, so that
/// late and mismatched answers are dropped.
class CallAnswer final
{
public:
    /// Larger answers are streamed to the caller before they are complete.
    static constexpr std::size_t MaxBufferedBytes = 64U << 10U;

    explicit CallAnswer(std::unique_ptr<AnswerWriter> writer);

    /// Makes \p attempt the current one and discards the data of earlier attempts.
    void beginAttempt(AttemptId attempt, absl::Duration stallTimeout, absl::Time now);
    /// onHead(), onBody() and onEnd() return a reason other than None if the attempt has failed.
    Reason onHead(AttemptId attempt, AnswerHead head, absl::Time now);
    Reason onBody(AttemptId attempt, std::string_view part, absl::Time now);
    Reason onEnd(AttemptId attempt, std::uint64_t bodyBytes, absl::Time now);
    bool isReadyForMore(AttemptId attempt, std::function<void()> resume);
    /// Returns AnswerStalled if the answer has begun and makes no progress, unless it is paused
    /// because the caller reads too slowly.
    Reason checkProgress(AttemptId attempt, absl::Time now);
    bool isCurrent(AttemptId attempt) const;
    /// Whether the head, and possibly part of the body, has been sent to the caller.
    bool isStarted() const;
    /// Whether the head of the current attempt has been received.
    bool hasHead() const;

    /// The answer of the current attempt in the form that the idempotency ledger stores; without
    /// the body if streaming has begun.
    StoredAnswer toStoredAnswer() const;
    /// Sends what is still buffered and ends the answer.
    void complete();
    /// Sends the refusal, or aborts the answer if part of it has been sent. With the reason
    /// Cancelled, the caller has disconnected and later output is discarded.
    void refuse(const CallRefusal &refusal);
    void replay(const StoredAnswer &answer);

private:
    bool isCurrentLocked(AttemptId attempt) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// Writes the head and the buffered part of the body.
    void startAnswer() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    std::unique_ptr<AnswerWriter> m_writer ABSL_GUARDED_BY(m_mutex);
    AttemptId m_currentAttempt ABSL_GUARDED_BY(m_mutex);
    std::optional<AnswerTracker> m_tracker ABSL_GUARDED_BY(m_mutex);
    std::optional<AnswerHead> m_head ABSL_GUARDED_BY(m_mutex);
    std::string m_buffer ABSL_GUARDED_BY(m_mutex);
    bool m_started ABSL_GUARDED_BY(m_mutex) = false;
    bool m_ended ABSL_GUARDED_BY(m_mutex) = false;
    /// True while the caller accepts no more data. Shared with the resume callback, which resets
    /// it.
    std::shared_ptr<std::atomic<bool>> m_paused ABSL_GUARDED_BY(m_mutex);
};

} // namespace godwitlift
