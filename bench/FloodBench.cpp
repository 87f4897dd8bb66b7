/// \file
/// Floods by rank in virtual time: each service of both deployments, each discipline, fixed seeds.
/// Prints one line per case and rank; the same seed gives the same lines.
#include "Deployments.h"

#include <CLI/CLI.hpp>
#include <absl/strings/str_format.h>

#include <iostream>

namespace {

using namespace godwitlift;
using namespace godwitlift::test;

constexpr absl::Duration WarmUp = absl::Seconds(2);
constexpr absl::Duration Period = absl::Seconds(8);
/// Time until the tables of other nodes no longer name a dead host.
constexpr absl::Duration DetectionTime = absl::Seconds(6);
/// Time until they no longer name one that drains.
constexpr absl::Duration DrainSpreadTime = absl::Seconds(2);
/// Answers that are still under way when the period ends.
constexpr absl::Duration CoolDown = absl::Seconds(5);

const char *nameOf(QueueDiscipline discipline)
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

/// One run of one service.
struct Case
{
    const DeployedService *service = nullptr;
    QueueDiscipline discipline = QueueDiscipline::PriorityWithFloors;
    std::size_t flooded = 0; ///< Index of the flooded route.
    double factor = 0;       ///< Offered load of it in capacities; 0 for an ordinary hour.
    bool losesThird = false; ///< A third of the backend servers dies or drains half way.
    std::uint64_t seed = 1;
};

void loseThird(ServingModel &model)
{
    const std::size_t third = model.hostCount() / 3;
    for (std::size_t i = 0; i < third; ++i) {
        if (i % 2 == 0)
            model.kill(i, DetectionTime);
        else
            model.drain(i, DrainSpreadTime);
    }
}

void runCase(const Case &one)
{
    ServingModelSettings settings = one.service->modelSettings;
    settings.discipline = one.discipline;
    settings.seed = one.seed;
    ServingModel model(settings);
    const absl::Time end = model.time.now() + WarmUp + Period + CoolDown / 2;
    for (std::size_t i = 0; i < one.service->loads.size(); ++i) {
        RouteLoad load = one.service->loads[i];
        if (one.factor > 0 && i == one.flooded)
            load.requestsPerSecond = one.factor * one.service->capacityPerSecond(load);
        model.offer(load, end);
    }
    model.time.runFor(WarmUp);
    model.startMeasurement();
    model.time.runFor(Period / 2);
    if (one.losesThird)
        loseThird(model);
    model.time.runFor(Period / 2);
    const double work = model.usefulWorkShare();
    model.endMeasurement();
    model.time.runFor(CoolDown);
    const auto &results = model.results();
    const ExecutionStats truth = model.executionStats();
    for (std::size_t i = 0; i < one.service->loads.size(); ++i) {
        const RouteLoad &load = one.service->loads[i];
        const RankId rank = settings.configuration.routes.at(load.route).rank;
        const auto it = results.find(rank);
        const RankResult result = it == results.end() ? RankResult() : it->second;
        std::cout << absl::StrFormat(
                "service=%s discipline=%s flood=%s factor=%g third_lost=%d seed=%d rank=%s "
                "offered=%d answered=%d p50_ms=%.2f p99_ms=%.2f work_share=%.4f "
                "refused_but_ran=%d keys_run_twice=%d attempts_per_call=%.4f\n",
                one.service->name, nameOf(one.discipline),
                one.factor > 0 ? one.service->loads[one.flooded].route.value() : "none", one.factor,
                one.losesThird ? 1 : 0, one.seed, rank.value(), result.offered,
                result.answeredInTime, 1e3 * result.latencyQuantile(0.5),
                1e3 * result.latencyQuantile(0.99), work, truth.refusedButRan, truth.keysRunTwice,
                static_cast<double>(truth.attempts) / static_cast<double>(truth.calls));
    }
    std::cout << std::flush;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("flood-bench: service by rank under floods, in virtual time");
    std::string examples = "examples";
    std::vector<double> factors = { 2, 5, 20 };
    std::vector<std::string> disciplines = { "ranked", "first-come", "strict-rank",
                                             "fixed-shares" };
    std::string only;
    std::uint64_t seed = 1;
    app.add_option("--examples", examples, "Folder with the deployments");
    app.add_option("--factors", factors, "Floods in capacities");
    app.add_option("--disciplines", disciplines, "Disciplines to run");
    app.add_option("--service", only, "Run only this service");
    app.add_option("--seed", seed, "Seed of every random choice");
    CLI11_PARSE(app, argc, argv);
    const auto services = deployedServices(examples);
    for (const DeployedService &service : services) {
        if (!only.empty() && service.name != only)
            continue;
        for (const QueueDiscipline discipline :
             { QueueDiscipline::PriorityWithFloors, QueueDiscipline::Fifo,
               QueueDiscipline::StrictPriority, QueueDiscipline::FixedShares }) {
            if (std::find(disciplines.begin(), disciplines.end(), nameOf(discipline))
                == disciplines.end())
                continue;
            runCase({ &service, discipline, 0, 0, false, seed });
            for (const std::size_t flooded : { service.loads.size() - 1, std::size_t(0) }) {
                for (const double factor : factors) {
                    runCase({ &service, discipline, flooded, factor, false, seed });
                    runCase({ &service, discipline, flooded, factor, true, seed });
                }
            }
        }
    }
    return 0;
}
