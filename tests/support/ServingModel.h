/// \file
/// Simulation of the ingresses, gates and backend servers of one service in virtual time.
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

/// Offered load of one route.
struct RouteLoad
{
    RouteId route;
    double requestsPerSecond = 0;
    double meanServiceSeconds = 0; ///< At a backend server.
    int callerCount = 50;          ///< Distinct caller IDs.
};

/// Results of the calls of one rank that arrive during a measurement.
struct RankResult
{
    std::uint64_t offered = 0;
    std::uint64_t answeredInTime = 0;   ///< Complete answers within the caller's deadline.
    std::vector<double> latencySeconds; ///< Of the calls that were answered in time.
    /// All other calls that ended; late answers count under Reason::None.
    std::map<Reason, std::uint64_t> failuresByReason;

    /// Quantile of the latencies in seconds. Returns 0 if there are none.
    double latencyQuantile(double quantile) const;
};

/// Counts of calls, attempts and executions since the start of the simulation.
struct ExecutionStats
{
    /// Calls with the verdict NotRun that a backend server has run.
    std::uint64_t refusedButRan = 0;
    std::uint64_t keysRunTwice = 0; ///< Keys whose calls ran more than once.
    std::uint64_t attempts = 0;     ///< Requests sent to gates, including retries.
    std::uint64_t calls = 0;
    std::uint64_t unfinishedCalls = 0; ///< Calls without an answer or a refusal.
};

/// Parameters of a simulation.
struct ServingModelSettings
{
    Configuration configuration;
    ServiceId service;
    std::vector<std::string> zones;
    int hostCount = 6;        ///< Hosts, assigned to the zones round-robin.
    std::uint32_t slots = 20; ///< Per backend server.
    QueueDiscipline discipline = QueueDiscipline::PriorityWithFloors;
    IngressPolicy ingressPolicy;
    std::uint64_t seed = 1;
};

/// Simulates the serving decisions of all hosts and counts the executions of each call and key.
class ServingModel final
{
public:
    explicit ServingModel(ServingModelSettings settings);
    ~ServingModel();
    ServingModel(const ServingModel &) = delete;
    ServingModel &operator=(const ServingModel &) = delete;

    VirtualTime time;
    FakePlatform platform;

    /// Sends \p load until \p end as a Poisson process.
    void offer(const RouteLoad &load, absl::Time end);
    using CompletionHandler = std::function<void(Verdict, Reason)>;
    /// Sends one call with a key through host \p ingress.
    void sendCall(std::size_t ingress, const RouteId &route, const IdempotencyKey &key,
                  CompletionHandler onCompletion);
    IdempotencyKey issueKey(std::size_t ingress);
    /// Cancels the newest call through \p ingress.
    void cancelNewestCall(std::size_t ingress);

    /// Kills the node and the backend server of \p host. All routing tables stay stale for
    /// \p staleness.
    void kill(std::size_t host, absl::Duration staleness = absl::Seconds(6));
    void restart(std::size_t host);
    /// Drains the backend server of \p host. All routing tables stay stale for \p staleness.
    void drain(std::size_t host, absl::Duration staleness);
    /// Suspends \p host: inputs of its node and completions of its runs are deferred until
    /// resume().
    void pause(std::size_t host);
    void resume(std::size_t host);
    /// Makes the backend server refuse each request with \p probability before running it.
    void setShedProbability(std::size_t host, double probability);
    /// Sets whether the answers of the backend server of \p host are lost on the way to the
    /// ingress.
    void setAnswerLoss(std::size_t host, bool isLosing);
    /// Sets whether \p zone is partitioned from the other zones and from the platform.
    void setZonePartitioned(const std::string &zone, bool isPartitioned);

    /// Clears the results and starts a new measurement. It counts the calls that arrive until
    /// endMeasurement().
    void startMeasurement();
    /// Stops the measurement. It still counts the results of calls that have arrived before.
    void endMeasurement() { m_isMeasuring = false; }
    const std::map<RankId, RankResult> &results() const { return m_results; }
    /// Slot time spent on requests that were not shed, as a share of the slot time of all backend
    /// servers that are neither killed nor draining.
    double usefulSlotTimeShare() const;
    ExecutionStats executionStats() const;
    std::size_t hostCount() const { return m_hosts.size(); }
    std::uint64_t timesRun(const IdempotencyKey &key) const;

private:
    struct Host;
    struct Call;
    struct Members;

    void compileRoutingTables();
    void accumulateCapacity();
    void scheduleTick(std::size_t host, std::uint64_t generation);
    void execute(std::size_t host, IngressActions actions);
    void execute(std::size_t host, HostGateActions actions);
    void forward(std::size_t from, const ForwardAction &action);
    void relay(std::size_t from, const RelayAction &action);
    void submitToGate(std::size_t from, std::size_t to, const ForwardAction &action,
                      std::uint64_t fromGeneration);
    void startRun(std::size_t host, const AdmittedRequest &admitted);
    void sendReport(std::size_t to, std::uint64_t generation, AttemptReport report,
                    std::size_t from);
    void finishCall(std::size_t host, CallId call, Verdict verdict, Reason reason);
    void startCall(std::size_t ingress, const RouteId &route, CallerId caller, IdempotencyKey key,
                   CompletionHandler onCompletion);
    void scheduleNextCall(const RouteLoad &load, absl::Time end);
    bool isReachable(std::size_t from, std::size_t to) const;
    absl::Duration networkDelay(std::size_t from, std::size_t to) const;
    std::size_t hostIndex(const HostId &host) const;

    ServingModelSettings m_settings;
    SeededRandom m_random;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::unique_ptr<Members> m_members;
    std::map<std::pair<std::size_t, CallId>, Call> m_calls;
    std::map<RouteId, double> m_meanServiceSeconds;
    std::map<RankId, RankResult> m_results;
    std::map<std::pair<std::size_t, CallId>, std::uint64_t> m_runCountByCall;
    std::map<IdempotencyKey, std::uint64_t> m_runCountByKey;
    std::set<std::string> m_partitionedZones;
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_measurement = 0; ///< Number of the current or latest measurement.
    bool m_isMeasuring = true;
    double m_usefulSlotSeconds = 0;
    double m_capacitySeconds = 0;
    absl::Time m_capacityAccumulatedUntil;
    ExecutionStats m_stats;
};

} // namespace godwitlift::test
