/// \file
/// Virtual-time model of the mesh's request path: many ingresses that choose by reports which are
/// old when they are used, gates, and backend servers of uneven speed.
#pragma once

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/serving/Gate.h"
#include "godwitlift/traffic/FinishTimeSelector.h"
#include "godwitlift/traffic/WindowedRetryBudget.h"

#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

namespace godwitlift {

/// One service and the load on it.
struct DispatchScenario
{
    std::size_t hosts = 53;   ///< Each with an ingress and a backend server.
    std::uint32_t slots = 18; ///< Of each backend server.
    double utilization = 0.6; ///< Offered work over the slots of all servers.
    double speedSpread = 0.3; ///< Service times of servers lie within 1 +- this.
    double shedShare = 0;     ///< Share of requests that servers refuse without reason.
    absl::Duration meanService = absl::Milliseconds(340);
    absl::Duration objective = absl::Seconds(1);
    absl::Duration deadline = absl::Seconds(3);
    absl::Duration reportPause = absl::Milliseconds(340); ///< Between two reports of a gate.
    absl::Duration transit = absl::Milliseconds(3);       ///< One way between hosts.
    absl::Duration length = absl::Seconds(20);
    std::uint32_t turnedAwayLimit = 3; ///< Refusals by gates before the client is refused.
    double limitFloor = 0.8;           ///< Part of the slots that shedding never takes away.
    RetryBudgetRule retryRule{ 0.2, 210, absl::Seconds(10) };
    std::uint64_t seed = 1;
};

/// What became of the requests.
struct DispatchResult
{
    std::uint64_t offered = 0;
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0; ///< After the client's return, where it had time for one.
    std::uint64_t gateRefusals = 0;
    absl::Duration p99; ///< Of answered requests.
};

/// Plays one scenario. Clients return once after a refusal, at the time that it states.
class DispatchModel final
{
public:
    explicit DispatchModel(const DispatchScenario &scenario);
    ~DispatchModel();

    DispatchResult run();

private:
    struct Request;
    struct Server;
    struct Ingress;
    struct Event
    {
        absl::Time at;
        std::uint64_t order; ///< Ties run in the order in which they were planned.
        std::function<void()> action;
        bool operator>(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void plan(absl::Duration delay, std::function<void()> action);
    void arrive();
    void attempt(const std::shared_ptr<Request> &request);
    void refuse(const std::shared_ptr<Request> &request, absl::Duration retryAfter);
    void atGate(std::size_t server, const std::shared_ptr<Request> &request);
    void apply(std::size_t server, const GateActions &step);
    void attemptEnded(const std::shared_ptr<Request> &request, AttemptOutcome outcome,
                      absl::Duration service, absl::Duration retryAfter);
    void broadcast(std::size_t server);
    absl::Duration drawService(std::size_t server);

    DispatchScenario m_scenario;
    SeededRandom m_random;
    absl::Time m_now;
    absl::Time m_end;
    std::uint64_t m_lastId = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::unique_ptr<Ingress>> m_ingresses;
    std::unordered_map<std::uint64_t, std::shared_ptr<Request>> m_atGates;
    std::vector<absl::Duration> m_latencies;
    DispatchResult m_result;
};

} // namespace godwitlift
