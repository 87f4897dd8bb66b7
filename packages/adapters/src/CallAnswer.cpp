/// \file
/// Buffering, streaming and aborting answers.
#include "CallAnswer.h"

#include "godwitlift/base/FieldSyntax.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace godwitlift {

namespace {

std::vector<HttpHeader> verdictHeaders(Verdict verdict, Reason reason, absl::Duration retryAfter)
{
    std::vector<HttpHeader> headers{ { "Godwitlift-Verdict", std::string(name(verdict)) } };
    if (reason != Reason::None)
        headers.push_back({ "Godwitlift-Reason", std::string(name(reason)) });
    if (retryAfter > absl::ZeroDuration()) {
        const auto milliseconds = std::max<std::int64_t>(1, absl::ToInt64Milliseconds(retryAfter));
        headers.push_back({ "Godwitlift-Retry-After-Ms", absl::StrCat(milliseconds) });
        headers.push_back({ "Retry-After", absl::StrCat((milliseconds + 999) / 1000) });
    }
    return headers;
}

/// True for a head that cannot be read in another way once it is sent to the caller. It may come
/// from a peer of another version.
bool isForwardable(const AnswerHead &head)
{
    constexpr int MinFinalStatus = 200;
    constexpr int MaxStatus = 599;
    return head.status >= MinFinalStatus && head.status <= MaxStatus
           && std::all_of(head.headers.begin(), head.headers.end(), [](const HttpHeader &header) {
                  return isFieldName(header.name) && isFieldText(header.value);
              });
}

class HttpAnswerWriter final : public AnswerWriter
{
public:
    explicit HttpAnswerWriter(std::shared_ptr<HttpExchange> exchange)
        : m_exchange(std::move(exchange))
    {}

    void writeHead(const AnswerHead &head) override
    {
        std::vector<HttpHeader> headers = head.headers;
        headers.push_back({ "Godwitlift-Verdict", "ran" });
        m_exchange->beginAnswer(head.status, std::move(headers), head.contentLength);
    }
    void writeBody(std::string_view part) override { m_exchange->writeBody(part); }
    void finish(std::uint64_t) override { m_exchange->endAnswer(); }
    void abort() override { m_exchange->abortAnswer(); }
    void refuse(const CallRefusal &refusal) override
    {
        auto headers = verdictHeaders(refusal.verdict, refusal.reason, refusal.retryAfter);
        headers.push_back({ "Content-Type", "application/json" });
        m_exchange->respond(httpStatus(refusal.verdict, refusal.reason), std::move(headers),
                            absl::StrCat("{\"verdict\":\"", std::string(name(refusal.verdict)),
                                         "\",\"reason\":\"", std::string(name(refusal.reason)),
                                         "\"}\n"));
    }
    bool isReadyForMore(std::function<void()> resume) override
    {
        return m_exchange->isReadyForMore(std::move(resume));
    }

private:
    std::shared_ptr<HttpExchange> m_exchange;
};

class RelayAnswerWriter final : public AnswerWriter
{
public:
    explicit RelayAnswerWriter(std::shared_ptr<AnswerSink> sink)
        : m_sink(std::move(sink))
    {}

    void writeHead(const AnswerHead &head) override { m_sink->onHead(head); }
    void writeBody(std::string_view part) override
    {
        m_sink->onBody(part);
        m_sink->flush();
    }
    void finish(std::uint64_t bodyBytes) override
    {
        AnswerEnd end;
        end.receivedBytes = bodyBytes;
        m_sink->onEnd(end);
    }
    void abort() override
    {
        AnswerRefusal refusal;
        refusal.reason = Reason::AnswerTruncated;
        m_sink->onRefusal(refusal);
    }
    void refuse(const CallRefusal &refusal) override
    {
        AnswerRefusal answer;
        answer.verdict = refusal.verdict;
        answer.reason = refusal.reason;
        answer.retryAfter = refusal.retryAfter;
        m_sink->onRefusal(answer);
    }
    bool isReadyForMore(std::function<void()> resume) override
    {
        return m_sink->isReadyForMore(std::move(resume));
    }

private:
    std::shared_ptr<AnswerSink> m_sink;
};

/// Replaces the writer of a caller that has disconnected.
class DiscardingAnswerWriter final : public AnswerWriter
{
public:
    void writeHead(const AnswerHead &) override {}
    void writeBody(std::string_view) override {}
    void finish(std::uint64_t) override {}
    void abort() override {}
    void refuse(const CallRefusal &) override {}
    bool isReadyForMore(std::function<void()>) override { return true; }
};

} // namespace

std::unique_ptr<AnswerWriter> createHttpAnswerWriter(std::shared_ptr<HttpExchange> exchange)
{
    return std::make_unique<HttpAnswerWriter>(std::move(exchange));
}

std::unique_ptr<AnswerWriter> createRelayAnswerWriter(std::shared_ptr<AnswerSink> sink)
{
    return std::make_unique<RelayAnswerWriter>(std::move(sink));
}

CallAnswer::CallAnswer(std::unique_ptr<AnswerWriter> writer)
    : m_writer(std::move(writer))
{}

void CallAnswer::beginAttempt(AttemptId attempt, absl::Duration stallTimeout, absl::Time now)
{
    const absl::MutexLock lock(&m_mutex);
    m_currentAttempt = attempt;
    m_tracker.emplace(attempt, stallTimeout, now);
    m_head.reset();
    m_buffer.clear();
    m_paused = std::make_shared<std::atomic<bool>>(false);
}

bool CallAnswer::isCurrentLocked(AttemptId attempt) const
{
    return !m_ended && m_currentAttempt == attempt && m_tracker.has_value();
}

Reason CallAnswer::onHead(AttemptId attempt, AnswerHead head, absl::Time now)
{
    const absl::MutexLock lock(&m_mutex);
    if (!isCurrentLocked(attempt) || !isForwardable(head))
        return Reason::AnswerMismatched;
    const Reason reason = m_tracker->onHead(head.attempt, head.contentLength, now);
    if (reason == Reason::None)
        m_head = std::move(head);
    return reason;
}

void CallAnswer::startAnswer()
{
    m_started = true;
    m_writer->writeHead(*m_head);
    m_writer->writeBody(m_buffer);
}

Reason CallAnswer::onBody(AttemptId attempt, std::string_view part, absl::Time now)
{
    const absl::MutexLock lock(&m_mutex);
    if (!isCurrentLocked(attempt))
        return Reason::AnswerMismatched;
    const Reason reason = m_tracker->onBody(part.size(), now);
    if (reason != Reason::None)
        return reason;
    if (m_started) {
        m_writer->writeBody(part);
        return Reason::None;
    }
    m_buffer.append(part);
    if (m_buffer.size() > MaxBufferedBytes)
        startAnswer();
    return Reason::None;
}

Reason CallAnswer::onEnd(AttemptId attempt, std::uint64_t bodyBytes, absl::Time now)
{
    const absl::MutexLock lock(&m_mutex);
    if (!isCurrentLocked(attempt))
        return Reason::AnswerMismatched;
    if (bodyBytes != m_tracker->receivedBytes())
        return Reason::AnswerTruncated;
    return m_tracker->onEnd(now);
}

bool CallAnswer::isReadyForMore(AttemptId attempt, std::function<void()> resume)
{
    const absl::MutexLock lock(&m_mutex);
    if (!isCurrentLocked(attempt) || !m_started)
        return true;
    *m_paused = true;
    const bool isReady = m_writer->isReadyForMore([paused = m_paused, resume = std::move(resume)] {
        *paused = false;
        resume();
    });
    if (isReady)
        *m_paused = false;
    return isReady;
}

Reason CallAnswer::checkProgress(AttemptId attempt, absl::Time now)
{
    const absl::MutexLock lock(&m_mutex);
    if (!isCurrentLocked(attempt) || !m_head || *m_paused)
        return Reason::None;
    return m_tracker->checkProgress(now);
}

bool CallAnswer::isCurrent(AttemptId attempt) const
{
    const absl::MutexLock lock(&m_mutex);
    return isCurrentLocked(attempt);
}

bool CallAnswer::isStarted() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_started;
}

bool CallAnswer::hasHead() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_head.has_value();
}

StoredAnswer CallAnswer::toStoredAnswer() const
{
    const absl::MutexLock lock(&m_mutex);
    StoredAnswer answer;
    if (!m_head)
        return answer;
    answer.status = m_head->status;
    answer.isComplete = !m_started;
    if (!m_started)
        answer.body = m_buffer;
    for (const HttpHeader &header : m_head->headers) {
        if (header.name == "Content-Type" || header.name == "content-type")
            answer.contentType = header.value;
    }
    return answer;
}

void CallAnswer::complete()
{
    const absl::MutexLock lock(&m_mutex);
    if (m_ended || !m_head)
        return;
    m_ended = true;
    if (!m_started) {
        m_head->contentLength = m_buffer.size();
        startAnswer();
    }
    m_writer->finish(m_tracker->receivedBytes());
}

void CallAnswer::refuse(const CallRefusal &refusal)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_ended)
        return;
    if (refusal.reason == Reason::Cancelled) {
        // The caller has disconnected, but the idempotency ledger may still need the answer.
        m_writer = std::make_unique<DiscardingAnswerWriter>();
        return;
    }
    m_ended = true;
    if (m_started)
        m_writer->abort();
    else
        m_writer->refuse(refusal);
}

void CallAnswer::replay(const StoredAnswer &answer)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_ended)
        return;
    m_ended = true;
    AnswerHead head;
    head.attempt = m_currentAttempt;
    head.status = answer.status;
    head.contentLength = answer.body.size();
    if (!answer.contentType.empty())
        head.headers.push_back({ "Content-Type", answer.contentType });
    head.headers.push_back({ "Godwitlift-Replayed", "true" });
    m_writer->writeHead(head);
    m_writer->writeBody(answer.body);
    m_writer->finish(answer.body.size());
}

} // namespace godwitlift
