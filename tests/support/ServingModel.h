/// \file
/// Ingresses, gates and small backend servers of one service in virtual time.
#pragma once

#include "FakePlatform.h"
#include "VirtualTime.h"
#include "godwitlift/serving/HostGates.h"
#include "godwitlift/serving/Ingress.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwitlift::test {

/// Requests of one route as callers send them.
struct RouteLoad
{
    RouteId route;
    double perSecond = 0;
    double meanSeconds = 0; ///< Of the work at a backend server.
    int callers = 50;
};

/// What a rank got during a period.
struct RankResult
{
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;  ///< Whole answers within the caller's deadline.
    std::vector<double> seconds; ///< Latencies of the answers.
    std::map<Reason, std::uint64_t> refusals;

    /// Latency in seconds that a share \p quantile of the answers did not exceed.
    double latency(double quantile) const;
};

/// Checks on what really ran, kept by the backend servers.
struct TruthCheck
{
    std::uint64_t refusedButRan = 0; ///< Calls refused as "not run" that had run.
    std::uint64_t keysRunTwice = 0;
    std::uint64_t attempts = 0; ///< Requests sent to gates.
    std::uint64_t calls = 0;
    std::uint64_t unanswered = 0; ///< Calls that neither got an answer nor a refusal.
};

/// Shape of a model.
struct ServingModelSettings
{
    Configuration configuration;
    ServiceId service;
    std::vector<std::string> zones;
    int instances = 6;
    std::uint32_t slots = 20;
    QueueDiscipline discipline = QueueDiscipline::PriorityWithFloors;
    IngressPolicy ingress;
    std::uint64_t seed = 1;
};

/// Drives serving decisions and counts what ran.
class ServingModel final
{
public:
    explicit ServingModel(ServingModelSettings settings);
    ~ServingModel();
    ServingModel(const ServingModel &) = delete;
    ServingModel &operator=(const ServingModel &) = delete;

    VirtualTime time;
    FakePlatform platform;

    /// Sends \p load until \p end, Poisson in time.
    void offer(const RouteLoad &load, absl::Time end);
    /// Sends one call with a key through host \p ingress; \p done gets its end.
    using Done = std::function<void(Verdict, Reason)>;
    void callOnce(std::size_t ingress, const RouteId &route, const IdempotencyKey &key, Done done);
    IdempotencyKey issueKey(std::size_t ingress);
    /// The caller gives up on its newest call through \p ingress.
    void abandonNewest(std::size_t ingress);

    /// Ends the host's processes; routing elsewhere stays stale for \p staleness.
    void kill(std::size_t host, absl::Duration staleness = absl::Seconds(6));
    void restart(std::size_t host);
    /// Hands the backend server of \p host back; routing elsewhere stays stale for \p staleness.
    void drain(std::size_t host, absl::Duration staleness);
    /// The host's messages and timers stand still until resume().
    void pause(std::size_t host);
    void resume(std::size_t host);
    /// The backend server refuses each request with \p probability before running it.
    void shed(std::size_t host, double probability);
    /// Answers of host \p host are lost on their way back.
    void loseAnswers(std::size_t host, bool lost);
    /// Cuts off \p zone from the other zones and from the platform.
    void cutOff(const std::string &zone, bool cut);

    /// Starts a new period of measurement: results count the calls that arrive in it.
    void startPeriod();
    /// Calls that arrive later no longer count; those that arrived before still do.
    void endPeriod() { m_isCounting = false; }
    const std::map<RankId, RankResult> &results() const { return m_results; }
    /// Slot time spent on whole answers, over slot time of backend servers in service.
    double workShare() const;
    TruthCheck truth() const;
    std::size_t hostCount() const { return m_hosts.size(); }
    std::uint64_t timesRun(const IdempotencyKey &key) const;

private:
    struct Host;
    struct Call;
    struct Owners;

    void compileTables();
    void accountCapacity();
    void tick(std::size_t host, std::uint64_t life);
    void carryOut(std::size_t host, IngressActions step);
    void carryOut(std::size_t host, HostGateActions step);
    void forward(std::size_t from, const ForwardAction &order);
    void relay(std::size_t from, const RelayAction &order);
    void arriveAtGate(std::size_t from, std::size_t to, const ForwardAction &order,
                      std::uint64_t fromLife);
    void startWork(std::size_t host, const AdmittedRequest &start);
    void report(std::size_t to, std::uint64_t life, AttemptReport report, std::size_t from);
    void finish(std::size_t host, CallId call, Verdict verdict, Reason reason);
    void startCall(std::size_t ingress, const RouteId &route, CallerId caller, IdempotencyKey key,
                   Done done);
    void offerNext(const RouteLoad &load, absl::Time end);
    bool isReachable(std::size_t from, std::size_t to) const;
    absl::Duration delay(std::size_t from, std::size_t to) const;
    std::size_t hostIndex(const HostId &host) const;

    ServingModelSettings m_settings;
    SeededRandom m_random;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::unique_ptr<Owners> m_owners;
    std::map<std::pair<std::size_t, CallId>, Call> m_calls;
    std::map<RouteId, double> m_meanSeconds;
    std::map<RankId, RankResult> m_results;
    std::map<std::pair<std::size_t, CallId>, std::uint64_t> m_ran;
    std::map<IdempotencyKey, std::uint64_t> m_keyRuns;
    std::set<std::string> m_cutZones;
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_period = 0; ///< Number of the current period.
    bool m_isCounting = true;
    double m_workSeconds = 0;
    double m_capacitySeconds = 0;
    absl::Time m_accounted;
    TruthCheck m_truth;
};

} // namespace godwitlift::test
