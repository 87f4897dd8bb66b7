/// \file
/// Service by rank under floods at the sizes of today, against the stated targets.
#include "Deployments.h"

#include <catch2/catch.hpp>

using namespace godwitlift;
using namespace godwitlift::test;

namespace {

/// Targets of service by rank.
constexpr double KeptGoodput = 0.99;
constexpr double LatencyFactor = 1.5;
constexpr double FinishedWork = 0.95;
constexpr double AttemptsPerCall = 1.1;

/// What a run brought.
struct Outcome
{
    std::map<RankId, RankResult> results;
    double work = 0;
    TruthCheck truth;
};

Outcome runFlood(const DeployedService &service, std::size_t flooded, double factor)
{
    ServingModel model(service.model);
    const absl::Time end = model.time.now() + absl::Seconds(10);
    for (std::size_t i = 0; i < service.loads.size(); ++i) {
        RouteLoad load = service.loads[i];
        if (factor > 0 && i == flooded)
            load.perSecond = factor * service.capacityPerSecond(load);
        model.offer(load, end);
    }
    model.time.runFor(absl::Seconds(2));
    model.startPeriod();
    model.time.runFor(absl::Seconds(6));
    const double work = model.workShare();
    model.endPeriod();
    model.time.runFor(absl::Seconds(40));
    return { model.results(), work, model.truth() };
}

double keptShare(const RankResult &result)
{
    return static_cast<double>(result.answered) / static_cast<double>(result.offered);
}

RankId rankOf(const DeployedService &service, std::size_t load)
{
    return service.model.configuration.routes.at(service.loads[load].route).rank;
}

} // namespace

TEST_CASE("A flood of the least urgent work leaves the most urgent its goodput and latency")
{
    const auto services = deployedServices(GODWITLIFT_EXAMPLES);
    const std::size_t index = GENERATE(0, 1, 2, 3);
    const DeployedService &service = services[index];
    INFO(service.name);
    const RankId urgent = rankOf(service, 0);
    const Outcome calm = runFlood(service, 0, 0);
    const Outcome flood = runFlood(service, service.loads.size() - 1, 2);
    CHECK(keptShare(flood.results.at(urgent)) >= KeptGoodput * keptShare(calm.results.at(urgent)));
    CHECK(flood.results.at(urgent).latency(0.99)
          <= LatencyFactor * calm.results.at(urgent).latency(0.99));
    CHECK(flood.work >= FinishedWork);
    CHECK(flood.truth.refusedButRan == 0);
    CHECK(flood.truth.keysRunTwice == 0);
    CHECK(flood.truth.unanswered == 0);
}

TEST_CASE("A flood of the most urgent work leaves every other rank its floor")
{
    const auto services = deployedServices(GODWITLIFT_EXAMPLES);
    const std::size_t index = GENERATE(0, 1, 2, 3);
    const DeployedService &service = services[index];
    INFO(service.name);
    const Outcome flood = runFlood(service, 0, 2);
    for (std::size_t i = 1; i < service.loads.size(); ++i) {
        const RouteLoad &load = service.loads[i];
        const Rank &rank = service.model.configuration.ranks.at(rankOf(service, i));
        INFO(rank.id.value());
        const double floorPerSecond = rank.floorShare * service.capacityPerSecond(load);
        const double expected = std::min(floorPerSecond, load.perSecond) * 6;
        // One request per slot may be under way at either end of the period.
        const double edge = service.model.instances * service.model.slots * rank.floorShare;
        CHECK(static_cast<double>(flood.results.at(rank.id).answered) >= 0.95 * expected - edge);
    }
    CHECK(flood.work >= FinishedWork);
    CHECK(flood.truth.refusedButRan == 0);
}

TEST_CASE("While a third of the backend servers refuse, attempts stay within the retry budget")
{
    const auto services = deployedServices(GODWITLIFT_EXAMPLES);
    const DeployedService &service = services[0];
    ServingModel model(service.model);
    const absl::Time end = model.time.now() + absl::Seconds(10);
    for (const RouteLoad &load : service.loads)
        model.offer(load, end);
    for (std::size_t i = 0; i < model.hostCount() / 3; ++i)
        model.shed(i, 1);
    model.time.runFor(absl::Seconds(40));
    const TruthCheck truth = model.truth();
    CHECK(static_cast<double>(truth.attempts)
          <= AttemptsPerCall * static_cast<double>(truth.calls));
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    for (const auto &entry : model.results()) {
        offered += entry.second.offered;
        answered += entry.second.answered;
    }
    CHECK(static_cast<double>(answered) >= 0.99 * static_cast<double>(offered));
    CHECK(truth.refusedButRan == 0);
}
