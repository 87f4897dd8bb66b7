/// \file
/// Simulates floods of requests to single routes in virtual time, for each service of the example
/// deployments and each queue discipline. Prints one line per case and rank; the same seed gives
/// the same lines.
#include "Deployments.h"

#include <CLI/CLI.hpp>
#include <absl/strings/str_format.h>

#include <iostream>

namespace {

using namespace godwitlift;
using namespace godwitlift::test;

constexpr absl::Duration WarmUpTime = absl::Seconds(2);
constexpr absl::Duration MeasurementTime = absl::Seconds(8);
/// Time until the routing tables of other nodes no longer contain a failed host.
constexpr absl::Duration FailureDetectionTime = absl::Seconds(6);
/// Time until the routing tables of other nodes no longer contain a draining host.
constexpr absl::Duration DrainPropagationTime = absl::Seconds(2);
/// Time for the answers that are still outstanding when the measurement ends.
constexpr absl::Duration CoolDownTime = absl::Seconds(5);

const char *disciplineName(QueueDiscipline discipline)
{
    switch (discipline) {
    case QueueDiscipline::PriorityWithFloors:
        return "ranked";
    case QueueDiscipline::Fifo:
        return "first-come";
    case QueueDiscipline::StrictPriority:
        return "strict-rank";
    case QueueDiscipline::OnTimeFirst:
        return "in-time-first";
    case QueueDiscipline::FixedShares:
        break;
    }
    return "fixed-shares";
}

/// One simulation run of one service.
struct FloodCase
{
    const DeployedService *service = nullptr;
    QueueDiscipline discipline = QueueDiscipline::PriorityWithFloors;
    /// Index of the route that receives the flood.
    std::size_t floodedRoute = 0;
    /// Offered load of the flooded route as a multiple of the service's capacity; 0 for no flood.
    double floodFactor = 0;
    /// Halfway through the measurement, a third of the hosts fail or drain.
    bool losesThirdOfHosts = false;
    std::uint64_t seed = 1;
};

void killOrDrainThirdOfHosts(ServingModel &model)
{
    const std::size_t third = model.hostCount() / 3;
    for (std::size_t i = 0; i < third; ++i) {
        if (i % 2 == 0)
            model.kill(i, FailureDetectionTime);
        else
            model.drain(i, DrainPropagationTime);
    }
}

void runCase(const FloodCase &floodCase)
{
    ServingModelSettings settings = floodCase.service->modelSettings;
    settings.discipline = floodCase.discipline;
    settings.seed = floodCase.seed;
    ServingModel model(settings);
    const absl::Time offerEnd = model.time.now() + WarmUpTime + MeasurementTime + CoolDownTime / 2;
    for (std::size_t i = 0; i < floodCase.service->loads.size(); ++i) {
        RouteLoad load = floodCase.service->loads[i];
        if (floodCase.floodFactor > 0 && i == floodCase.floodedRoute)
            load.requestsPerSecond =
                    floodCase.floodFactor * floodCase.service->capacityPerSecond(load);
        model.offer(load, offerEnd);
    }
    model.time.runFor(WarmUpTime);
    model.startMeasurement();
    model.time.runFor(MeasurementTime / 2);
    if (floodCase.losesThirdOfHosts)
        killOrDrainThirdOfHosts(model);
    model.time.runFor(MeasurementTime / 2);
    const double usefulSlotTimeShare = model.usefulSlotTimeShare();
    model.endMeasurement();
    model.time.runFor(CoolDownTime);
    const auto &results = model.results();
    const ExecutionStats executionStats = model.executionStats();
    for (std::size_t i = 0; i < floodCase.service->loads.size(); ++i) {
        const RouteLoad &load = floodCase.service->loads[i];
        const RankId rank = settings.configuration.routes.at(load.route).rank;
        const auto found = results.find(rank);
        const RankResult result = found == results.end() ? RankResult() : found->second;
        std::cout << absl::StrFormat(
                "service=%s discipline=%s flood=%s factor=%g third_lost=%d seed=%d rank=%s "
                "offered=%d answered=%d p50_ms=%.2f p99_ms=%.2f work_share=%.4f "
                "refused_but_ran=%d keys_run_twice=%d attempts_per_call=%.4f\n",
                floodCase.service->name, disciplineName(floodCase.discipline),
                floodCase.floodFactor > 0
                        ? floodCase.service->loads[floodCase.floodedRoute].route.value()
                        : "none",
                floodCase.floodFactor, floodCase.losesThirdOfHosts ? 1 : 0, floodCase.seed,
                rank.value(), result.offered, result.answeredInTime,
                1e3 * result.latencyQuantile(0.5), 1e3 * result.latencyQuantile(0.99),
                usefulSlotTimeShare, executionStats.refusedButRan, executionStats.keysRunTwice,
                static_cast<double>(executionStats.attempts)
                        / static_cast<double>(executionStats.calls));
    }
    std::cout << std::flush;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app(
            "flood-bench: answered requests and latency by rank under floods, in virtual time");
    std::string examplesFolder = "examples";
    std::vector<double> floodFactors = { 2, 5, 20 };
    std::vector<std::string> disciplineNames = { "ranked", "first-come", "strict-rank",
                                                 "fixed-shares" };
    std::string serviceFilter;
    std::uint64_t seed = 1;
    app.add_option("--examples", examplesFolder, "Folder with the deployments");
    app.add_option("--factors", floodFactors,
                   "Loads of the flooded route, as multiples of the service's capacity");
    app.add_option("--disciplines", disciplineNames, "Queue disciplines to run");
    app.add_option("--service", serviceFilter, "Run only this service");
    app.add_option("--seed", seed, "Seed of all random choices");
    CLI11_PARSE(app, argc, argv);
    const auto services = deployedServices(examplesFolder);
    for (const DeployedService &service : services) {
        if (!serviceFilter.empty() && service.name != serviceFilter)
            continue;
        for (const QueueDiscipline discipline :
             { QueueDiscipline::PriorityWithFloors, QueueDiscipline::Fifo,
               QueueDiscipline::StrictPriority, QueueDiscipline::FixedShares }) {
            if (std::find(disciplineNames.begin(), disciplineNames.end(),
                          disciplineName(discipline))
                == disciplineNames.end())
                continue;
            runCase({ &service, discipline, 0, 0, false, seed });
            for (const std::size_t floodedRoute : { service.loads.size() - 1, std::size_t(0) }) {
                for (const double floodFactor : floodFactors) {
                    runCase({ &service, discipline, floodedRoute, floodFactor, false, seed });
                    runCase({ &service, discipline, floodedRoute, floodFactor, true, seed });
                }
            }
        }
    }
    return 0;
}
