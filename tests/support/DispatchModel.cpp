/// \file
/// Events of the dispatch model.
#include "DispatchModel.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace godwitlift {

namespace {

const ServiceId Desk("desk");
const RouteId Lookup("lookup");
const ZoneId North("north");
const absl::Time Start = absl::UnixEpoch() + absl::Hours(1);
/// Bounds of the time to come back, as the ingress states it.
constexpr absl::Duration ShortestReturn = absl::Milliseconds(50);
constexpr absl::Duration LongestReturn = absl::Seconds(2);
/// Pause between two looks at a gate's queue.
constexpr absl::Duration QueuePause = absl::Milliseconds(20);
/// Work that each request takes at least, as a share of the mean; the rest is exponential.
constexpr double FixedShare = 0.5;

HostId hostOf(std::size_t index)
{
    return HostId(absl::StrCat("host-", index));
}

} // namespace

struct DispatchModel::Request
{
    std::size_t ingress = 0;
    absl::Time arrived;
    std::set<HostId> tried;
    std::size_t server = 0;
    std::uint32_t turnedAway = 0;
    std::uint32_t serversReached = 0;
    bool hasReturned = false;
    absl::Time started;
    std::uint64_t attempt = 0;
};

struct DispatchModel::Server
{
    explicit Server(const DispatchScenario &scenario)
        : gate(SlotLimit(scenario.slots, Start - absl::Hours(1), absl::ZeroDuration(),
                         scenario.limitFloor),
               {}, QueueDiscipline::OnTimeFirst)
    {}

    GateReport report(std::size_t index, absl::Time now) const
    {
        const GateLoad load = gate.load(now);
        GateReport report;
        report.server = BackendServerId(absl::StrCat("server-", index));
        report.service = Desk;
        report.takesWork = true;
        report.slots = load.limit;
        report.running = load.inUse;
        report.queued = load.queued;
        return report;
    }

    Gate gate;
    double slowness = 1;
};

struct DispatchModel::Ingress
{
    explicit Ingress(const DispatchScenario &scenario, std::uint64_t seed)
        : random(seed)
        , selector(random)
        , budget(scenario.retryRule)
    {
        selector.setOwnZone(North);
    }

    SeededRandom random;
    FinishTimeSelector selector;
    WindowedRetryBudget budget;
};

DispatchModel::DispatchModel(const DispatchScenario &scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
    , m_now(Start)
    , m_end(Start + scenario.length)
{
    for (std::size_t i = 0; i < scenario.hosts; ++i) {
        m_servers.push_back(std::make_unique<Server>(scenario));
        m_servers.back()->slowness = 1 + scenario.speedSpread * (2 * m_random.unit() - 1);
        m_ingresses.push_back(std::make_unique<Ingress>(scenario, m_random.next()));
    }
    for (const auto &ingress : m_ingresses) {
        for (std::size_t i = 0; i < scenario.hosts; ++i) {
            ingress->selector.hostSeen(hostOf(i), North);
            ingress->selector.report(hostOf(i), m_servers[i]->report(i, m_now), m_now);
        }
    }
}

DispatchModel::~DispatchModel() = default;

void DispatchModel::plan(absl::Duration delay, std::function<void()> action)
{
    m_events.push({ m_now + delay, ++m_lastId, std::move(action) });
}

DispatchResult DispatchModel::run()
{
    for (std::size_t i = 0; i < m_servers.size(); ++i)
        plan(m_scenario.reportPause * m_random.unit(), [this, i] { broadcast(i); });
    plan(absl::ZeroDuration(), [this] { arrive(); });
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    std::sort(m_latencies.begin(), m_latencies.end());
    if (!m_latencies.empty())
        m_result.p99 = m_latencies[m_latencies.size() * 99 / 100];
    return m_result;
}

void DispatchModel::arrive()
{
    if (m_now >= m_end)
        return;
    auto request = std::make_shared<Request>();
    request->ingress = m_random.below(m_ingresses.size());
    request->arrived = m_now;
    ++m_result.offered;
    attempt(request);
    const double perSecond = m_scenario.utilization * static_cast<double>(m_scenario.slots)
                             * static_cast<double>(m_servers.size())
                             / absl::ToDoubleSeconds(m_scenario.meanService);
    plan(absl::Seconds(-std::log(1 - m_random.unit()) / perSecond), [this] { arrive(); });
}

void DispatchModel::attempt(const std::shared_ptr<Request> &request)
{
    Ingress &ingress = *m_ingresses[request->ingress];
    if (request->tried.empty())
        ingress.budget.requestArrived(m_now);
    const auto choice = ingress.selector.select(Desk, Lookup, request->tried, m_now);
    if (!choice) {
        refuse(request, ShortestReturn);
        return;
    }
    request->tried.insert(choice->host);
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (hostOf(i) == choice->host)
            request->server = i;
    }
    ingress.selector.sent(choice->host, Lookup);
    plan(m_scenario.transit, [this, request] { atGate(request->server, request); });
}

void DispatchModel::atGate(std::size_t server, const std::shared_ptr<Request> &request)
{
    request->attempt = ++m_lastId;
    m_atGates[request->attempt] = request;
    GateRequest call;
    call.attempt = AttemptId(request->attempt);
    call.deadline = request->arrived + m_scenario.deadline;
    call.objective = request->arrived + m_scenario.objective;
    apply(server, m_servers[server]->gate.submit(call, m_now));
    plan(QueuePause, [this, server] { apply(server, m_servers[server]->gate.tick(m_now)); });
}

absl::Duration DispatchModel::drawService(std::size_t server)
{
    const double exponential = -std::log(1 - m_random.unit());
    return m_scenario.meanService * m_servers[server]->slowness
           * (FixedShare + (1 - FixedShare) * exponential);
}

void DispatchModel::apply(std::size_t server, const GateActions &step)
{
    for (const GateRefusal &refusal : step.refusals) {
        const auto request = m_atGates.extract(refusal.attempt.value()).mapped();
        ++m_result.gateRefusals;
        ++request->turnedAway;
        plan(m_scenario.transit, [this, request, retryAfter = refusal.retryAfter] {
            attemptEnded(request, AttemptOutcome::Refused, absl::ZeroDuration(), retryAfter);
        });
    }
    for (const AttemptId id : step.starts) {
        const auto request = m_atGates.extract(id.value()).mapped();
        const bool isShed = m_random.unit() < m_scenario.shedShare;
        const absl::Duration service = isShed ? absl::Milliseconds(1) : drawService(server);
        plan(service, [this, server, request, id, isShed, service] {
            apply(server, m_servers[server]->gate.onRunEnded(
                                  id, isShed ? RunOutcome::Shed : RunOutcome::Answered, m_now));
            ++request->serversReached;
            const GateLoad load = m_servers[server]->gate.load(m_now);
            plan(m_scenario.transit, [this, server, request, isShed, service, load] {
                attemptEnded(request, isShed ? AttemptOutcome::Failed : AttemptOutcome::Answered,
                             service, absl::ZeroDuration());
                if (!isShed)
                    m_ingresses[request->ingress]->selector.loadReported(
                            hostOf(server), load.inUse, load.queued, absl::ZeroDuration());
            });
        });
    }
}

void DispatchModel::attemptEnded(const std::shared_ptr<Request> &request, AttemptOutcome outcome,
                                 absl::Duration service, absl::Duration retryAfter)
{
    Ingress &ingress = *m_ingresses[request->ingress];
    ingress.selector.ended(hostOf(request->server), Lookup, outcome, service, 0, m_now);
    const absl::Duration latency = m_now - request->arrived;
    if (outcome == AttemptOutcome::Answered) {
        m_latencies.push_back(latency);
        ++(latency <= m_scenario.objective ? m_result.inTime : m_result.late);
        return;
    }
    const bool mayRetry = outcome == AttemptOutcome::Refused
                                  ? request->turnedAway < m_scenario.turnedAwayLimit
                                  : request->serversReached < 2
                                            && ingress.budget.trySpend(m_now, m_ingresses.size());
    if (mayRetry) {
        attempt(request);
        return;
    }
    refuse(request, retryAfter);
}

void DispatchModel::refuse(const std::shared_ptr<Request> &request, absl::Duration retryAfter)
{
    const absl::Duration pause = std::clamp(retryAfter, ShortestReturn, LongestReturn);
    if (request->hasReturned || m_now + pause > request->arrived + m_scenario.deadline) {
        ++m_result.refused;
        return;
    }
    request->hasReturned = true;
    request->tried.clear();
    request->turnedAway = 0;
    request->serversReached = 0;
    request->ingress = m_random.below(m_ingresses.size());
    plan(pause, [this, request] { attempt(request); });
}

void DispatchModel::broadcast(std::size_t server)
{
    const GateReport report = m_servers[server]->report(server, m_now);
    plan(m_scenario.transit, [this, server, report] {
        for (const auto &ingress : m_ingresses)
            ingress->selector.report(hostOf(server), report, m_now);
    });
    if (m_now < m_end)
        plan(m_scenario.reportPause, [this, server] { broadcast(server); });
}

} // namespace godwitlift
