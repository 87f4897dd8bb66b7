/// \file
/// Attempts and their outcomes.
#include "ingress/IngressCall.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace godwitlift {

namespace {

/// Bounds of the time to come back that a refusal states.
constexpr absl::Duration ShortestReturn = absl::Milliseconds(50);
constexpr absl::Duration LongestReturn = absl::Seconds(2);
/// One in this many successful requests is logged; failures and refusals always are.
constexpr std::uint64_t SuccessSample = 64;

std::string retryAfterField(absl::Duration retryAfter)
{
    if (retryAfter <= absl::ZeroDuration())
        return {};
    return absl::StrFormat("Retry-After: %.3f\r\n", absl::ToDoubleSeconds(retryAfter));
}

bool carriesBody(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

IngressCall::IngressCall(IngressService &service, std::shared_ptr<Exchange> exchange,
                         std::shared_ptr<const RouteCatalogue> catalogue, const TrafficRoute &route,
                         ServiceId destination, std::string requestId, absl::Duration patience)
    : m_service(service)
    , m_exchange(std::move(exchange))
    , m_catalogue(std::move(catalogue))
    , m_route(route)
    , m_destination(std::move(destination))
    , m_requestId(std::move(requestId))
    , m_body(std::make_shared<const std::string>(std::move(m_exchange->request().body)))
    , m_deadline(m_exchange->arrivalTime() + std::min(patience, route.timeout))
    , m_timer(service.m_loop.get_executor())
{
    m_service.m_calls.insert(this);
}

IngressCall::~IngressCall()
{
    m_service.m_calls.erase(this);
}

void IngressCall::start()
{
    m_self = shared_from_this();
    m_exchange->setObserver(weak_from_this());
    expireAfter(m_timer, left());
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self != nullptr)
            self->deadlinePassed();
    });
    tryNext();
}

std::string IngressCall::requestHead() const
{
    const RequestHead &head = m_exchange->request().head;
    const ExchangeFieldNames &names = m_service.m_options.names;
    std::string text = absl::StrCat(head.method, " ", head.target, " HTTP/1.1\r\n");
    appendEndToEndFields(head.fields,
                         { names.deadlineMs, names.expectedServer, names.callerService }, text);
    absl::StrAppend(&text, names.callerService, ": ", m_service.m_options.ownService.value(),
                    "\r\n");
    if (!m_body->empty() || carriesBody(head.method))
        absl::StrAppend(&text, "Content-Length: ", m_body->size(), "\r\n");
    return text;
}

void IngressCall::tryNext()
{
    const auto choice =
            m_service.m_selector.select(m_destination, m_route.id, m_tried, steadyNow());
    if (!choice) {
        conclude(m_worst == Verdict::NotRun ? RetryDecision::Refuse : RetryDecision::Fail,
                 Reason::NoBackendServer, returnAdvice());
        return;
    }
    sendTo(*choice);
}

void IngressCall::sendTo(const SelectedHost &choice)
{
    m_host = choice.host;
    m_tried.insert(choice.host);
    m_attempt = m_service.nextAttempt();
    m_attemptBegan = steadyNow();
    m_head.reset();
    m_held.clear();
    m_answerBytes = 0;
    m_service.m_selector.onAttemptSent(choice.host, m_route.id);
    AttemptGateway *gateway = m_service.m_gateways.gatewayTo(choice.host);
    if (gateway == nullptr) {
        attemptFailed(m_attempt,
                      { Verdict::NotRun, Reason::ConnectFailed, false, absl::ZeroDuration() });
        return;
    }
    AttemptOrder order;
    order.id = m_attempt;
    order.requestId = m_requestId;
    order.service = m_destination;
    order.head = requestHead();
    order.body = m_body;
    order.urgency = m_route.urgency;
    order.deadline = m_deadline;
    order.objective = m_exchange->arrivalTime() + m_route.latencyObjective;
    order.isIdempotent = m_route.retrySafety == RetrySafety::Idempotent;
    order.isHeadMethod = m_exchange->request().head.method == "HEAD";
    gateway->open(std::move(order), weak_from_this());
}

void IngressCall::attemptOver(AttemptOutcome outcome, absl::Duration service)
{
    m_attempt = AttemptId();
    m_service.m_selector.onAttemptEnded(m_host, m_route.id, outcome, service, m_answerBytes,
                                        steadyNow());
}

void IngressCall::cancelAttempt()
{
    if (m_attempt == AttemptId())
        return;
    const AttemptId id = m_attempt;
    attemptOver(AttemptOutcome::Abandoned, absl::ZeroDuration());
    if (AttemptGateway *gateway = m_service.m_gateways.gatewayTo(m_host))
        gateway->cancel(id);
}

void IngressCall::onClientDisconnected()
{
    const auto self = m_self;
    cancelAttempt();
    finished(0, Reason::Cancelled);
}

void IngressCall::onAnswerBytesSent(std::size_t bytes)
{
    if (m_attempt == AttemptId() || !m_isStreaming)
        return;
    if (AttemptGateway *gateway = m_service.m_gateways.gatewayTo(m_host))
        gateway->grant(m_attempt, bytes);
}

void IngressCall::answerHead(AttemptId id, AnswerHead head)
{
    if (id == m_attempt)
        m_head = std::move(head);
}

void IngressCall::answerBody(AttemptId id, std::string data)
{
    if (id != m_attempt || !m_head)
        return;
    m_answerBytes += data.size();
    if (m_isStreaming) {
        m_exchange->writeBody(data);
        return;
    }
    m_held += data;
    if (m_held.size() > HoldLimit)
        beginStreaming();
}

void IngressCall::beginStreaming()
{
    m_isStreaming = true;
    m_exchange->beginAnswer(m_head->status, m_head->phrase, m_head->fields, m_head->contentLength);
    const std::string held = std::move(m_held);
    m_held.clear();
    m_exchange->writeBody(held);
}

void IngressCall::answerComplete(AttemptId id, const GateTimes &times)
{
    if (id != m_attempt || !m_head)
        return;
    const auto self = m_self;
    const bool isServerError = m_head->status >= 500;
    attemptOver(isServerError ? AttemptOutcome::Failed : AttemptOutcome::Succeeded, times.service);
    m_times = times;
    m_service.m_metrics.attemptEnded(Verdict::Ran, Reason::None, steadyNow() - m_attemptBegan,
                                     times);
    ++m_serversReached;
    if (isServerError && !m_isStreaming && m_route.retrySafety == RetrySafety::Idempotent) {
        const Verdict before = m_worst;
        if (tryAgain({ Verdict::MayHaveRun, Reason::ServerError, true, absl::ZeroDuration() }))
            return;
        m_worst = before;
    }
    if (m_isStreaming) {
        m_exchange->endAnswer();
    } else {
        const bool hasNoBody = m_exchange->request().head.method == "HEAD";
        if (hasNoBody) {
            m_exchange->beginAnswer(m_head->status, m_head->phrase, m_head->fields,
                                    m_head->contentLength.value_or(0));
            m_exchange->endAnswer();
        } else {
            m_exchange->respond(m_head->status, m_head->phrase, m_head->fields, m_held);
        }
    }
    finished(m_head->status, Reason::None);
}

FailedAttempt IngressCall::describe(const AttemptFailure &failure) const
{
    FailedAttempt attempt;
    attempt.verdict = failure.verdict;
    attempt.worstVerdict = m_worst;
    attempt.retrySafety = m_route.retrySafety;
    attempt.hasAnswerBegun = m_isStreaming;
    attempt.serversReached = m_serversReached;
    attempt.attemptLimit = m_route.attemptLimit;
    attempt.timeLeft = left();
    attempt.expectedServiceTime = m_service.m_selector.meanServiceTime(m_route.id) / 2;
    return attempt;
}

bool IngressCall::tryAgain(const AttemptFailure &failure)
{
    m_worst = std::max(m_worst, failure.verdict);
    if (decideRetry(describe(failure)) != RetryDecision::Retry)
        return false;
    const absl::Time now = steadyNow();
    auto choice = m_service.m_selector.select(m_destination, m_route.id, m_tried, now);
    if (!choice || m_turnedAway >= TurnedAwayLimit)
        return false;
    const bool isRepeat = m_serversReached > 0;
    if (isRepeat
        && !m_service.budget(m_destination).trySpend(now, m_service.m_gateways.nodeCount()))
        return false;
    m_service.m_metrics.retried(failure.reason);
    sendTo(*choice);
    return true;
}

void IngressCall::attemptFailed(AttemptId id, const AttemptFailure &failure)
{
    if (id != m_attempt)
        return;
    const auto self = m_self;
    attemptOver(failure.reachedServer ? AttemptOutcome::Failed : AttemptOutcome::Refused,
                absl::ZeroDuration());
    m_service.m_metrics.attemptEnded(failure.verdict, failure.reason, steadyNow() - m_attemptBegan,
                                     {});
    if (failure.reachedServer)
        ++m_serversReached;
    else
        ++m_turnedAway;
    m_service.m_log.write("attempt-failed",
                          LogLine("attempt-failed")
                                  .add("request", m_requestId)
                                  .add("host", m_host.value())
                                  .add("verdict", name(failure.verdict))
                                  .add("reason", name(failure.reason))
                                  .add("age_ms", steadyNow() - m_exchange->arrivalTime())
                                  .add("left_ms", left()),
                          steadyNow());
    if (tryAgain(failure))
        return;
    conclude(decideWithoutRetry(describe(failure)), failure.reason,
             std::max(failure.retryAfter, returnAdvice()));
}

absl::Duration IngressCall::returnAdvice() const
{
    const auto occupancy = m_service.m_selector.occupancy(m_destination);
    const absl::Duration service = m_service.m_selector.meanServiceTime(m_route.id);
    if (occupancy.slots == 0)
        return absl::Milliseconds(300);
    const double excess = static_cast<double>(occupancy.demand) + 1 - occupancy.slots;
    const absl::Duration wait = service * std::max(excess / occupancy.slots, 0.0);
    return std::clamp(wait, ShortestReturn, LongestReturn);
}

void IngressCall::deadlinePassed()
{
    giveUp(Reason::DeadlineExpired);
}

void IngressCall::nodeStopping()
{
    giveUp(Reason::Draining);
}

void IngressCall::giveUp(Reason reason)
{
    const auto self = m_self;
    if (m_attempt != AttemptId()) {
        // The attempt is somewhere between its queue and the end of its work.
        m_worst = std::max(m_worst, Verdict::MayHaveRun);
        cancelAttempt();
    }
    conclude(m_isStreaming ? RetryDecision::AbortAnswer : RetryDecision::Fail, reason,
             absl::ZeroDuration());
}

void IngressCall::conclude(RetryDecision step, Reason reason, absl::Duration retryAfter)
{
    switch (step) {
    case RetryDecision::AbortAnswer:
        m_exchange->abortAnswer();
        finished(0, reason);
        break;
    case RetryDecision::Refuse:
        refuse(503, reason, retryAfter);
        break;
    case RetryDecision::Fail:
    case RetryDecision::Retry:
        refuse(reason == Reason::DeadlineExpired ? 504 : 502, reason, absl::ZeroDuration());
        break;
    }
}

void IngressCall::refuse(unsigned status, Reason reason, absl::Duration retryAfter)
{
    m_exchange->respond(status, reasonPhrase(status), retryAfterField(retryAfter), {});
    finished(status, reason);
}

void IngressCall::finished(unsigned status, Reason reason)
{
    const absl::Time now = steadyNow();
    const absl::Duration latency = now - m_exchange->arrivalTime();
    m_service.m_metrics.requestEnded(status, reason, m_route.urgency, latency);
    const bool isSuccess = reason == Reason::None;
    if (!isSuccess || m_service.m_lastAttempt % SuccessSample == 0) {
        LogLine line("request-ended");
        line.add("request", m_requestId)
                .add("status", status)
                .add("reason", name(reason))
                .add("verdict", name(isSuccess ? Verdict::Ran : m_worst))
                .add("route", m_route.id.value())
                .add("urgency", m_route.urgency)
                .add("service", m_destination.value())
                .add("host", m_host.value())
                .add("servers", m_serversReached)
                .add("turned_away", m_turnedAway)
                .add("version", m_catalogue->version().value())
                .add("answer_bytes", m_answerBytes)
                .add("latency_ms", latency)
                .add("attempt_ms", now - m_attemptBegan)
                .add("wait_ms", m_times.wait)
                .add("service_ms", m_times.service);
        m_service.m_log.write(isSuccess ? "request-ended" : name(reason), line, now);
    }
    m_timer.cancel();
    m_self.reset();
}

} // namespace godwitlift
