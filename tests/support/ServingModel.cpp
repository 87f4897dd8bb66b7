/// \file
/// Simulation of calls from the ingress through the gate to the backend server.
#include "ServingModelParts.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace godwitlift::test {

namespace {

constexpr absl::Duration TickPeriod = absl::Milliseconds(10);
constexpr absl::Duration SameZoneDelay = absl::Microseconds(200);
constexpr absl::Duration CrossZoneDelay = absl::Microseconds(1500);
constexpr double ServiceTimeSigma = 0.5; ///< Sigma of the lognormal service times.
const BackendServerId Server("server");

} // namespace

/// Membership as every node sees it. A killed host is removed at once.
struct ServingModel::Members final : public MemberLookup
{
    const ServingModel &model;
    explicit Members(const ServingModel &servingModel)
        : model(servingModel)
    {}
    std::optional<MemberHost> find(const HostId &host) const override
    {
        const Host &found = *model.m_hosts[model.hostIndex(host)];
        if (!found.isAlive)
            return std::nullopt;
        return MemberHost{ Address(host.value()), found.incarnation };
    }
};

double RankResult::latencyQuantile(double quantile) const
{
    if (latencySeconds.empty())
        return 0;
    std::vector<double> sorted = latencySeconds;
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index),
                     sorted.end());
    return sorted[index];
}

ServingModel::ServingModel(ServingModelSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_capacityAccumulatedUntil(time.now())
{
    m_members = std::make_unique<Members>(*this);
    for (int i = 0; i < m_settings.hostCount; ++i) {
        auto host = std::make_unique<Host>();
        host->id = HostId(absl::StrCat("host-", i));
        host->zone = m_settings.zones[static_cast<std::size_t>(i) % m_settings.zones.size()];
        m_hosts.push_back(std::move(host));
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        restart(i);
    compileRoutingTables();
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
    return a == b || (!m_partitionedZones.contains(a) && !m_partitionedZones.contains(b));
}

absl::Duration ServingModel::networkDelay(std::size_t from, std::size_t to) const
{
    return m_hosts[from]->zone == m_hosts[to]->zone ? SameZoneDelay : CrossZoneDelay;
}

void ServingModel::compileRoutingTables()
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
        host->routingTable = RoutingTable::compile(configuration, directory, ZoneId(host->zone),
                                                   RegionId("region"));
        if (!host->isAlive)
            continue;
        host->ingress->setRoutingTable(host->routingTable);
        const HostRecord *record = directory.find(host->id);
        execute(hostIndex(host->id), host->gates->updateServers(record->backendServers,
                                                                *host->routingTable, time.now()));
    }
}

void ServingModel::restart(std::size_t index)
{
    Host &host = *m_hosts[index];
    accumulateCapacity();
    ++host.generation;
    host.incarnation = host.incarnation.next();
    host.isAlive = true;
    host.isPaused = false;
    host.deferredInputs.clear();
    host.random = std::make_unique<SeededRandom>(m_random.next());
    host.ingress = std::make_unique<Ingress>(host.id, host.incarnation, m_settings.ingressPolicy,
                                             *m_members, *host.random);
    host.gates = std::make_unique<HostGates>(m_settings.discipline);
    host.attempts.clear();
    scheduleTick(index, host.generation);
    if (host.routingTable != nullptr)
        compileRoutingTables();
}

void ServingModel::scheduleTick(std::size_t index, std::uint64_t generation)
{
    time.scheduleAfter(TickPeriod, [this, index, generation] {
        Host &host = *m_hosts[index];
        if (host.generation != generation || !host.isAlive)
            return;
        if (!host.isPaused) {
            execute(index, host.ingress->tick(time.now()));
            execute(index, host.gates->tick(time.now()));
        }
        scheduleTick(index, generation);
    });
}

void ServingModel::accumulateCapacity()
{
    const double seconds = absl::ToDoubleSeconds(time.now() - m_capacityAccumulatedUntil);
    for (const auto &host : m_hosts) {
        if (host->isAlive && !host->isDrained)
            m_capacitySeconds += seconds * m_settings.slots;
    }
    m_capacityAccumulatedUntil = time.now();
}

double ServingModel::usefulSlotTimeShare() const
{
    double capacity = m_capacitySeconds;
    for (const auto &host : m_hosts) {
        if (host->isAlive && !host->isDrained)
            capacity += absl::ToDoubleSeconds(time.now() - m_capacityAccumulatedUntil)
                        * m_settings.slots;
    }
    return capacity == 0 ? 0 : m_usefulSlotSeconds / capacity;
}

void ServingModel::startMeasurement()
{
    ++m_measurement;
    m_isMeasuring = true;
    accumulateCapacity();
    m_results.clear();
    m_usefulSlotSeconds = 0;
    m_capacitySeconds = 0;
}

ExecutionStats ServingModel::executionStats() const
{
    ExecutionStats stats = m_stats;
    for (const auto &entry : m_runCountByKey)
        stats.keysRunTwice += entry.second > 1 ? 1 : 0;
    stats.unfinishedCalls = m_calls.size();
    return stats;
}

std::uint64_t ServingModel::timesRun(const IdempotencyKey &key) const
{
    const auto it = m_runCountByKey.find(key);
    return it == m_runCountByKey.end() ? 0 : it->second;
}

void ServingModel::offer(const RouteLoad &load, absl::Time end)
{
    m_meanServiceSeconds[load.route] = load.meanServiceSeconds;
    scheduleNextCall(load, end);
}

void ServingModel::scheduleNextCall(const RouteLoad &load, absl::Time end)
{
    if (load.requestsPerSecond <= 0)
        return;
    const double secondsToNextCall = -std::log(1 - m_random.uniformReal()) / load.requestsPerSecond;
    const absl::Time next = time.now() + absl::Seconds(secondsToNextCall);
    if (next >= end)
        return;
    time.scheduleAt(next, [this, load, end] {
        std::size_t ingress = m_random.uniformBelow(m_hosts.size());
        while (!m_hosts[ingress]->isAlive)
            ingress = m_random.uniformBelow(m_hosts.size());
        const CallerId caller(absl::StrCat("caller-", m_random.uniformBelow(load.callerCount)));
        IdempotencyKey key;
        const Route &route = m_settings.configuration.routes.at(load.route);
        if (route.repeatability == Repeatability::AtMostOnce)
            key = m_hosts[ingress]->ingress->issueKey();
        startCall(ingress, load.route, caller, key, nullptr);
        scheduleNextCall(load, end);
    });
}

void ServingModel::sendCall(std::size_t ingress, const RouteId &route, const IdempotencyKey &key,
                            CompletionHandler onCompletion)
{
    startCall(ingress, route, CallerId("caller"), key, std::move(onCompletion));
}

IdempotencyKey ServingModel::issueKey(std::size_t ingress)
{
    return m_hosts[ingress]->ingress->issueKey();
}

void ServingModel::startCall(std::size_t ingress, const RouteId &routeId, CallerId caller,
                             IdempotencyKey key, CompletionHandler onCompletion)
{
    const Route &route = m_settings.configuration.routes.at(routeId);
    Call call;
    call.head.call = CallId(m_nextCall++);
    call.head.path = route.pathPrefix;
    call.head.caller = std::move(caller);
    call.head.key = std::move(key);
    call.head.retriesLeft = ChainRetryLimit;
    call.rank = route.rank;
    call.arrivalTime = time.now();
    call.deadline = time.now() + route.deadline;
    call.onCompletion = std::move(onCompletion);
    if (m_isMeasuring) {
        call.measurement = m_measurement;
        ++m_results[call.rank].offered;
    }
    ++m_stats.calls;
    const CallHead head = call.head;
    m_calls.emplace(std::make_pair(ingress, head.call), std::move(call));
    Host &host = *m_hosts[ingress];
    host.runOrDefer([this, ingress, head, generation = host.generation] {
        Host &target = *m_hosts[ingress];
        if (target.isAlive && target.generation == generation)
            execute(ingress, target.ingress->onCall(head, time.now()));
    });
}

void ServingModel::cancelNewestCall(std::size_t ingress)
{
    for (auto it = m_calls.rbegin(); it != m_calls.rend(); ++it) {
        if (it->first.first != ingress)
            continue;
        execute(ingress, m_hosts[ingress]->ingress->cancel(it->first.second, time.now()));
        return;
    }
}

void ServingModel::execute(std::size_t index, IngressActions actions)
{
    for (const CallRefusal &refusal : actions.refusals)
        finishCall(index, refusal.call, refusal.verdict, refusal.reason);
    for (const ReplayAction &action : actions.replays)
        finishCall(index, action.call, Verdict::Ran, Reason::None);
    for (const CallId call : actions.completions)
        finishCall(index, call, Verdict::Ran, Reason::None);
    for (const PlatformRequest &request : actions.platformRequests) {
        if (m_partitionedZones.contains(m_hosts[index]->zone))
            continue; // The request is lost.
        const auto answer = platform.execute(request, m_random);
        if (!answer)
            continue;
        const std::uint64_t generation = m_hosts[index]->generation;
        time.scheduleAfter(platform.latency, [this, index, generation, answer = *answer] {
            Host &host = *m_hosts[index];
            if (host.isAlive && host.generation == generation)
                host.runOrDefer([this, index, answer] {
                    execute(index, m_hosts[index]->ingress->onPlatformAnswer(answer, time.now()));
                });
        });
    }
    for (const RelayAction &action : actions.relays)
        relay(index, action);
    for (const ForwardAction &action : actions.forwards)
        forward(index, action);
}

void ServingModel::forward(std::size_t from, const ForwardAction &action)
{
    ++m_stats.attempts;
    const std::size_t to = hostIndex(action.target.host);
    const std::uint64_t fromGeneration = m_hosts[from]->generation;
    time.scheduleAfter(networkDelay(from, to), [this, from, to, action, fromGeneration] {
        if (!isReachable(from, to))
            return; // The attempt times out at the ingress.
        if (!m_hosts[to]->isAlive) {
            AttemptReport refused;
            refused.attempt = action.attempt;
            refused.verdict = Verdict::NotRun;
            refused.reason = Reason::ConnectFailed;
            sendReport(from, fromGeneration, refused, to);
            return;
        }
        m_hosts[to]->runOrDefer([=, this] { submitToGate(from, to, action, fromGeneration); });
    });
}

void ServingModel::relay(std::size_t from, const RelayAction &action)
{
    const std::size_t to = hostIndex(action.owner);
    const auto found = m_calls.find({ from, action.call });
    if (found == m_calls.end())
        return;
    CallHead head = found->second.head;
    head.isRelayed = true;
    const std::uint64_t fromGeneration = m_hosts[from]->generation;
    time.scheduleAfter(networkDelay(from, to), [this, from, to, head, fromGeneration,
                                                call = action.call]() mutable {
        const auto sendResult = [this, from, to, fromGeneration, call](Verdict verdict,
                                                                       Reason reason) {
            time.scheduleAfter(networkDelay(from, to), [=, this] {
                Host &host = *m_hosts[from];
                if (isReachable(from, to) && host.isAlive && host.generation == fromGeneration)
                    execute(from, host.ingress->onRelayEnded(call, verdict, reason, time.now()));
            });
        };
        Host &owner = *m_hosts[to];
        if (!isReachable(from, to))
            return;
        if (!owner.isAlive) {
            sendResult(Verdict::MayHaveRun, Reason::KeyOwnerUnreachable);
            return;
        }
        Call relayed;
        relayed.head = head;
        relayed.head.call = CallId(m_nextCall++);
        relayed.arrivalTime = time.now();
        relayed.deadline = absl::InfiniteFuture();
        relayed.onCompletion = sendResult;
        const CallHead relayedHead = relayed.head;
        m_calls.emplace(std::make_pair(to, relayedHead.call), std::move(relayed));
        owner.runOrDefer([this, to, relayedHead] {
            execute(to, m_hosts[to]->ingress->onCall(relayedHead, time.now()));
        });
    });
}

void ServingModel::submitToGate(std::size_t from, std::size_t to, const ForwardAction &action,
                                std::uint64_t fromGeneration)
{
    Host &host = *m_hosts[to];
    const AttemptId localAttempt(host.nextLocalAttempt++);
    host.attempts[localAttempt] = { from, fromGeneration, action, false };
    const ForwardedRequest request{ localAttempt, Server, action.rank, action.caller,
                                    action.deadline };
    execute(to, host.gates->submit(request, time.now()));
}

void ServingModel::execute(std::size_t index, HostGateActions actions)
{
    Host &host = *m_hosts[index];
    for (const GateRefusal &refusal : actions.refusals) {
        const auto it = host.attempts.find(refusal.attempt);
        if (it == host.attempts.end())
            continue;
        AttemptReport refused;
        refused.attempt = it->second.action.attempt;
        refused.verdict = Verdict::NotRun;
        refused.reason = refusal.reason;
        refused.retryAfter = refusal.retryAfter;
        refused.load = host.gates->load(Server, time.now());
        sendReport(it->second.from, it->second.fromGeneration, refused, index);
        host.attempts.erase(it);
    }
    for (const AdmittedRequest &admitted : actions.starts)
        startRun(index, admitted);
}

void ServingModel::startRun(std::size_t index, const AdmittedRequest &admitted)
{
    Host &host = *m_hosts[index];
    Host::Attempt &attempt = host.attempts.at(admitted.localAttempt);
    attempt.isRunning = true;
    const std::uint64_t generation = host.generation;
    const bool isShed = m_random.uniformReal() < host.shedProbability;
    std::lognormal_distribution<double> serviceTimeFactor(-ServiceTimeSigma * ServiceTimeSigma / 2,
                                                          ServiceTimeSigma);
    std::mt19937_64 engine(m_random.next());
    const double seconds =
            isShed ? 0.001 : m_meanServiceSeconds[attempt.action.route] * serviceTimeFactor(engine);
    if (!isShed) {
        ++m_runCountByCall[{ attempt.from, attempt.action.call }];
        const auto call = m_calls.find({ attempt.from, attempt.action.call });
        if (attempt.action.needsAnswerBody && call != m_calls.end())
            ++m_runCountByKey[call->second.head.key];
    }
    time.scheduleAfter(absl::Seconds(seconds), [this, index, generation, isShed, seconds,
                                                id = admitted.localAttempt] {
        Host &current = *m_hosts[index];
        if (!current.isAlive || current.generation != generation)
            return;
        current.runOrDefer([this, index, isShed, seconds, id] {
            Host &running = *m_hosts[index];
            const Host::Attempt endedAttempt = running.attempts.at(id);
            running.attempts.erase(id);
            HostGateActions actions = running.gates->onRunEnded(
                    id, isShed ? RunOutcome::Shed : RunOutcome::Answered, time.now());
            AttemptReport report;
            report.attempt = endedAttempt.action.attempt;
            report.verdict = isShed ? Verdict::NotRun : Verdict::Ran;
            report.reason = isShed ? Reason::Shed : Reason::None;
            report.load = running.gates->load(Server, time.now());
            report.answer.status = 200;
            if (!isShed)
                m_usefulSlotSeconds += seconds;
            if (!running.isLosingAnswers)
                sendReport(endedAttempt.from, endedAttempt.fromGeneration, report, index);
            execute(index, std::move(actions));
        });
    });
}

void ServingModel::sendReport(std::size_t to, std::uint64_t generation, AttemptReport report,
                              std::size_t from)
{
    time.scheduleAfter(networkDelay(from, to), [this, to, generation, report, from] {
        Host &host = *m_hosts[to];
        if (!host.isAlive || host.generation != generation || !isReachable(from, to))
            return;
        host.runOrDefer([this, to, report] {
            execute(to, m_hosts[to]->ingress->onAttemptEnded(report, time.now()));
        });
    });
}

void ServingModel::finishCall(std::size_t host, CallId id, Verdict verdict, Reason reason)
{
    const auto it = m_calls.find({ host, id });
    if (it == m_calls.end())
        return;
    const Call call = std::move(it->second);
    m_calls.erase(it);
    const bool hasRun = m_runCountByCall.contains({ host, id });
    if (verdict == Verdict::NotRun && hasRun)
        ++m_stats.refusedButRan;
    m_runCountByCall.erase({ host, id });
    if (call.measurement == m_measurement) {
        RankResult &result = m_results[call.rank];
        if (verdict == Verdict::Ran && time.now() <= call.deadline) {
            ++result.answeredInTime;
            result.latencySeconds.push_back(absl::ToDoubleSeconds(time.now() - call.arrivalTime));
        } else {
            ++result.failuresByReason[reason];
        }
    }
    if (call.onCompletion)
        call.onCompletion(verdict, reason);
}

} // namespace godwitlift::test
