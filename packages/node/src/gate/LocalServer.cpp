/// \file
/// Attempts through the gate, and the life cycle of the backend server behind it.
#include "gate/LocalServer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace godwitlift {

namespace {

/// Idle time up to which a connection carries a request that may run only once: a connection that
/// was just used is certainly known at the other end.
constexpr absl::Duration FreshIdleTime = absl::Seconds(1);
/// Idle time up to which a connection is used again if its backend server states none.
constexpr absl::Duration DefaultIdleTime = absl::Seconds(5);
/// Idle connections are given up this long before their backend server closes them.
constexpr absl::Duration KeepAliveMargin = absl::Seconds(1);
/// Slots assumed until the backend server has announced itself.
constexpr std::uint32_t UnknownSlots = 1;
/// Requests of one urgency that may wait at the gate; the deadline bounds the queue long before.
constexpr std::uint32_t QueueLimit = 512;

RankId rankOf(int urgency)
{
    return RankId(absl::StrCat("urgency-", urgency));
}

std::map<RankId, Rank> ranksOf(int leastUrgent)
{
    std::map<RankId, Rank> ranks;
    for (int urgency = 0; urgency <= leastUrgent; ++urgency) {
        Rank rank;
        rank.id = rankOf(urgency);
        rank.urgency = urgency;
        rank.queueLimit = QueueLimit;
        ranks.emplace(rank.id, rank);
    }
    return ranks;
}

/// Urgencies that have a queue of their own; what is less urgent shares the last one.
constexpr int LeastUrgency = 7;

/// Part of the announced slots that is used whatever the backend server sheds: the announcement is
/// exact and this gate is the only way to the server, so that what it sheds has another cause.
constexpr double LeastSlotShare = 1;

SlotLimit limitOf(std::uint32_t slots)
{
    return { slots, absl::InfinitePast(), absl::ZeroDuration(), LeastSlotShare };
}

} // namespace

/// One attempt at the gate, from its arrival to its end.
class GateRun final : public BackendExchangeObserver
{
public:
    GateRun(LocalServer &server, AttemptOrder order, std::weak_ptr<AttemptObserver> observer)
        : m_server(server)
        , m_order(std::move(order))
        , m_observer(std::move(observer))
    {}

    const AttemptOrder &order() const { return m_order; }
    AttemptId sourceId() const { return GateDoor::sourceId(m_order.id); }
    const std::shared_ptr<BackendConnection> &connection() const { return m_connection; }
    bool isRunning() const { return m_connection != nullptr; }

    void run(std::shared_ptr<BackendConnection> connection, std::string text)
    {
        m_connection = std::move(connection);
        m_started = steadyNow();
        m_connection->run(std::move(text), m_order.requestId, m_order.isHeadMethod, *this);
    }

    void grant(std::size_t bytes)
    {
        m_unacknowledged -= std::min(bytes, m_unacknowledged);
        if (m_connection != nullptr && m_unacknowledged < AnswerWindow)
            m_connection->setReading(true);
    }

    void report(const AttemptFailure &failure)
    {
        if (const auto observer = m_observer.lock())
            observer->attemptFailed(sourceId(), failure);
    }

    void responseHead(const ResponseHead &head) override
    {
        const ExchangeFieldNames &names = m_server.m_options.protocol.fieldNames();
        if (head.fields.find(names.notRunMark) || head.status == 421) {
            m_refusedStatus = head.status;
            return;
        }
        m_isServerError = head.status >= 500;
        AnswerHead answer;
        answer.status = head.status;
        answer.phrase = head.reasonPhrase;
        answer.contentLength = head.contentLength;
        answer.isSealed = head.fields.find(names.answerSeal).has_value();
        appendEndToEndFields(head.fields, {}, answer.fields);
        if (!answer.isSealed) {
            m_isUnsealed = true;
            return;
        }
        if (const auto observer = m_observer.lock())
            observer->answerHead(sourceId(), std::move(answer));
    }

    void responseBody(std::string data) override
    {
        if (m_refusedStatus != 0 || m_isUnsealed)
            return;
        m_unacknowledged += data.size();
        if (m_unacknowledged >= AnswerWindow)
            m_connection->setReading(false);
        if (const auto observer = m_observer.lock())
            observer->answerBody(sourceId(), std::move(data));
    }

    void responseComplete() override
    {
        const auto self = m_server.m_runs.find(m_order.id)->second; // Outlives its removal.
        if (m_refusedStatus != 0) {
            const bool isOther = m_refusedStatus == 421;
            m_server.runEnded(*this, isOther ? RunOutcome::Failed : RunOutcome::Shed);
            report({ Verdict::NotRun, isOther ? Reason::NoBackendServer : Reason::Shed, true,
                     absl::ZeroDuration() });
            if (isOther)
                m_server.serverLost("address-reused");
            return;
        }
        if (m_isUnsealed) {
            m_server.runEnded(*this, RunOutcome::Failed);
            report({ Verdict::MayHaveRun, Reason::AnswerMismatched, true, absl::ZeroDuration() });
            return;
        }
        const GateTimes times{ m_started - m_arrived, steadyNow() - m_started };
        m_server.runEnded(*this, RunOutcome::Answered, m_isServerError);
        if (const auto observer = m_observer.lock())
            observer->answerComplete(sourceId(), times);
    }

    void exchangeFailed(Reason reason, bool wasSent) override
    {
        const auto self = m_server.m_runs.find(m_order.id)->second; // Outlives its removal.
        m_server.runEnded(*this, wasSent ? RunOutcome::Failed : RunOutcome::NotConnected);
        report({ wasSent ? Verdict::MayHaveRun : Verdict::NotRun, reason, wasSent,
                 absl::ZeroDuration() });
        if (!wasSent)
            m_server.serverLost("connect-failed");
    }

private:
    LocalServer &m_server;
    AttemptOrder m_order;
    std::weak_ptr<AttemptObserver> m_observer;
    std::shared_ptr<BackendConnection> m_connection; ///< Set from the start on.
    absl::Time m_arrived = steadyNow();
    absl::Time m_started;
    std::size_t m_unacknowledged = 0; ///< Body bytes passed on and not granted yet.
    unsigned m_refusedStatus = 0;     ///< The backend server says that it did not run the request.
    bool m_isServerError = false;     ///< The backend server answered with a failure of its own.
    bool m_isUnsealed = false;        ///< The answer is not the backend server's own.
};

/// One question to the backend server about itself.
class LocalServer::Probe final : public BackendExchangeObserver
{
public:
    explicit Probe(LocalServer &server)
        : m_server(server)
    {}
    void responseHead(const ResponseHead &head) override { m_head = head; }
    void responseBody(std::string) override {}
    void responseComplete() override
    {
        const auto self = m_server.m_probe;
        m_server.m_probe.reset();
        const auto answer = m_server.m_options.protocol.decodeProbe(
                m_head.status, [this](std::string_view name) { return m_head.fields.find(name); });
        if (!answer || !answer->isHealthy || m_server.m_lifecycle.state() == ServerState::Ready)
            return;
        ServerAnnouncement announcement;
        announcement.id = answer->id;
        announcement.slots = answer->slots;
        m_server.applyChange(m_server.m_lifecycle.onAnnouncement(announcement, steadyNow()),
                             "probe");
    }
    void exchangeFailed(Reason, bool) override
    {
        const auto self = m_server.m_probe;
        m_server.m_probe.reset();
    }

    std::shared_ptr<BackendConnection> connection;

private:
    LocalServer &m_server;
    ResponseHead m_head;
};

LocalServer::LocalServer(asio::io_context &loop, Options options, GateListener &listener)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_listener(listener)
    , m_gate(limitOf(UnknownSlots), ranksOf(LeastUrgency), QueueDiscipline::OnTimeFirst)
{}

LocalServer::~LocalServer()
{
    for (const auto &[id, run] : m_runs) {
        if (run->isRunning())
            run->connection()->close();
    }
    for (const auto &connection : m_idle)
        connection->close();
    if (m_probe != nullptr)
        m_probe->connection->close();
}

void LocalServer::setCatalogue(std::shared_ptr<const RouteCatalogue> catalogue)
{
    const bool isFirst = m_catalogue == nullptr;
    m_catalogue = std::move(catalogue);
    if (isFirst && m_lifecycle.state() != ServerState::Ready)
        probe();
}

GateReport LocalServer::report() const
{
    GateReport report;
    report.server = m_lifecycle.id();
    report.service = m_options.service;
    report.acceptsRequests = m_lifecycle.state() == ServerState::Ready && !m_isLeaving;
    const GateLoad load = m_gate.load(steadyNow());
    report.slots = load.limit;
    report.running = load.inUse;
    report.queued = load.queued;
    report.failureShare = m_failures.value();
    return report;
}

bool LocalServer::hasWaiting() const
{
    return m_gate.load(steadyNow()).queued > 0;
}

void LocalServer::open(AttemptOrder order, std::weak_ptr<AttemptObserver> observer)
{
    const AttemptId id = order.id;
    GateRequest call;
    call.attempt = id;
    call.rank = rankOf(std::clamp(order.urgency, 0, LeastUrgency));
    call.deadline = order.deadline;
    call.objective = order.objective;
    const bool isOtherService = order.service != m_options.service;
    m_runs[id] = std::make_shared<GateRun>(*this, std::move(order), std::move(observer));
    if (isOtherService || m_lifecycle.state() == ServerState::Absent) {
        refuse(id, Reason::NoBackendServer, absl::ZeroDuration());
        return;
    }
    if (m_lifecycle.state() == ServerState::Draining || m_isLeaving) {
        refuse(id, Reason::Draining, absl::ZeroDuration());
        return;
    }
    carryOut(m_gate.submit(call, steadyNow()));
    m_listener.gateChanged(false);
}

void LocalServer::carryOut(const GateActions &step)
{
    for (const GateRefusal &refusal : step.refusals)
        refuse(refusal.attempt, refusal.reason, refusal.retryAfter);
    for (const AttemptId id : step.starts)
        start(id);
}

void LocalServer::refuse(AttemptId id, Reason reason, absl::Duration retryAfter)
{
    const auto it = m_runs.find(id);
    if (it == m_runs.end())
        return;
    const auto run = it->second;
    m_runs.erase(it);
    m_listener.gateRefused(run->order().requestId, reason);
    run->report({ Verdict::NotRun, reason, false, retryAfter });
}

std::string LocalServer::requestText(const AttemptOrder &order) const
{
    const auto left =
            std::max<std::int64_t>(1, absl::ToInt64Milliseconds(order.deadline - steadyNow()));
    std::string text = absl::StrCat(order.head, m_options.protocol.fieldNames().deadlineMs, ": ",
                                    left, "\r\n", m_options.protocol.fieldNames().expectedServer,
                                    ": ", m_lifecycle.id().value(), "\r\n\r\n");
    text += *order.body;
    return text;
}

void LocalServer::start(AttemptId id)
{
    const auto it = m_runs.find(id);
    if (it == m_runs.end())
        return;
    const auto run = it->second;
    run->run(connectionFor(run->order()), requestText(run->order()));
}

std::shared_ptr<BackendConnection> LocalServer::connectionFor(const AttemptOrder &order)
{
    const absl::Time now = steadyNow();
    while (!m_idle.empty()) {
        auto connection = m_idle.back();
        const absl::Duration usable =
                order.isIdempotent
                        ? std::min(DefaultIdleTime, connection->keepAlive() - KeepAliveMargin)
                        : FreshIdleTime;
        if (connection->isReusable() && now - connection->idleSince() < usable) {
            m_idle.pop_back();
            return connection;
        }
        if (!connection->isClosed() && order.isIdempotent)
            connection->close();
        if (!connection->isClosed())
            break;
        m_idle.pop_back();
    }
    return std::make_shared<BackendConnection>(m_loop, m_options.address,
                                               m_options.protocol.fieldNames());
}

void LocalServer::release(const std::shared_ptr<BackendConnection> &connection)
{
    if (!connection->isClosed())
        m_idle.push_back(connection);
}

void LocalServer::runEnded(GateRun &run, RunOutcome end, bool isServerError)
{
    if (end == RunOutcome::Answered && !isServerError)
        m_failures.recordSuccess();
    else if (end != RunOutcome::NotConnected)
        m_failures.recordFailure();
    const AttemptId id = run.order().id;
    release(run.connection());
    m_runs.erase(id);
    carryOut(m_gate.onRunEnded(id, end, steadyNow()));
    m_listener.gateChanged(false);
}

void LocalServer::cancel(AttemptId id)
{
    const auto it = m_runs.find(id);
    if (it == m_runs.end())
        return;
    const auto run = it->second;
    m_runs.erase(it);
    if (!run->isRunning()) {
        m_gate.cancel(id);
        return;
    }
    // Closing the connection tells the backend server to stop.
    run->connection()->close();
    carryOut(m_gate.onRunEnded(id, RunOutcome::Failed, steadyNow()));
    m_listener.gateChanged(false);
}

void LocalServer::grant(AttemptId id, std::size_t bytes)
{
    const auto it = m_runs.find(id);
    if (it == m_runs.end())
        return;
    const auto run = it->second;
    run->grant(bytes);
}

void LocalServer::updateSlots()
{
    m_gate.slotLimit().update(std::max(m_lifecycle.slots(), UnknownSlots), absl::InfinitePast(),
                              absl::ZeroDuration());
}

void LocalServer::applyChange(LifecycleChange change, std::string_view cause)
{
    if (change == LifecycleChange::None || change == LifecycleChange::Stale) {
        if (change == LifecycleChange::None)
            updateSlots();
        return;
    }
    updateSlots();
    m_failures.reset();
    m_listener.serverStateChanged(cause);
    if (m_lifecycle.state() == ServerState::Ready)
        m_gate.reopen();
    else
        carryOut(m_gate.drain(steadyNow()));
    m_listener.gateChanged(true);
}

LifecycleChange LocalServer::announced(const ServerAnnouncement &announcement)
{
    const LifecycleChange change = m_lifecycle.onAnnouncement(announcement, steadyNow());
    applyChange(change, "announcement");
    return change;
}

LifecycleChange LocalServer::deregistered(const BackendServerId &id)
{
    const LifecycleChange change = m_lifecycle.onDeregistration(id);
    applyChange(change, "deregistration");
    return change;
}

void LocalServer::recallDrained(const BackendServerId &id, std::int64_t startedUnixMs)
{
    const ServerState before = m_lifecycle.state();
    m_lifecycle.markDrained(id, startedUnixMs);
    if (m_lifecycle.state() != before)
        applyChange(LifecycleChange::Draining, "drain-record");
}

void LocalServer::serverLost(std::string_view cause)
{
    for (const auto &connection : m_idle)
        connection->close();
    m_idle.clear();
    applyChange(m_lifecycle.onLost(), cause);
}

void LocalServer::probe()
{
    if (m_catalogue == nullptr || m_probe != nullptr)
        return;
    const TrafficService *service = m_catalogue->service(m_options.service);
    if (service == nullptr)
        return;
    m_probe = std::make_shared<Probe>(*this);
    m_probe->connection = std::make_shared<BackendConnection>(m_loop, m_options.address,
                                                              m_options.protocol.fieldNames());
    const std::string text =
            absl::StrCat("GET ", service->healthPath,
                         " HTTP/1.1\r\nHost: ", m_options.address.address().to_string(),
                         "\r\nConnection: close\r\n\r\n");
    m_probe->connection->run(text, {}, false, *m_probe);
}

void LocalServer::beginLeaving()
{
    m_isLeaving = true;
    carryOut(m_gate.drain(steadyNow()));
    m_listener.gateChanged(true);
}

void LocalServer::tick()
{
    const absl::Time now = steadyNow();
    carryOut(m_gate.tick(now));
    std::erase_if(m_idle, [&](const std::shared_ptr<BackendConnection> &connection) {
        const absl::Duration usable =
                std::min(DefaultIdleTime, connection->keepAlive() - KeepAliveMargin);
        if (!connection->isClosed() && now - connection->idleSince() > usable)
            connection->close();
        return connection->isClosed();
    });
}

AttemptId GateDoor::gateId(AttemptId id) const
{
    return AttemptId((std::uint64_t(m_source) << SourceShift) | id.value());
}

AttemptId GateDoor::sourceId(AttemptId id)
{
    return AttemptId(id.value() & ((std::uint64_t(1) << SourceShift) - 1));
}

void GateDoor::open(AttemptOrder order, std::weak_ptr<AttemptObserver> observer)
{
    order.id = gateId(order.id);
    m_server.open(std::move(order), std::move(observer));
}

void GateDoor::cancel(AttemptId id)
{
    m_server.cancel(gateId(id));
}

void GateDoor::grant(AttemptId id, std::size_t bytes)
{
    m_server.grant(gateId(id), bytes);
}

} // namespace godwitlift
