/// \file
/// Goodput and latency of each rank under overload against the stated targets, for the example
/// deployments at their real sizes.
#include "Deployments.h"

#include <catch2/catch.hpp>

using namespace godwitlift;
using namespace godwitlift::test;

namespace {

// Targets of the serving layer under overload.
constexpr double MinGoodputRatio = 0.99;
constexpr double MaxLatencyRatio = 1.5;
constexpr double MinUsefulSlotTimeShare = 0.95;
constexpr double MaxAttemptsPerCall = 1.1;

/// Results of one simulation.
struct OverloadResult
{
    std::map<RankId, RankResult> results;
    double usefulSlotTimeShare = 0;
    ExecutionStats executionStats;
};

/// Offers \p factor times the capacity on the load with index \p overloadedLoad, and the baseline
/// loads on the other routes; all loads are baseline loads if \p factor is 0.
OverloadResult runOverload(const DeployedService &service, std::size_t overloadedLoad,
                           double factor)
{
    ServingModel model(service.modelSettings);
    const absl::Time end = model.time.now() + absl::Seconds(10);
    for (std::size_t i = 0; i < service.loads.size(); ++i) {
        RouteLoad load = service.loads[i];
        if (factor > 0 && i == overloadedLoad)
            load.requestsPerSecond = factor * service.capacityPerSecond(load);
        model.offer(load, end);
    }
    model.time.runFor(absl::Seconds(2));
    model.startMeasurement();
    model.time.runFor(absl::Seconds(6));
    const double usefulSlotTimeShare = model.usefulSlotTimeShare();
    model.endMeasurement();
    model.time.runFor(absl::Seconds(40));
    return { model.results(), usefulSlotTimeShare, model.executionStats() };
}

double answeredInTimeShare(const RankResult &result)
{
    return static_cast<double>(result.answeredInTime) / static_cast<double>(result.offered);
}

RankId rankOf(const DeployedService &service, std::size_t load)
{
    return service.modelSettings.configuration.routes.at(service.loads[load].route).rank;
}

} // namespace

TEST_CASE("Overload of the least urgent rank preserves goodput and latency of the most urgent rank")
{
    const auto services = deployedServices(GODWITLIFT_EXAMPLES);
    const std::size_t index = GENERATE(0, 1, 2, 3);
    const DeployedService &service = services[index];
    INFO(service.name);
    const RankId urgent = rankOf(service, 0);
    const OverloadResult baseline = runOverload(service, 0, 0);
    const OverloadResult overload = runOverload(service, service.loads.size() - 1, 2);
    CHECK(answeredInTimeShare(overload.results.at(urgent))
          >= MinGoodputRatio * answeredInTimeShare(baseline.results.at(urgent)));
    CHECK(overload.results.at(urgent).latencyQuantile(0.99)
          <= MaxLatencyRatio * baseline.results.at(urgent).latencyQuantile(0.99));
    CHECK(overload.usefulSlotTimeShare >= MinUsefulSlotTimeShare);
    CHECK(overload.executionStats.refusedButRan == 0);
    CHECK(overload.executionStats.keysRunTwice == 0);
    CHECK(overload.executionStats.unfinishedCalls == 0);
}

TEST_CASE("Overload of the most urgent rank leaves every other rank its floor")
{
    const auto services = deployedServices(GODWITLIFT_EXAMPLES);
    const std::size_t index = GENERATE(0, 1, 2, 3);
    const DeployedService &service = services[index];
    INFO(service.name);
    const OverloadResult overload = runOverload(service, 0, 2);
    for (std::size_t i = 1; i < service.loads.size(); ++i) {
        const RouteLoad &load = service.loads[i];
        const Rank &rank = service.modelSettings.configuration.ranks.at(rankOf(service, i));
        INFO(rank.id.value());
        const double floorPerSecond = rank.floorShare * service.capacityPerSecond(load);
        const double expected = std::min(floorPerSecond, load.requestsPerSecond) * 6;
        // One request per slot may be in progress at the start and end of the measurement.
        const double boundaryError =
                service.modelSettings.hostCount * service.modelSettings.slots * rank.floorShare;
        CHECK(static_cast<double>(overload.results.at(rank.id).answeredInTime)
              >= 0.95 * expected - boundaryError);
    }
    CHECK(overload.usefulSlotTimeShare >= MinUsefulSlotTimeShare);
    CHECK(overload.executionStats.refusedButRan == 0);
}

TEST_CASE("Attempts stay within the retry budget while a third of the backend servers shed all "
          "requests")
{
    const auto services = deployedServices(GODWITLIFT_EXAMPLES);
    const DeployedService &service = services[0];
    ServingModel model(service.modelSettings);
    const absl::Time end = model.time.now() + absl::Seconds(10);
    for (const RouteLoad &load : service.loads)
        model.offer(load, end);
    for (std::size_t i = 0; i < model.hostCount() / 3; ++i)
        model.setShedProbability(i, 1);
    model.time.runFor(absl::Seconds(40));
    const ExecutionStats stats = model.executionStats();
    CHECK(static_cast<double>(stats.attempts)
          <= MaxAttemptsPerCall * static_cast<double>(stats.calls));
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    for (const auto &entry : model.results()) {
        offered += entry.second.offered;
        answered += entry.second.answeredInTime;
    }
    CHECK(static_cast<double>(answered) >= 0.99 * static_cast<double>(offered));
    CHECK(stats.refusedButRan == 0);
}
