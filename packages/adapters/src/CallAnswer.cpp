/// \file
/// Holding back, passing on and breaking off answers.
#include "CallAnswer.h"

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

class HttpPort final : public CallerPort
{
public:
    explicit HttpPort(std::shared_ptr<HttpExchange> exchange)
        : m_exchange(std::move(exchange))
    {}

    void start(const AnswerHead &head) override
    {
        std::vector<HttpHeader> headers = head.headers;
        headers.push_back({ "Godwitlift-Verdict", "ran" });
        m_exchange->start(head.status, std::move(headers), head.length);
    }
    void write(std::string_view part) override { m_exchange->write(part); }
    void finish(std::uint64_t) override { m_exchange->finish(); }
    void abort() override { m_exchange->abort(); }
    void refuse(const CallRefusal &refusal) override
    {
        auto headers = verdictHeaders(refusal.verdict, refusal.reason, refusal.retryAfter);
        headers.push_back({ "Content-Type", "application/json" });
        m_exchange->respond(httpStatus(refusal.verdict, refusal.reason), std::move(headers),
                            absl::StrCat("{\"verdict\":\"", std::string(name(refusal.verdict)),
                                         "\",\"reason\":\"", std::string(name(refusal.reason)),
                                         "\"}\n"));
    }
    bool wantsMore(std::function<void()> resume) override
    {
        return m_exchange->wantsMore(std::move(resume));
    }

private:
    std::shared_ptr<HttpExchange> m_exchange;
};

class RelayPort final : public CallerPort
{
public:
    explicit RelayPort(std::shared_ptr<AnswerSink> sink)
        : m_sink(std::move(sink))
    {}

    void start(const AnswerHead &head) override { m_sink->head(head); }
    void write(std::string_view part) override
    {
        m_sink->body(part);
        m_sink->flush();
    }
    void finish(std::uint64_t bytes) override
    {
        AnswerEnd end;
        end.received = bytes;
        m_sink->end(end);
    }
    void abort() override
    {
        AnswerRefusal refusal;
        refusal.reason = Reason::AnswerTruncated;
        m_sink->refuse(refusal);
    }
    void refuse(const CallRefusal &refusal) override
    {
        AnswerRefusal answer;
        answer.verdict = refusal.verdict;
        answer.reason = refusal.reason;
        answer.retryAfter = refusal.retryAfter;
        m_sink->refuse(answer);
    }
    bool wantsMore(std::function<void()> resume) override
    {
        return m_sink->wantsMore(std::move(resume));
    }

private:
    std::shared_ptr<AnswerSink> m_sink;
};

/// Stands in for a caller that is gone.
class DiscardingPort final : public CallerPort
{
public:
    void start(const AnswerHead &) override {}
    void write(std::string_view) override {}
    void finish(std::uint64_t) override {}
    void abort() override {}
    void refuse(const CallRefusal &) override {}
    bool wantsMore(std::function<void()>) override { return true; }
};

} // namespace

std::unique_ptr<CallerPort> createHttpPort(std::shared_ptr<HttpExchange> exchange)
{
    return std::make_unique<HttpPort>(std::move(exchange));
}

std::unique_ptr<CallerPort> createRelayPort(std::shared_ptr<AnswerSink> sink)
{
    return std::make_unique<RelayPort>(std::move(sink));
}

CallAnswer::CallAnswer(std::unique_ptr<CallerPort> port)
    : m_port(std::move(port))
{}

void CallAnswer::expect(AttemptId attempt, absl::Duration stallTimeout, absl::Time now)
{
    const absl::MutexLock lock(&m_mutex);
    m_attempt = attempt;
    m_tracker.emplace(attempt, stallTimeout, now);
    m_head.reset();
    m_held.clear();
    m_paused = std::make_shared<std::atomic<bool>>(false);
}

bool CallAnswer::isExpected(AttemptId attempt) const
{
    return !m_ended && m_attempt == attempt && m_tracker.has_value();
}

Reason CallAnswer::head(AttemptId attempt, AnswerHead head, absl::Time now)
{
    const absl::MutexLock lock(&m_mutex);
    if (!isExpected(attempt))
        return Reason::AnswerMismatched;
    const Reason reason = m_tracker->onHead(head.attempt, head.length, now);
    if (reason == Reason::None)
        m_head = std::move(head);
    return reason;
}

void CallAnswer::startPort()
{
    m_started = true;
    m_port->start(*m_head);
    m_port->write(m_held);
}

Reason CallAnswer::body(AttemptId attempt, std::string_view part, absl::Time now)
{
    const absl::MutexLock lock(&m_mutex);
    if (!isExpected(attempt))
        return Reason::AnswerMismatched;
    const Reason reason = m_tracker->onBody(part.size(), now);
    if (reason != Reason::None)
        return reason;
    if (m_started) {
        m_port->write(part);
        return Reason::None;
    }
    m_held.append(part);
    if (m_held.size() > HoldLimitBytes)
        startPort();
    return Reason::None;
}

Reason CallAnswer::end(AttemptId attempt, std::uint64_t bytes, absl::Time now)
{
    const absl::MutexLock lock(&m_mutex);
    if (!isExpected(attempt))
        return Reason::AnswerMismatched;
    if (bytes != m_tracker->receivedBytes())
        return Reason::AnswerTruncated;
    return m_tracker->onEnd(now);
}

bool CallAnswer::wantsMore(AttemptId attempt, std::function<void()> resume)
{
    const absl::MutexLock lock(&m_mutex);
    if (!isExpected(attempt) || !m_started)
        return true;
    *m_paused = true;
    const bool wants = m_port->wantsMore([paused = m_paused, resume = std::move(resume)] {
        *paused = false;
        resume();
    });
    if (wants)
        *m_paused = false;
    return wants;
}

Reason CallAnswer::check(AttemptId attempt, absl::Time now)
{
    const absl::MutexLock lock(&m_mutex);
    if (!isExpected(attempt) || !m_head || *m_paused)
        return Reason::None;
    return m_tracker->checkProgress(now);
}

bool CallAnswer::isCurrent(AttemptId attempt) const
{
    const absl::MutexLock lock(&m_mutex);
    return isExpected(attempt);
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

StoredAnswer CallAnswer::stored() const
{
    const absl::MutexLock lock(&m_mutex);
    StoredAnswer answer;
    if (!m_head)
        return answer;
    answer.status = m_head->status;
    answer.isComplete = !m_started;
    if (!m_started)
        answer.body = m_held;
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
        m_head->length = m_held.size();
        startPort();
    }
    m_port->finish(m_tracker->receivedBytes());
}

void CallAnswer::refuse(const CallRefusal &refusal)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_ended)
        return;
    if (refusal.reason == Reason::Cancelled) {
        // Nobody listens any more, but the ledger may still wait for the answer.
        m_port = std::make_unique<DiscardingPort>();
        return;
    }
    m_ended = true;
    if (m_started)
        m_port->abort();
    else
        m_port->refuse(refusal);
}

void CallAnswer::replay(const StoredAnswer &answer)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_ended)
        return;
    m_ended = true;
    AnswerHead head;
    head.attempt = m_attempt;
    head.status = answer.status;
    head.length = answer.body.size();
    if (!answer.contentType.empty())
        head.headers.push_back({ "Content-Type", answer.contentType });
    head.headers.push_back({ "Godwitlift-Replayed", "true" });
    m_port->start(head);
    m_port->write(answer.body);
    m_port->finish(answer.body.size());
}

} // namespace godwitlift
