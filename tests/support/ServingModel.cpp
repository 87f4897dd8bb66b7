/// \file
/// Calls through ingresses and gates to fake backend servers.
#include "ServingModelParts.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace godwitlift::test {

namespace {

constexpr absl::Duration TickPeriod = absl::Milliseconds(10);
constexpr absl::Duration NearDelay = absl::Microseconds(200);
constexpr absl::Duration FarDelay = absl::Microseconds(1500);
constexpr double ServiceSpread = 0.5; ///< Sigma of the lognormal service times.
const BackendServerId Server("server");

} // namespace

/// What every node knows of the hosts.
struct ServingModel::Owners final : public MemberLookup
{
    const ServingModel &model;
    explicit Owners(const ServingModel &owner)
        : model(owner)
    {}
    std::optional<MemberHost> find(const HostId &host) const override
    {
        const Host &found = *model.m_hosts[model.hostIndex(host)];
        if (!found.isAlive)
            return std::nullopt;
        return MemberHost{ Address(host.value()), found.incarnation };
    }
};

double RankResult::latency(double quantile) const
{
    if (seconds.empty())
        return 0;
    std::vector<double> sorted = seconds;
    const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                     sorted.end());
    return sorted[rank];
}

ServingModel::ServingModel(ServingModelSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_accounted(time.now())
{
    m_owners = std::make_unique<Owners>(*this);
    for (int i = 0; i < m_settings.instances; ++i) {
        auto host = std::make_unique<Host>();
        host->id = HostId(absl::StrCat("host-", i));
        host->zone = m_settings.zones[static_cast<std::size_t>(i) % m_settings.zones.size()];
        m_hosts.push_back(std::move(host));
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        restart(i);
    compileTables();
}

ServingModel::~ServingModel() = default;

std::size_t ServingModel::hostIndex(const HostId &host) const
{
    return static_cast<std::size_t>(std::stoul(host.value().substr(5)));
}

bool ServingModel::isReachable(std::size_t from, std::size_t to) const
{
    const std::string &a = m_hosts[from]->zone;
    const std::string &b = m_hosts[to]->zone;
    return a == b || (!m_cutZones.contains(a) && !m_cutZones.contains(b));
}

absl::Duration ServingModel::delay(std::size_t from, std::size_t to) const
{
    return m_hosts[from]->zone == m_hosts[to]->zone ? NearDelay : FarDelay;
}

void ServingModel::compileTables()
{
    HostDirectory directory;
    for (const auto &host : m_hosts) {
        HostRecord record;
        record.host = host->id;
        record.zone = ZoneId(host->zone);
        record.region = RegionId("region");
        record.address = Address(host->id.value());
        record.stamp.incarnation = host->incarnation;
        record.stamp.liveness = host->isAlive ? Liveness::Alive : Liveness::Dead;
        BackendServer server;
        server.id = Server;
        server.service = m_settings.service;
        server.address = Address("127.0.0.1:1");
        server.slots = m_settings.slots;
        server.state = host->isDrained ? BackendServerState::Draining : BackendServerState::Ready;
        record.backendServers = { server };
        directory.merge(record, time.now());
    }
    auto configuration = std::make_shared<VersionedConfiguration>();
    configuration->version = Version(1);
    configuration->content = m_settings.configuration;
    for (const auto &host : m_hosts) {
        host->table = RoutingTable::compile(configuration, directory, ZoneId(host->zone),
                                            RegionId("region"));
        if (!host->isAlive)
            continue;
        host->ingress->setRoutingTable(host->table);
        const HostRecord *record = directory.find(host->id);
        carryOut(hostIndex(host->id),
                 host->gates->updateServers(record->backendServers, *host->table, time.now()));
    }
}

void ServingModel::restart(std::size_t index)
{
    Host &host = *m_hosts[index];
    accountCapacity();
    ++host.life;
    host.incarnation = host.incarnation.next();
    host.isAlive = true;
    host.isPaused = false;
    host.delayed.clear();
    host.random = std::make_unique<SeededRandom>(m_random.next());
    host.ingress = std::make_unique<Ingress>(host.id, host.incarnation, m_settings.ingress,
                                             *m_owners, *host.random);
    host.gates = std::make_unique<HostGates>(m_settings.discipline);
    host.tickets.clear();
    tick(index, host.life);
    if (host.table != nullptr)
        compileTables();
}

void ServingModel::tick(std::size_t index, std::uint64_t life)
{
    time.scheduleAfter(TickPeriod, [this, index, life] {
        Host &host = *m_hosts[index];
        if (host.life != life || !host.isAlive)
            return;
        if (!host.isPaused) {
            carryOut(index, host.ingress->tick(time.now()));
            carryOut(index, host.gates->tick(time.now()));
        }
        tick(index, life);
    });
}

void ServingModel::accountCapacity()
{
    const double seconds = absl::ToDoubleSeconds(time.now() - m_accounted);
    for (const auto &host : m_hosts) {
        if (host->isAlive && !host->isDrained)
            m_capacitySeconds += seconds * m_settings.slots;
    }
    m_accounted = time.now();
}

double ServingModel::workShare() const
{
    double capacity = m_capacitySeconds;
    for (const auto &host : m_hosts) {
        if (host->isAlive && !host->isDrained)
            capacity += absl::ToDoubleSeconds(time.now() - m_accounted) * m_settings.slots;
    }
    return capacity == 0 ? 0 : m_workSeconds / capacity;
}

void ServingModel::startPeriod()
{
    ++m_period;
    m_isCounting = true;
    accountCapacity();
    m_results.clear();
    m_workSeconds = 0;
    m_capacitySeconds = 0;
}

TruthCheck ServingModel::truth() const
{
    TruthCheck truth = m_truth;
    for (const auto &entry : m_keyRuns)
        truth.keysRunTwice += entry.second > 1 ? 1 : 0;
    truth.unanswered = m_calls.size();
    return truth;
}

std::uint64_t ServingModel::timesRun(const IdempotencyKey &key) const
{
    const auto it = m_keyRuns.find(key);
    return it == m_keyRuns.end() ? 0 : it->second;
}

void ServingModel::offer(const RouteLoad &load, absl::Time end)
{
    m_meanSeconds[load.route] = load.meanSeconds;
    offerNext(load, end);
}

void ServingModel::offerNext(const RouteLoad &load, absl::Time end)
{
    if (load.perSecond <= 0)
        return;
    const double wait = -std::log(1 - m_random.uniformReal()) / load.perSecond;
    const absl::Time next = time.now() + absl::Seconds(wait);
    if (next >= end)
        return;
    time.scheduleAt(next, [this, load, end] {
        std::size_t ingress = m_random.uniformBelow(m_hosts.size());
        while (!m_hosts[ingress]->isAlive)
            ingress = m_random.uniformBelow(m_hosts.size());
        const CallerId caller(absl::StrCat("caller-", m_random.uniformBelow(load.callers)));
        IdempotencyKey key;
        const Route &route = m_settings.configuration.routes.at(load.route);
        if (route.repeatability == Repeatability::AtMostOnce)
            key = m_hosts[ingress]->ingress->issueKey();
        startCall(ingress, load.route, caller, key, nullptr);
        offerNext(load, end);
    });
}

void ServingModel::callOnce(std::size_t ingress, const RouteId &route, const IdempotencyKey &key,
                            Done done)
{
    startCall(ingress, route, CallerId("caller"), key, std::move(done));
}

IdempotencyKey ServingModel::issueKey(std::size_t ingress)
{
    return m_hosts[ingress]->ingress->issueKey();
}

void ServingModel::startCall(std::size_t ingress, const RouteId &routeId, CallerId caller,
                             IdempotencyKey key, Done done)
{
    const Route &route = m_settings.configuration.routes.at(routeId);
    Call call;
    call.head.call = CallId(m_nextCall++);
    call.head.path = route.pathPrefix;
    call.head.caller = std::move(caller);
    call.head.key = std::move(key);
    call.head.retriesLeft = ChainRetryLimit;
    call.rank = route.rank;
    call.arrived = time.now();
    call.deadline = time.now() + route.deadline;
    call.done = std::move(done);
    if (m_isCounting) {
        call.period = m_period;
        ++m_results[call.rank].offered;
    }
    ++m_truth.calls;
    const CallHead head = call.head;
    m_calls.emplace(std::make_pair(ingress, head.call), std::move(call));
    Host &host = *m_hosts[ingress];
    host.run([this, ingress, head, life = host.life] {
        Host &target = *m_hosts[ingress];
        if (target.isAlive && target.life == life)
            carryOut(ingress, target.ingress->onCall(head, time.now()));
    });
}

void ServingModel::abandonNewest(std::size_t ingress)
{
    for (auto it = m_calls.rbegin(); it != m_calls.rend(); ++it) {
        if (it->first.first != ingress)
            continue;
        carryOut(ingress, m_hosts[ingress]->ingress->cancel(it->first.second, time.now()));
        return;
    }
}

void ServingModel::carryOut(std::size_t index, IngressActions step)
{
    for (const CallRefusal &refusal : step.refusals)
        finish(index, refusal.call, refusal.verdict, refusal.reason);
    for (const ReplayAction &order : step.replays)
        finish(index, order.call, Verdict::Ran, Reason::None);
    for (const CallId call : step.completions)
        finish(index, call, Verdict::Ran, Reason::None);
    for (const PlatformRequest &request : step.platformRequests) {
        if (m_cutZones.contains(m_hosts[index]->zone))
            continue; // Neither the request nor an answer gets through.
        const auto answer = platform.execute(request, m_random);
        if (!answer)
            continue;
        const std::uint64_t life = m_hosts[index]->life;
        time.scheduleAfter(platform.latency, [this, index, life, answer = *answer] {
            Host &host = *m_hosts[index];
            if (host.isAlive && host.life == life)
                host.run([this, index, answer] {
                    carryOut(index, m_hosts[index]->ingress->onPlatformAnswer(answer, time.now()));
                });
        });
    }
    for (const RelayAction &order : step.relays)
        relay(index, order);
    for (const ForwardAction &order : step.forwards)
        forward(index, order);
}

void ServingModel::forward(std::size_t from, const ForwardAction &order)
{
    ++m_truth.attempts;
    const std::size_t to = hostIndex(order.target.host);
    const std::uint64_t fromLife = m_hosts[from]->life;
    time.scheduleAfter(delay(from, to), [this, from, to, order, fromLife] {
        if (!isReachable(from, to))
            return; // The ingress finds out by its deadline.
        if (!m_hosts[to]->isAlive) {
            AttemptReport refused;
            refused.attempt = order.attempt;
            refused.verdict = Verdict::NotRun;
            refused.reason = Reason::ConnectFailed;
            report(from, fromLife, refused, to);
            return;
        }
        m_hosts[to]->run([=, this] { arriveAtGate(from, to, order, fromLife); });
    });
}

void ServingModel::relay(std::size_t from, const RelayAction &order)
{
    const std::size_t to = hostIndex(order.owner);
    const auto found = m_calls.find({ from, order.call });
    if (found == m_calls.end())
        return;
    CallHead head = found->second.head;
    head.isRelayed = true;
    const std::uint64_t fromLife = m_hosts[from]->life;
    time.scheduleAfter(delay(from, to), [this, from, to, head, fromLife,
                                         call = order.call]() mutable {
        const auto end = [this, from, to, fromLife, call](Verdict verdict, Reason reason) {
            time.scheduleAfter(delay(from, to), [=, this] {
                Host &host = *m_hosts[from];
                if (isReachable(from, to) && host.isAlive && host.life == fromLife)
                    carryOut(from, host.ingress->onRelayEnded(call, verdict, reason, time.now()));
            });
        };
        Host &owner = *m_hosts[to];
        if (!isReachable(from, to))
            return;
        if (!owner.isAlive) {
            end(Verdict::MayHaveRun, Reason::KeyOwnerUnreachable);
            return;
        }
        Call relayed;
        relayed.head = head;
        relayed.head.call = CallId(m_nextCall++);
        relayed.arrived = time.now();
        relayed.deadline = absl::InfiniteFuture();
        relayed.done = end;
        const CallHead relayedHead = relayed.head;
        m_calls.emplace(std::make_pair(to, relayedHead.call), std::move(relayed));
        owner.run([this, to, relayedHead] {
            carryOut(to, m_hosts[to]->ingress->onCall(relayedHead, time.now()));
        });
    });
}

void ServingModel::arriveAtGate(std::size_t from, std::size_t to, const ForwardAction &order,
                                std::uint64_t fromLife)
{
    Host &host = *m_hosts[to];
    const AttemptId ticket(host.nextTicket++);
    host.tickets[ticket] = { from, fromLife, order, false };
    const ForwardedRequest arrival{ ticket, Server, order.rank, order.caller, order.deadline };
    carryOut(to, host.gates->submit(arrival, time.now()));
}

void ServingModel::carryOut(std::size_t index, HostGateActions step)
{
    Host &host = *m_hosts[index];
    for (const GateRefusal &refusal : step.refusals) {
        const auto it = host.tickets.find(refusal.attempt);
        if (it == host.tickets.end())
            continue;
        AttemptReport refused;
        refused.attempt = it->second.order.attempt;
        refused.verdict = Verdict::NotRun;
        refused.reason = refusal.reason;
        refused.retryAfter = refusal.retryAfter;
        refused.load = host.gates->load(Server, time.now());
        report(it->second.from, it->second.fromLife, refused, index);
        host.tickets.erase(it);
    }
    for (const AdmittedRequest &start : step.starts)
        startWork(index, start);
}

void ServingModel::startWork(std::size_t index, const AdmittedRequest &start)
{
    Host &host = *m_hosts[index];
    Host::Ticket &ticket = host.tickets.at(start.localAttempt);
    ticket.isRunning = true;
    const std::uint64_t life = host.life;
    const bool isShed = m_random.uniformReal() < host.shedding;
    std::lognormal_distribution<double> spread(-ServiceSpread * ServiceSpread / 2, ServiceSpread);
    std::mt19937_64 engine(m_random.next());
    const double seconds = isShed ? 0.001 : m_meanSeconds[ticket.order.route] * spread(engine);
    if (!isShed) {
        ++m_ran[{ ticket.from, ticket.order.call }];
        const auto call = m_calls.find({ ticket.from, ticket.order.call });
        if (ticket.order.needsAnswerBody && call != m_calls.end())
            ++m_keyRuns[call->second.head.key];
    }
    time.scheduleAfter(
            absl::Seconds(seconds), [this, index, life, isShed, seconds, id = start.localAttempt] {
                Host &owner = *m_hosts[index];
                if (!owner.isAlive || owner.life != life)
                    return;
                owner.run([this, index, isShed, seconds, id] {
                    Host &running = *m_hosts[index];
                    const Host::Ticket done = running.tickets.at(id);
                    running.tickets.erase(id);
                    HostGateActions next = running.gates->onRunEnded(
                            id, isShed ? RunOutcome::Shed : RunOutcome::Answered, time.now());
                    AttemptReport ended;
                    ended.attempt = done.order.attempt;
                    ended.verdict = isShed ? Verdict::NotRun : Verdict::Ran;
                    ended.reason = isShed ? Reason::Shed : Reason::None;
                    ended.load = running.gates->load(Server, time.now());
                    ended.answer.status = 200;
                    if (!isShed)
                        m_workSeconds += seconds;
                    if (!running.losesAnswers)
                        report(done.from, done.fromLife, ended, index);
                    carryOut(index, std::move(next));
                });
            });
}

void ServingModel::report(std::size_t to, std::uint64_t life, AttemptReport report,
                          std::size_t from)
{
    time.scheduleAfter(delay(from, to), [this, to, life, report, from] {
        Host &host = *m_hosts[to];
        if (!host.isAlive || host.life != life || !isReachable(from, to))
            return;
        host.run([this, to, report] {
            carryOut(to, m_hosts[to]->ingress->onAttemptEnded(report, time.now()));
        });
    });
}

void ServingModel::finish(std::size_t host, CallId id, Verdict verdict, Reason reason)
{
    const auto it = m_calls.find({ host, id });
    if (it == m_calls.end())
        return;
    const Call call = std::move(it->second);
    m_calls.erase(it);
    const bool ran = m_ran.contains({ host, id });
    if (verdict == Verdict::NotRun && ran)
        ++m_truth.refusedButRan;
    m_ran.erase({ host, id });
    if (call.period == m_period) {
        RankResult &result = m_results[call.rank];
        if (verdict == Verdict::Ran && time.now() <= call.deadline) {
            ++result.answered;
            result.seconds.push_back(absl::ToDoubleSeconds(time.now() - call.arrived));
        } else {
            ++result.refusals[reason];
        }
    }
    if (call.done)
        call.done(verdict, reason);
}

} // namespace godwitlift::test
