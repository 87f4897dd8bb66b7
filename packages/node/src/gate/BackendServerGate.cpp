/// \file
/// Runs attempts at the backend server and tracks the server's life cycle.
#include "gate/BackendServerGate.h"

#include "godwitlift/base/Hashing.h"
#include "godwitlift/serving/ServingRanks.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace godwitlift {

namespace {

/// Maximum idle time of a connection that is reused for a request that must not be repeated. The
/// backend server has not closed a connection that was used so recently.
constexpr absl::Duration NonIdempotentIdleLimit = absl::Seconds(1);
/// Idle time up to which a connection is used again if its backend server states none.
constexpr absl::Duration DefaultIdleLimit = absl::Seconds(5);
/// Idle connections are closed this long before the backend server's keep-alive timeout.
constexpr absl::Duration KeepAliveMargin = absl::Seconds(1);
/// Time after which an unanswered health probe is given up. A probe may wait for a slot like a
/// request.
constexpr absl::Duration ProbeTimeout = absl::Seconds(1);
/// Slots assumed until the backend server has announced itself.
constexpr std::uint32_t InitialSlots = 1;
/// Body bytes that are read of an answer that is not forwarded, to reuse its connection.
constexpr std::size_t DiscardedBodyLimit = 65'536;
/// Minimum share of the announced slots that stays usable when the backend server sheds requests.
/// 1, since the announced number is exact and every request passes this gate, so that shedding has
/// another cause than too many requests.
constexpr double MinSlotShare = 1;

SlotLimit slotLimitOf(std::uint32_t slots)
{
    return { slots, absl::InfinitePast(), absl::ZeroDuration(), MinSlotShare };
}

} // namespace

/// One queued or running attempt.
class GateAttempt final : public BackendExchangeObserver
{
public:
    GateAttempt(BackendServerGate &owner, AttemptRequest request,
                std::weak_ptr<AttemptObserver> observer)
        : m_owner(owner)
        , m_request(std::move(request))
        , m_observer(std::move(observer))
    {}

    const AttemptRequest &request() const { return m_request; }
    AttemptId sourceAttemptId() const { return LocalGateway::sourceAttemptId(m_request.id); }
    const std::shared_ptr<BackendConnection> &connection() const { return m_connection; }
    bool isRunning() const { return m_connection != nullptr; }
    /// Since the request was sent to the backend server.
    absl::Duration serviceTime() const { return steadyNow() - m_started; }

    void start(std::shared_ptr<BackendConnection> connection, std::string head)
    {
        m_connection = std::move(connection);
        m_started = steadyNow();
        m_processNumber = m_owner.m_lifecycle.processNumber();
        m_connection->sendRequest(std::move(head), m_request.body, m_request.requestId,
                                  m_request.isHeadMethod, *this);
    }

    void grantCredit(std::size_t bytes)
    {
        m_unacknowledged -= std::min(bytes, m_unacknowledged);
        if (m_connection != nullptr && m_unacknowledged < AnswerWindowBytes)
            m_connection->setReadingEnabled(true);
    }

    void reportFailure(const AttemptFailure &failure)
    {
        if (const auto observer = m_observer.lock())
            observer->onAttemptFailed(sourceAttemptId(), failure);
    }

    void onResponseHead(const ResponseHead &head) override
    {
        const PlatformHeaderNames &names = m_owner.m_options.protocol.headerNames();
        // 421 comes from another backend server at the same address.
        if (head.status != 421)
            m_owner.onServerNotice(head, m_request.requestId, m_processNumber);
        if (head.fields.find(names.notExecuted) || head.status == 421) {
            m_refusedStatus = head.status;
            return;
        }
        m_owner.m_crashDetector.onAnswer(m_started);
        m_isServerError = head.status >= 500;
        AnswerHead answer;
        answer.status = head.status;
        answer.reasonPhrase = head.reasonPhrase;
        answer.contentLength = head.contentLength;
        answer.isSealed = head.fields.find(names.answerSeal).has_value();
        appendEndToEndFields(head.fields, {}, answer.fields);
        if (!answer.isSealed) {
            m_isUnsealed = true;
            return;
        }
        if (const auto observer = m_observer.lock())
            observer->onAnswerHead(sourceAttemptId(), std::move(answer));
    }

    void onResponseBody(std::string data) override
    {
        if (m_refusedStatus != 0 || m_isUnsealed) {
            m_discardedBytes += data.size();
            if (m_discardedBytes > DiscardedBodyLimit) {
                m_connection->close();
                onResponseComplete();
            }
            return;
        }
        m_unacknowledged += data.size();
        if (m_unacknowledged >= AnswerWindowBytes)
            m_connection->setReadingEnabled(false);
        if (const auto observer = m_observer.lock())
            observer->onAnswerBody(sourceAttemptId(), std::move(data));
    }

    void onResponseComplete() override
    {
        const auto self = m_owner.m_attempts.find(m_request.id)->second; // Keeps this object alive.
        if (m_refusedStatus != 0) {
            const bool isWrongServer = m_refusedStatus == 421;
            m_owner.onAttemptEnded(*this, isWrongServer ? RunOutcome::Failed : RunOutcome::Shed);
            reportFailure({ Verdict::NotRun, isWrongServer ? Reason::NoBackendServer : Reason::Shed,
                            true, absl::ZeroDuration() });
            if (isWrongServer)
                m_owner.onServerLost("address-reused");
            return;
        }
        if (m_isUnsealed) {
            m_owner.onAttemptEnded(*this, RunOutcome::Failed);
            reportFailure(
                    { Verdict::MayHaveRun, Reason::AnswerMismatched, true, absl::ZeroDuration() });
            return;
        }
        if (m_owner.m_options.crashHistory.onAnswered(m_request.content, steadyNow()))
            m_owner.m_listener.onCrashesCleared(m_request.content);
        const GateTimings timings{ m_started - m_arrived, steadyNow() - m_started };
        m_owner.onAttemptEnded(*this, RunOutcome::Answered, m_isServerError);
        if (const auto observer = m_observer.lock())
            observer->onAnswerComplete(sourceAttemptId(), timings);
    }

    void onExchangeFailed(Reason reason, bool hasSentBytes) override
    {
        const auto self = m_owner.m_attempts.find(m_request.id)->second; // Keeps this object alive.
        if (hasSentBytes)
            m_owner.onAnswerLost(*this);
        m_owner.onAttemptEnded(*this, hasSentBytes ? RunOutcome::Failed : RunOutcome::NotConnected);
        reportFailure({ hasSentBytes ? Verdict::MayHaveRun : Verdict::NotRun, reason, hasSentBytes,
                        absl::ZeroDuration() });
        if (!hasSentBytes)
            m_owner.onServerLost("connect-failed");
    }

private:
    BackendServerGate &m_owner;
    AttemptRequest m_request;
    std::weak_ptr<AttemptObserver> m_observer;
    std::shared_ptr<BackendConnection> m_connection; ///< Null while the attempt is queued.
    absl::Time m_arrived = steadyNow();
    absl::Time m_started;
    std::uint64_t m_processNumber = 0; ///< Of the process to which the request was sent.
    std::size_t m_unacknowledged = 0;  ///< Body bytes forwarded without credit so far.
    unsigned m_refusedStatus = 0;      ///< Status of a refusal to run the request; or 0.
    std::size_t m_discardedBytes = 0;  ///< Of the body of an answer that is not forwarded.
    bool m_isServerError = false;      ///< The status is 5xx.
    bool m_isUnsealed = false;         ///< The answer lacks the backend server's seal.
};

/// One health probe of the backend server.
class BackendServerGate::Probe final : public BackendExchangeObserver
{
public:
    explicit Probe(BackendServerGate &owner)
        : m_owner(owner)
        , m_timer(owner.m_loop.get_executor())
    {}

    void start(const std::string &request)
    {
        m_connection =
                std::make_shared<BackendConnection>(m_owner.m_loop, m_owner.m_options.address,
                                                    m_owner.m_options.protocol.headerNames());
        expireAfter(m_timer, ProbeTimeout);
        m_timer.async_wait([this, weak = std::weak_ptr<Probe>(m_owner.m_probe)](
                                   const boost::system::error_code &error) {
            if (error || weak.lock() == nullptr)
                return;
            m_connection->close();
            finish();
        });
        m_connection->sendRequest(request, nullptr, {}, false, *this);
    }
    void close() { m_connection->close(); }

    void onResponseHead(const ResponseHead &head) override { m_head = head; }
    void onResponseBody(std::string data) override
    {
        m_bodyBytes += data.size();
        if (m_bodyBytes > DiscardedBodyLimit) {
            m_connection->close();
            finish();
        }
    }
    void onResponseComplete() override
    {
        const auto self = finish();
        const auto answer = m_owner.m_options.protocol.decodeHealthProbe(
                m_head.status, [this](std::string_view name) { return m_head.fields.find(name); });
        ServerLifecycle &lifecycle = m_owner.m_lifecycle;
        const bool isOfCurrent = !answer || answer->id == lifecycle.id();
        if (m_head.status == 503 && isOfCurrent)
            lifecycle.onUnhealthyProbe();
        if (!answer)
            return;
        if (answer->isHealthy && lifecycle.state() != ServerState::Ready)
            m_owner.applyLifecycleChange(
                    lifecycle.onHealthyProbe(answer->id, answer->load ? answer->load->slots : 0),
                    "probe");
        if (answer->id == lifecycle.id())
            m_owner.onServerNotice(m_head, {}, lifecycle.processNumber());
    }
    void onExchangeFailed(Reason, bool) override { finish(); }

private:
    /// Permits the next probe. The returned pointer keeps this object alive.
    std::shared_ptr<Probe> finish()
    {
        m_timer.cancel();
        return std::exchange(m_owner.m_probe, nullptr);
    }

    BackendServerGate &m_owner;
    std::shared_ptr<BackendConnection> m_connection;
    LoopTimer m_timer;
    ResponseHead m_head;
    std::size_t m_bodyBytes = 0;
};

BackendServerGate::BackendServerGate(asio::io_context &loop, Options options,
                                     GateListener &listener)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_listener(listener)
    , m_gate(slotLimitOf(InitialSlots), servingRanks(), QueueDiscipline::OnTimeFirst)
{}

BackendServerGate::~BackendServerGate()
{
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt->isRunning())
            attempt->connection()->close();
    }
    for (const auto &connection : m_idleConnections)
        connection->close();
    if (m_probe != nullptr)
        m_probe->close();
}

void BackendServerGate::setCatalogue(std::shared_ptr<const RouteCatalogue> catalogue)
{
    const bool isFirst = m_catalogue == nullptr;
    m_catalogue = std::move(catalogue);
    if (isFirst && m_lifecycle.state() != ServerState::Ready)
        probe();
}

GateReport BackendServerGate::report() const
{
    GateReport report;
    report.server = m_lifecycle.id();
    report.service = m_options.service;
    report.version = m_lifecycle.version();
    report.acceptsRequests = m_lifecycle.state() == ServerState::Ready && !m_isShuttingDown;
    const GateLoad load = m_gate.load(steadyNow());
    report.slots = load.limit;
    report.running = load.inUse;
    report.queued = load.queuedWithinShares;
    report.failureShare = m_failures.value();
    report.requestLimit = m_gate.rateLimit().report(load.queued, steadyNow());
    report.slowdown = m_slowdown.value();
    return report;
}

bool BackendServerGate::hasQueuedAttempts() const
{
    return m_gate.load(steadyNow()).queued > 0;
}

GateRequest BackendServerGate::gateRequestOf(const AttemptRequest &request) const
{
    GateRequest call;
    call.attempt = request.id;
    call.rank = servingRank(request.urgency, request.isCall);
    call.caller = CallerId(request.account.value());
    call.deadline = std::min(request.deadline, m_latestCompletion);
    // The run that made a call can use the answer until the call expires.
    call.objective = request.isCall ? call.deadline : request.objective;
    return call;
}

std::optional<Reason> BackendServerGate::reasonToRefuse(const AttemptRequest &request) const
{
    if (request.service != m_options.service || m_lifecycle.state() == ServerState::Absent)
        return Reason::NoBackendServer;
    if (m_lifecycle.state() == ServerState::Draining || m_isShuttingDown)
        return Reason::Draining;
    return std::nullopt;
}

absl::Time BackendServerGate::latestArrival(const AttemptRequest &request) const
{
    return m_gate.latestStart(gateRequestOf(request), steadyNow());
}

void BackendServerGate::open(AttemptRequest request, std::weak_ptr<AttemptObserver> observer)
{
    const AttemptId id = request.id;
    const GateRequest call = gateRequestOf(request);
    const std::optional<Reason> refusal = reasonToRefuse(request);
    m_attempts[id] = std::make_shared<GateAttempt>(*this, std::move(request), std::move(observer));
    if (refusal) {
        refuseAttempt(id, *refusal, absl::ZeroDuration());
        return;
    }
    if (!m_listener.admits(m_attempts.at(id)->request())) {
        refuseAttempt(id, Reason::RolloutExposure, absl::ZeroDuration());
        return;
    }
    applyGateActions(m_gate.submit(call, steadyNow()));
    m_listener.onGateStateChanged(false);
}

std::vector<RunInProgress> BackendServerGate::runsInProgress() const
{
    std::vector<RunInProgress> runs;
    for (const auto &[id, attempt] : m_attempts) {
        if (attempt->isRunning())
            runs.push_back({ attempt->request().deadline, attempt->request().isRepeat });
    }
    return runs;
}

void BackendServerGate::applyGateActions(const GateActions &step)
{
    for (const GateRefusal &refusal : step.refusals)
        refuseAttempt(refusal.attempt, refusal.reason, refusal.retryAfter);
    for (const AttemptId id : step.starts)
        startAttempt(id);
}

void BackendServerGate::refuseAttempt(AttemptId id, Reason reason, absl::Duration retryAfter)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    const auto attempt = it->second;
    m_attempts.erase(it);
    m_listener.onAttemptRefused(attempt->request().requestId, reason);
    const GateLoad load = m_gate.load(steadyNow());
    const bool isForLoad = reason != Reason::NoBackendServer && reason != Reason::Draining
                           && reason != Reason::Quarantined;
    attempt->reportFailure(
            { Verdict::NotRun, reason, false, retryAfter,
              isForLoad ? std::optional(GateDemand{ load.inUse, load.queuedWithinShares })
                        : std::nullopt });
}

std::string BackendServerGate::encodeHead(const AttemptRequest &request) const
{
    const auto timeLeftMs =
            std::max<std::int64_t>(1, absl::ToInt64Milliseconds(request.deadline - steadyNow()));
    return absl::StrCat(request.head, m_options.protocol.headerNames().deadlineMs, ": ", timeLeftMs,
                        "\r\n", m_options.protocol.headerNames().expectedServer, ": ",
                        m_lifecycle.id().value(), "\r\n\r\n");
}

void BackendServerGate::startAttempt(AttemptId id)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    const auto attempt = it->second;
    if (m_options.crashHistory.isQuarantined(attempt->request().content, steadyNow())) {
        refuseAttempt(id, Reason::Quarantined, absl::ZeroDuration());
        applyGateActions(m_gate.onRunEnded(id, RunOutcome::NotConnected, steadyNow()));
        return;
    }
    ++m_startedRequestCount;
    attempt->start(acquireConnection(attempt->request()), encodeHead(attempt->request()));
}

std::shared_ptr<BackendConnection>
BackendServerGate::acquireConnection(const AttemptRequest &request)
{
    const absl::Time now = steadyNow();
    for (std::size_t i = m_idleConnections.size(); i > 0; --i) {
        auto connection = m_idleConnections[i - 1];
        if (!connection->isClosed() && connection->hasRefused(request.requestId))
            continue;
        const auto remove = [&] {
            m_idleConnections.erase(m_idleConnections.begin() + static_cast<std::ptrdiff_t>(i - 1));
        };
        const absl::Duration idleLimit =
                request.isIdempotent ? std::min(DefaultIdleLimit,
                                                connection->keepAliveTimeout() - KeepAliveMargin)
                                     : NonIdempotentIdleLimit;
        if (connection->isReusable() && now - connection->idleSince() < idleLimit) {
            remove();
            return connection;
        }
        if (!connection->isClosed() && request.isIdempotent)
            connection->close();
        if (!connection->isClosed())
            break;
        remove();
    }
    return std::make_shared<BackendConnection>(m_loop, m_options.address,
                                               m_options.protocol.headerNames());
}

void BackendServerGate::releaseConnection(const std::shared_ptr<BackendConnection> &connection)
{
    if (!connection->isClosed())
        m_idleConnections.push_back(connection);
}

void BackendServerGate::onAttemptEnded(GateAttempt &attempt, RunOutcome outcome, bool isServerError)
{
    if (outcome == RunOutcome::Answered && !isServerError)
        m_failures.recordSuccess();
    else if (outcome != RunOutcome::NotConnected)
        m_failures.recordFailure();
    if (outcome == RunOutcome::Answered || outcome == RunOutcome::Failed)
        m_listener.onServerRunEnded(attempt.request(),
                                    outcome == RunOutcome::Answered && !isServerError
                                            ? ServerRunEnd::Answered
                                            : ServerRunEnd::Failed,
                                    attempt.serviceTime());
    const AttemptId id = attempt.request().id;
    releaseConnection(attempt.connection());
    m_attempts.erase(id);
    applyGateActions(m_gate.onRunEnded(id, outcome, steadyNow()));
    m_listener.onGateStateChanged(false);
}

bool BackendServerGate::cancel(AttemptId id)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return false;
    const auto attempt = it->second;
    m_attempts.erase(it);
    if (!attempt->isRunning()) {
        m_gate.cancel(id);
        return true;
    }
    m_listener.onServerRunEnded(attempt->request(), ServerRunEnd::GivenUp, attempt->serviceTime());
    // Closing the connection tells the backend server to stop.
    attempt->connection()->close();
    applyGateActions(m_gate.onRunEnded(id, RunOutcome::Failed, steadyNow()));
    m_listener.onGateStateChanged(false);
    return false;
}

void BackendServerGate::grantCredit(AttemptId id, std::size_t bytes)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    const auto attempt = it->second;
    attempt->grantCredit(bytes);
}

void BackendServerGate::updateSlots()
{
    m_gate.slotLimit().update(std::max(m_lifecycle.slots(), InitialSlots), absl::InfinitePast(),
                              absl::ZeroDuration());
}

void BackendServerGate::applyLifecycleChange(LifecycleChange change, std::string_view cause)
{
    resetForNewProcess();
    if (change == LifecycleChange::None || change == LifecycleChange::Stale) {
        if (change == LifecycleChange::None)
            updateSlots();
        return;
    }
    updateSlots();
    m_failures.reset();
    m_listener.onServerStateChanged(cause);
    if (m_lifecycle.state() == ServerState::Ready)
        m_gate.reopen();
    else
        applyGateActions(m_gate.drain(steadyNow()));
    m_listener.onGateStateChanged(true);
}

LifecycleChange BackendServerGate::onAnnouncement(const ServerAnnouncement &announcement)
{
    const LifecycleChange change = m_lifecycle.onAnnouncement(announcement, steadyNow());
    applyLifecycleChange(change, "announcement");
    if (m_lifecycle.needsProbe())
        probe();
    return change;
}

LifecycleChange BackendServerGate::onDeregistration(const BackendServerId &id)
{
    const LifecycleChange change = m_lifecycle.onDeregistration(id, absl::Now());
    applyLifecycleChange(change, "deregistration");
    return change;
}

void BackendServerGate::markDrained(const BackendServerId &id, std::int64_t startedUnixMs)
{
    applyLifecycleChange(m_lifecycle.markDrained(id, startedUnixMs), "drain-record");
}

void BackendServerGate::onDrainsRecalled()
{
    applyLifecycleChange(m_lifecycle.onDrainsRecalled(), "drains-recalled");
}

void BackendServerGate::onFirstStart()
{
    applyLifecycleChange(m_lifecycle.onFirstStart(), "first-start");
}

void BackendServerGate::onServerLost(std::string_view cause)
{
    for (const auto &connection : m_idleConnections)
        connection->close();
    m_idleConnections.clear();
    reportCrashes();
    applyLifecycleChange(m_lifecycle.onLost(), cause);
}

void BackendServerGate::onServerNotice(const ResponseHead &head, const std::string &requestId,
                                       std::uint64_t processNumber)
{
    const ServerNotice notice = m_options.protocol.decodeServerNotice(
            [&head](std::string_view name) { return head.fields.find(name); });
    if (processNumber != m_lifecycle.processNumber())
        return;
    if (notice.load)
        m_slowdown.record(notice.load->slowdown, steadyNow());
    if (notice.isLeaving && m_lifecycle.state() != ServerState::Draining) {
        const LifecycleChange change = m_lifecycle.onLeavingNotice(absl::Now());
        if (const DrainRecord *record = m_lifecycle.drains().find(m_lifecycle.id()))
            m_listener.onLeavingNotice(requestId, *record);
        applyLifecycleChange(change, "answer");
    }
    if (notice.hasUnreadableLimit) {
        m_listener.onRequestLimitUnreadable();
        return;
    }
    // An answer without a seal, such as one with garbled fields, does not show that a limit ended.
    const PlatformHeaderNames &names = m_options.protocol.headerNames();
    const bool isComplete = head.fields.find(names.answerSeal).has_value()
                            || head.fields.find(names.notExecuted).has_value();
    if (!notice.requestLimit && !isComplete)
        return;
    m_hasServerNotice = true;
    m_recalledLimits.clear();
    if (notice.requestLimit == requestLimit())
        return;
    applyGateActions(m_gate.setRequestLimit(notice.requestLimit, steadyNow()));
    m_listener.onRequestLimitChanged();
    m_listener.onGateStateChanged(true);
}

void BackendServerGate::resetForNewProcess()
{
    if (m_gateProcessNumber == m_lifecycle.processNumber())
        return;
    m_gateProcessNumber = m_lifecycle.processNumber();
    reportCrashes();
    m_hasServerNotice = false;
    m_slowdown.reset();
    if (requestLimit()) {
        m_gate.resetRequestLimit();
        m_listener.onRequestLimitChanged();
    }
    applyRecalledLimit();
}

ServerProcess BackendServerGate::currentProcess() const
{
    return ServerProcess(hashOf(m_lifecycle.id().value(),
                                static_cast<std::uint64_t>(m_lifecycle.startedUnixMs())));
}

void BackendServerGate::onAnswerLost(const GateAttempt &attempt)
{
    // A server that has drained exits by itself, whatever it still runs.
    if (m_lifecycle.state() != ServerState::Draining)
        m_crashDetector.onAnswerLost(attempt.request().content, currentProcess(), steadyNow());
}

void BackendServerGate::reportCrashes()
{
    for (const ServerCrash &crash : m_crashDetector.onServerEnded(steadyNow())) {
        if (m_options.crashHistory.charge(crash, steadyNow()))
            m_listener.onServerCrashed(crash);
        else if (const auto answerAge =
                         m_options.crashHistory.protectingAnswerAge(crash.content, steadyNow()))
            m_listener.onCrashNotCharged(crash, *answerAge);
    }
}

void BackendServerGate::recallRequestLimit(const BackendServerId &id, double requestsPerSecond)
{
    if (m_hasServerNotice)
        return;
    const auto [it, isNew] = m_recalledLimits.try_emplace(id, requestsPerSecond);
    it->second = std::min(it->second, requestsPerSecond);
    applyRecalledLimit();
}

void BackendServerGate::applyRecalledLimit()
{
    const auto it = m_recalledLimits.find(m_lifecycle.id());
    if (it == m_recalledLimits.end() || requestLimit() == it->second)
        return;
    applyGateActions(m_gate.setRequestLimit(it->second, steadyNow()));
    m_listener.onRequestLimitChanged();
}

void BackendServerGate::probe()
{
    if (m_catalogue == nullptr || m_probe != nullptr)
        return;
    const TrafficService *service = m_catalogue->service(m_options.service);
    if (service == nullptr)
        return;
    m_probe = std::make_shared<Probe>(*this);
    m_gate.onExternalRequest(steadyNow());
    const std::string text =
            absl::StrCat("GET ", service->healthPath,
                         " HTTP/1.1\r\nHost: ", m_options.address.address().to_string(),
                         "\r\nConnection: close\r\n\r\n");
    m_probe->start(text);
}

void BackendServerGate::beginShutdown()
{
    m_isShuttingDown = true;
    applyGateActions(m_gate.drain(steadyNow()));
    m_listener.onGateStateChanged(true);
}

void BackendServerGate::tick()
{
    const absl::Time now = steadyNow();
    applyGateActions(m_gate.tick(now));
    std::erase_if(m_idleConnections, [&](const std::shared_ptr<BackendConnection> &connection) {
        const absl::Duration idleLimit =
                std::min(DefaultIdleLimit, connection->keepAliveTimeout() - KeepAliveMargin);
        if (!connection->isClosed() && now - connection->idleSince() > idleLimit)
            connection->close();
        return connection->isClosed();
    });
}

AttemptId LocalGateway::gateAttemptId(AttemptId id) const
{
    return AttemptId((std::uint64_t(m_sourceNumber) << SourceAttemptIdBits) | id.value());
}

AttemptId LocalGateway::sourceAttemptId(AttemptId id)
{
    return AttemptId(id.value() & ((std::uint64_t(1) << SourceAttemptIdBits) - 1));
}

void LocalGateway::open(AttemptRequest request, std::weak_ptr<AttemptObserver> observer)
{
    request.id = gateAttemptId(request.id);
    m_gate.open(std::move(request), std::move(observer));
}

bool LocalGateway::cancel(AttemptId id)
{
    return m_gate.cancel(gateAttemptId(id));
}

void LocalGateway::grantCredit(AttemptId id, std::size_t bytes)
{
    m_gate.grantCredit(gateAttemptId(id), bytes);
}

} // namespace godwitlift
