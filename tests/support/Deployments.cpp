/// \file
/// Sizes and baseline loads of the example deployments.
#include "Deployments.h"

#include "godwitlift/configuration/ConfigurationCodec.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

namespace godwitlift::test {

namespace {

/// Baseline load of one route.
struct BaselineLoad
{
    const char *route;
    double capacityShare; ///< Share of the service's slots that the route occupies.
    double meanServiceSeconds;
};

DeployedService makeDeployedService(const std::string &name, const Configuration &configuration,
                                    std::vector<std::string> zones, int hostCount,
                                    const std::vector<BaselineLoad> &loads)
{
    DeployedService service;
    service.name = name;
    service.modelSettings.configuration = configuration;
    service.modelSettings.service = ServiceId(name.substr(name.find('/') + 1));
    service.modelSettings.zones = std::move(zones);
    service.modelSettings.hostCount = hostCount;
    for (const BaselineLoad &load : loads) {
        RouteLoad route{ RouteId(load.route), 0, load.meanServiceSeconds };
        route.requestsPerSecond = load.capacityShare * service.capacityPerSecond(route);
        service.loads.push_back(route);
    }
    return service;
}

} // namespace

double DeployedService::capacityPerSecond(const RouteLoad &load) const
{
    return modelSettings.hostCount * modelSettings.slots / load.meanServiceSeconds;
}

Configuration readDeployment(const std::string &folder)
{
    Configuration merged;
    std::vector<std::filesystem::path> paths;
    for (const auto &entry : std::filesystem::directory_iterator(folder))
        paths.push_back(entry.path());
    std::sort(paths.begin(), paths.end());
    for (const auto &path : paths) {
        std::ifstream file(path);
        const std::string text{ std::istreambuf_iterator<char>(file), {} };
        std::string problem;
        const auto part = valueOrErrorText([&] { return decodeConfiguration(text); }, problem);
        if (!part) {
            std::cerr << path << ": " << problem << "\n";
            std::abort();
        }
        merged.ranks.insert(part->ranks.begin(), part->ranks.end());
        merged.services.insert(part->services.begin(), part->services.end());
        merged.routes.insert(part->routes.begin(), part->routes.end());
    }
    return merged;
}

std::vector<DeployedService> deployedServices(const std::string &examplesFolder)
{
    const Configuration jarvey = readDeployment(examplesFolder + "/jarvey");
    const Configuration cordao = readDeployment(examplesFolder + "/cordao");
    const std::vector<std::string> leinster = { "liberties", "ringsend", "phibsborough" };
    const std::vector<std::string> nordeste = { "caruaru", "recife", "campina", "fortaleza" };
    return {
        makeDeployedService("jarvey/booking-desk", jarvey, leinster, 6,
                            { { "fares", 0.15, 0.02 },
                              { "rosters", 0.15, 0.01 },
                              { "photo-packs", 0.2, 0.4 } }),
        makeDeployedService("jarvey/stable-ledger", jarvey, leinster, 3,
                            { { "stable-entries", 0.2, 0.02 }, { "stable-reports", 0.3, 0.3 } }),
        makeDeployedService("cordao/order-app", cordao, nordeste, 7,
                            { { "orders", 0.2, 0.03 }, { "stock", 0.3, 0.01 } }),
        makeDeployedService("cordao/artwork", cordao, nordeste, 5,
                            { { "proofs", 0.4, 0.5 }, { "artwork-checks", 0.1, 0.005 } }),
    };
}

} // namespace godwitlift::test
