/// \file
/// Attempts of a client request, retries and the final answer.
#include "ingress/IngressCall.h"

#include "godwitlift/base/AbslStringView.h"
#include "godwitlift/base/FieldSyntax.h"
#include "godwitlift/base/Hashing.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace godwitlift {

namespace {

/// Bounds of the `Retry-After` time of a refusal.
constexpr absl::Duration MinRetryAfter = absl::Milliseconds(50);
constexpr absl::Duration MaxRetryAfter = absl::Seconds(2);
/// One of this many successful requests is logged; failures and refusals are always logged.
constexpr std::uint64_t SuccessLogInterval = 64;

std::string retryAfterField(absl::Duration retryAfter)
{
    if (retryAfter <= absl::ZeroDuration())
        return {};
    return absl::StrFormat("Retry-After: %.3f\r\n", absl::ToDoubleSeconds(retryAfter));
}

/// Digest of what a client asks for, and of the service that asks, since a server may treat its
/// callers differently. Header fields other than the host are left out: ids, deadlines and the
/// caller's host differ between repetitions of a request.
ContentDigest contentDigest(const ServiceId &caller, const RequestHead &head, std::string_view body)
{
    const std::string requestLine =
            absl::StrCat(head.method, " ", head.target, " ",
                         toAbslStringView(head.fields.find("host").value_or(std::string_view())));
    return ContentDigest(hashOf(body, hashOf(requestLine, hashOf(caller.value()))));
}

bool methodExpectsBody(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

/// True for a head that cannot be read in another way once it is sent to the client. The nodes of
/// other versions may check less than this one.
bool isForwardable(const AnswerHead &head)
{
    if (!isFinalStatus(head.status) || !isFieldText(head.reasonPhrase))
        return false;
    std::string_view lines = head.fields;
    std::string_view name;
    std::string_view value;
    while (!lines.empty()) {
        if (!takeFieldLine(lines, name, value) || isHopByHop(name, {})
            || equalsIgnoringCase(name, "content-length"))
            return false;
    }
    return true;
}

} // namespace

IngressCall::IngressCall(IngressService &ingress, std::shared_ptr<Exchange> exchange,
                         std::shared_ptr<const RouteCatalogue> catalogue, const TrafficRoute &route,
                         const ClientAccount *account, ServiceId destination, std::string requestId,
                         absl::Duration clientTimeout)
    : m_ingress(ingress)
    , m_exchange(std::move(exchange))
    , m_catalogue(std::move(catalogue))
    , m_route(route)
    , m_account(account)
    , m_destination(std::move(destination))
    , m_requestId(std::move(requestId))
    , m_body(std::make_shared<const std::string>(std::move(m_exchange->request().body)))
    , m_content(contentDigest(ingress.m_options.ownService, m_exchange->request().head, *m_body))
    , m_deadline(m_exchange->arrivalTime() + std::min(clientTimeout, route.timeout))
    , m_deadlineTimer(ingress.m_loop.get_executor())
{
    m_ingress.m_calls.insert(this);
}

IngressCall::~IngressCall()
{
    m_ingress.m_calls.erase(this);
}

void IngressCall::start()
{
    m_self = shared_from_this();
    m_exchange->setObserver(weak_from_this());
    expireAfter(m_deadlineTimer, timeLeft());
    m_deadlineTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self != nullptr)
            self->onDeadlineExpired();
    });
    awaitQuota();
}

void IngressCall::awaitQuota()
{
    if (m_ingress.m_quotaExchange == nullptr || m_account == nullptr
        || !m_account->quota.isLimited()) {
        admitByCrashHistory();
        return;
    }
    m_isQuotaApplied = true;
    m_quotaTicket = m_ingress.m_quotaExchange->admit(
            m_account->id, [weak = weak_from_this()](const QuotaDecision &decision) {
                if (const auto self = weak.lock())
                    self->onQuotaDecision(decision);
            });
}

void IngressCall::onQuotaDecision(const QuotaDecision &decision)
{
    m_isQuotaDecided = true;
    if (decision.isAdmitted()) {
        m_hasQuotaCredit = true;
        admitByCrashHistory();
        return;
    }
    m_ingress.m_log.write("quota-refused",
                          LogLine("quota-refused")
                                  .add("request", m_requestId)
                                  .add("account", m_account->id.value())
                                  .add("cause", name(decision.refusal))
                                  .add("retry_ms", decision.retryAfter),
                          steadyNow());
    respondWithError(static_cast<unsigned>(httpStatus(Verdict::NotRun, Reason::QuotaExceeded)),
                     Reason::QuotaExceeded,
                     std::clamp(decision.retryAfter, MinRetryAfter, MaxRetryAfter));
}

void IngressCall::settleQuota()
{
    if (!m_isQuotaApplied)
        return;
    if (!m_isQuotaDecided)
        m_ingress.m_quotaExchange->abandon(m_account->id, m_quotaTicket);
    else if (m_hasQuotaCredit && m_worstVerdict == Verdict::NotRun)
        m_ingress.m_quotaExchange->refund(m_account->id);
}

std::string IngressCall::requestHead() const
{
    const RequestHead &head = m_exchange->request().head;
    const PlatformHeaderNames &headerNames = m_ingress.m_options.headerNames;
    std::string text = absl::StrCat(head.method, " ", head.target, " HTTP/1.1\r\n");
    appendEndToEndFields(head.fields,
                         { headerNames.deadlineMs, headerNames.expectedServer,
                           headerNames.callerService, headerNames.clientKey,
                           headerNames.clientAccount },
                         text);
    absl::StrAppend(&text, headerNames.callerService, ": ", m_ingress.m_options.ownService.value(),
                    "\r\n");
    if (m_account != nullptr)
        absl::StrAppend(&text, headerNames.clientAccount, ": ", m_account->id.value(), "\r\n");
    if (!m_body->empty() || methodExpectsBody(head.method))
        absl::StrAppend(&text, "Content-Length: ", m_body->size(), "\r\n");
    return text;
}

std::string IngressCall::accountName() const
{
    return m_account == nullptr ? std::string() : m_account->id.value();
}

int IngressCall::urgency() const
{
    return m_account != nullptr && m_account->urgency ? *m_account->urgency : m_route.urgency;
}

void IngressCall::admitByCrashHistory()
{
    const CrashAdmission admission = m_ingress.m_options.crashHistory.admit(m_content, steadyNow());
    if (admission == CrashAdmission::Send) {
        startFirstAttempt();
    } else if (admission == CrashAdmission::Trial && m_ingress.m_trialClaims != nullptr) {
        m_ingress.m_trialClaims->claimTrial(m_content, [weak = weak_from_this()](bool isGranted) {
            if (const auto self = weak.lock())
                self->onTrialDecided(isGranted);
        });
    } else {
        refuseQuarantined();
    }
}

void IngressCall::onTrialDecided(bool isGranted)
{
    if (m_self == nullptr) // The call has ended meanwhile.
        return;
    m_isTrial = isGranted;
    if (isGranted)
        startFirstAttempt();
    else
        refuseQuarantined();
}

void IngressCall::refuseQuarantined()
{
    const absl::Duration quarantineLeft =
            m_ingress.m_options.crashHistory.quarantineLeft(m_content, steadyNow());
    sendFinalAnswer(RetryDecision::Refuse, Reason::Quarantined,
                    std::max(quarantineLeft, CrashHistory::TrialInterval));
}

void IngressCall::startFirstAttempt()
{
    const auto choice = selectHost(false);
    if (!choice) {
        sendFinalAnswer(m_worstVerdict == Verdict::NotRun ? RetryDecision::Refuse
                                                          : RetryDecision::Fail,
                        Reason::NoBackendServer, suggestedRetryAfter());
        return;
    }
    if (!canComplete(*choice)) {
        sendFinalAnswer(RetryDecision::Refuse, Reason::Draining, suggestedRetryAfter());
        return;
    }
    startAttempt(*choice);
}

std::optional<SelectedHost> IngressCall::selectHost(bool isRepeat)
{
    RolloutTraffic &rollouts = m_ingress.m_options.rollouts;
    const absl::Time now = steadyNow();
    const auto select = [&](const HostFilter &filter) {
        return m_ingress.m_selector.select(m_destination, m_route.id, m_triedHosts, now,
                                           m_body->size(), filter);
    };
    m_rolloutOrder = 0;
    const RolloutState *rollout = rollouts.find(m_destination);
    if (rollout == nullptr)
        return select(nullptr);
    const RolloutCohort cohort = isRepeat ? rollouts.repeatCohort(m_destination, now)
                                          : rollouts.nextCohort(m_destination, now);
    auto choice = select(rollouts.filter(m_destination, cohort));
    if (cohort == RolloutCohort::Target && choice) {
        rollouts.onTargetSent(m_destination);
        m_rolloutOrder = rollout->order.revision;
    }
    if (cohort == RolloutCohort::Target && !choice)
        choice = select(rollouts.filter(m_destination, RolloutCohort::Other));
    // The gates of the new version know whether others are left.
    if (!choice && rollout->phase != RolloutPhase::RolledBack)
        choice = select(nullptr);
    return choice;
}

bool IngressCall::canComplete(const SelectedHost &choice) const
{
    const auto &shutdown = m_ingress.m_shutdown;
    return !shutdown || shutdown->canComplete({ m_deadline, choice.expectedLatency }, steadyNow());
}

void IngressCall::startAttempt(const SelectedHost &choice)
{
    m_host = choice.host;
    m_triedHosts.insert(choice.host);
    m_attemptId = m_ingress.nextAttemptId();
    m_attemptStart = steadyNow();
    m_answerHead.reset();
    std::string().swap(m_bufferedBody);
    m_exchange->setBytesHeldByCall(0);
    m_answerBytes = 0;
    m_ingress.m_selector.onAttemptSent(choice.host, m_route.id, m_body->size());
    AttemptGateway *gateway = m_ingress.m_gateways.gatewayTo(choice.host);
    if (gateway == nullptr) {
        onAttemptFailed(m_attemptId,
                        { Verdict::NotRun, Reason::ConnectFailed, false, absl::ZeroDuration() });
        return;
    }
    AttemptRequest request;
    request.id = m_attemptId;
    request.requestId = m_requestId;
    request.content = m_content;
    request.service = m_destination;
    request.head = requestHead();
    request.body = m_body;
    request.urgency = urgency();
    request.account = ClientAccountId(accountName());
    request.deadline = m_deadline;
    request.objective = m_exchange->arrivalTime() + m_route.latencyObjective;
    request.isIdempotent = m_route.retrySafety == RetrySafety::Idempotent;
    request.isHeadMethod = m_exchange->request().head.method == "HEAD";
    request.isRepeat = m_serversReached > 0;
    if (m_ingress.m_options.rollouts.find(m_destination) != nullptr)
        request.route = m_route.id;
    request.rolloutOrder = m_rolloutOrder;
    request.isCall = m_isServerCall;
    gateway->open(std::move(request), weak_from_this());
}

void IngressCall::recordAttemptOutcome(AttemptOutcome outcome, absl::Duration serviceTime)
{
    m_attemptId = AttemptId();
    m_ingress.m_selector.onAttemptEnded(m_host, m_route.id, outcome, serviceTime, m_answerBytes,
                                        steadyNow());
}

bool IngressCall::cancelAttempt()
{
    if (m_attemptId == AttemptId())
        return true;
    const AttemptId id = m_attemptId;
    recordAttemptOutcome(AttemptOutcome::Abandoned, absl::ZeroDuration());
    AttemptGateway *gateway = m_ingress.m_gateways.gatewayTo(m_host);
    return gateway != nullptr && gateway->cancel(id);
}

void IngressCall::onClientDisconnected()
{
    const auto self = m_self;
    if (!cancelAttempt())
        m_hasQuotaCredit = false; // The attempt may run in spite of the cancellation.
    finishCall(0, Reason::Cancelled);
}

void IngressCall::onAnswerBytesSent(std::size_t bytes)
{
    if (m_attemptId == AttemptId() || !m_isStreaming)
        return;
    if (AttemptGateway *gateway = m_ingress.m_gateways.gatewayTo(m_host))
        gateway->grantCredit(m_attemptId, bytes);
}

void IngressCall::onAnswerHead(AttemptId id, AnswerHead head)
{
    if (id != m_attemptId)
        return;
    if (m_answerHead || !isForwardable(head)) {
        rejectAnswer();
        return;
    }
    m_answerHead = std::move(head);
}

std::optional<std::uint64_t> IngressCall::expectedBodyBytes() const
{
    const unsigned status = m_answerHead->status;
    if (status == 204 || status == 304 || m_exchange->request().head.method == "HEAD")
        return 0;
    return m_answerHead->contentLength;
}

void IngressCall::rejectAnswer()
{
    const AttemptId id = m_attemptId;
    if (AttemptGateway *gateway = m_ingress.m_gateways.gatewayTo(m_host))
        gateway->cancel(id);
    onAttemptFailed(id,
                    { Verdict::MayHaveRun, Reason::AnswerMismatched, true, absl::ZeroDuration() });
}

void IngressCall::onAnswerBody(AttemptId id, std::string data)
{
    if (id != m_attemptId || !m_answerHead)
        return;
    m_answerBytes += data.size();
    if (m_answerBytes > expectedBodyBytes().value_or(m_answerBytes)) {
        rejectAnswer();
        return;
    }
    if (m_isStreaming) {
        m_exchange->writeBody(data);
        return;
    }
    m_bufferedBody += data;
    if (m_bufferedBody.size() > AnswerBufferBytes)
        beginStreaming();
    else
        m_exchange->setBytesHeldByCall(m_bufferedBody.capacity());
}

void IngressCall::beginStreaming()
{
    m_isStreaming = true;
    m_exchange->beginAnswer(m_answerHead->status, m_answerHead->reasonPhrase, m_answerHead->fields,
                            m_answerHead->contentLength);
    const std::string buffered = std::exchange(m_bufferedBody, std::string());
    m_exchange->setBytesHeldByCall(0);
    m_exchange->writeBody(buffered);
}

void IngressCall::withdrawStreamedAnswer()
{
    if (m_isStreaming && m_exchange->withdrawAnswer())
        m_isStreaming = false;
}

void IngressCall::onAnswerComplete(AttemptId id, const GateTimings &timings)
{
    if (id != m_attemptId)
        return;
    if (!m_answerHead || m_answerBytes != expectedBodyBytes().value_or(m_answerBytes)) {
        rejectAnswer();
        return;
    }
    const auto self = m_self;
    const bool isServerError = m_answerHead->status >= 500;
    recordAttemptOutcome(isServerError ? AttemptOutcome::Failed : AttemptOutcome::Succeeded,
                         timings.serviceTime);
    m_timings = timings;
    m_ingress.m_metrics.recordAttempt(Verdict::Ran, Reason::None, steadyNow() - m_attemptStart,
                                      timings);
    ++m_serversReached;
    if (isServerError && !m_isStreaming && m_route.retrySafety == RetrySafety::Idempotent) {
        const Verdict before = m_worstVerdict;
        if (tryRetry({ Verdict::MayHaveRun, Reason::ServerError, true, absl::ZeroDuration() }))
            return;
        m_worstVerdict = before;
    }
    if (m_isStreaming) {
        m_exchange->endAnswer();
    } else {
        const bool hasNoBody = m_exchange->request().head.method == "HEAD";
        if (hasNoBody) {
            m_exchange->beginAnswer(m_answerHead->status, m_answerHead->reasonPhrase,
                                    m_answerHead->fields, m_answerHead->contentLength.value_or(0));
            m_exchange->endAnswer();
        } else {
            m_exchange->respond(m_answerHead->status, m_answerHead->reasonPhrase,
                                m_answerHead->fields, m_bufferedBody);
        }
    }
    finishCall(m_answerHead->status, Reason::None);
}

FailedAttempt IngressCall::makeFailedAttempt(const AttemptFailure &failure) const
{
    FailedAttempt attempt;
    attempt.verdict = failure.verdict;
    attempt.worstVerdict = m_worstVerdict;
    attempt.retrySafety = m_route.retrySafety;
    attempt.isAnswerStarted = m_isStreaming;
    attempt.serversReached = m_serversReached;
    attempt.attemptLimit = m_route.attemptLimit;
    attempt.timeLeft = timeLeft();
    attempt.minTimeForRetry = m_ingress.m_selector.meanServiceTime(m_route.id) / 2;
    return attempt;
}

bool IngressCall::tryRetry(const AttemptFailure &failure)
{
    m_worstVerdict = std::max(m_worstVerdict, failure.verdict);
    const absl::Time now = steadyNow();
    if (decideRetry(makeFailedAttempt(failure)) != RetryDecision::Retry
        || (m_isTrial && m_serversReached > 0) || failure.reason == Reason::Quarantined
        || m_ingress.m_options.crashHistory.isQuarantined(m_content, now))
        return false;
    const auto choice = selectHost(true);
    if (!choice || m_undeliveredAttempts >= UndeliveredAttemptLimit || !canComplete(*choice))
        return false;
    const bool needsRetryBudget = m_serversReached > 0;
    if (needsRetryBudget
        && !m_ingress.retryBudget(m_destination).trySpend(now, m_ingress.m_gateways.nodeCount()))
        return false;
    m_ingress.m_metrics.recordRetry(failure.reason);
    startAttempt(*choice);
    return true;
}

void IngressCall::onAttemptFailed(AttemptId id, const AttemptFailure &failure)
{
    if (id != m_attemptId)
        return;
    const auto self = m_self;
    recordAttemptOutcome(failure.reachedServer ? AttemptOutcome::Failed : AttemptOutcome::Refused,
                         absl::ZeroDuration());
    m_ingress.m_metrics.recordAttempt(failure.verdict, failure.reason, steadyNow() - m_attemptStart,
                                      {});
    if (failure.reachedServer)
        ++m_serversReached;
    else
        ++m_undeliveredAttempts;
    m_ingress.m_log.write("attempt-failed",
                          LogLine("attempt-failed")
                                  .add("request", m_requestId)
                                  .add("content", m_content.value())
                                  .add("host", m_host.value())
                                  .add("verdict", name(failure.verdict))
                                  .add("reason", name(failure.reason))
                                  .add("age_ms", steadyNow() - m_exchange->arrivalTime())
                                  .add("left_ms", timeLeft()),
                          steadyNow());
    withdrawStreamedAnswer();
    if (tryRetry(failure))
        return;
    sendFinalAnswer(decideWithoutRetry(makeFailedAttempt(failure)), failure.reason,
                    std::max(failure.retryAfter, suggestedRetryAfter()));
}

absl::Duration IngressCall::suggestedRetryAfter() const
{
    const auto occupancy = m_ingress.m_selector.occupancy(m_destination);
    const absl::Duration serviceTime = m_ingress.m_selector.meanServiceTime(m_route.id);
    if (occupancy.slots == 0)
        return absl::Milliseconds(300);
    const double excess = static_cast<double>(occupancy.demand) + 1 - occupancy.slots;
    const absl::Duration wait = serviceTime * std::max(excess / occupancy.slots, 0.0);
    return std::clamp(wait, MinRetryAfter, MaxRetryAfter);
}

void IngressCall::onDeadlineExpired()
{
    failCall(Reason::DeadlineExpired);
}

void IngressCall::onNodeStopping()
{
    failCall(Reason::Draining);
}

void IngressCall::failCall(Reason reason)
{
    const auto self = m_self;
    // An attempt at another host may be queued, running or complete there.
    const bool hadAttempt = m_attemptId != AttemptId();
    if (!cancelAttempt())
        m_worstVerdict = std::max(m_worstVerdict, Verdict::MayHaveRun);
    withdrawStreamedAnswer();
    RetryDecision decision = RetryDecision::Fail;
    if (m_isStreaming)
        decision = RetryDecision::AbortAnswer;
    else if (hadAttempt && m_worstVerdict == Verdict::NotRun)
        decision = RetryDecision::Refuse;
    sendFinalAnswer(decision, reason, suggestedRetryAfter());
}

void IngressCall::sendFinalAnswer(RetryDecision decision, Reason reason, absl::Duration retryAfter)
{
    switch (decision) {
    case RetryDecision::AbortAnswer:
        m_exchange->abortAnswer();
        finishCall(0, reason);
        break;
    case RetryDecision::Refuse:
        respondWithError(503, reason, retryAfter);
        break;
    case RetryDecision::Fail:
    case RetryDecision::Retry:
        respondWithError(reason == Reason::DeadlineExpired ? 504 : 502, reason,
                         absl::ZeroDuration());
        break;
    }
}

void IngressCall::respondWithError(unsigned status, Reason reason, absl::Duration retryAfter)
{
    m_exchange->respond(status, reasonPhrase(status), retryAfterField(retryAfter), {});
    finishCall(status, reason);
}

void IngressCall::finishCall(unsigned status, Reason reason)
{
    m_exchange->setBytesHeldByCall(0);
    const absl::Time now = steadyNow();
    const absl::Duration latency = now - m_exchange->arrivalTime();
    m_ingress.m_metrics.recordRequest(status, reason, urgency(), latency);
    const bool isSuccess = reason == Reason::None;
    if (!isSuccess || m_ingress.m_lastAttemptId % SuccessLogInterval == 0) {
        LogLine line("request-ended");
        line.add("request", m_requestId)
                .add("content", m_content.value())
                .add("status", status)
                .add("reason", name(reason))
                .add("verdict", name(isSuccess ? Verdict::Ran : m_worstVerdict))
                .add("route", m_route.id.value())
                .add("urgency", urgency())
                .add("service", m_destination.value())
                .add("host", m_host.value())
                .add("servers", m_serversReached)
                .add("turned_away", m_undeliveredAttempts)
                .add("version", m_catalogue->version().value())
                .add("answer_bytes", m_answerBytes)
                .add("latency_ms", latency)
                .add("attempt_ms", now - m_attemptStart)
                .add("wait_ms", m_timings.queueTime)
                .add("service_ms", m_timings.serviceTime);
        if (m_account != nullptr)
            line.add("account", accountName());
        m_ingress.m_log.write(isSuccess ? "request-ended" : name(reason), line, now);
    }
    if (!isSuccess)
        settleQuota();
    m_deadlineTimer.cancel();
    m_self.reset();
}

} // namespace godwitlift
