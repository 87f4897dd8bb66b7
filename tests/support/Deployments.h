/// \file
/// Simulation settings and loads of the deployments in examples/.
#pragma once

#include "ServingModel.h"

#include <string>
#include <vector>

namespace godwitlift::test {

/// One service of a deployment with its baseline load.
struct DeployedService
{
    std::string name; ///< Such as `jarvey/booking-desk`.
    ServingModelSettings modelSettings;
    std::vector<RouteLoad> loads; ///< Most urgent first; together about half of the capacity.

    /// Requests per second that occupy all slots if the route of \p load is the only one.
    double capacityPerSecond(const RouteLoad &load) const;
};

/// All services of the deployments in \p examplesFolder.
std::vector<DeployedService> deployedServices(const std::string &examplesFolder);

/// Reads all intent files of \p folder and merges them. Aborts if one is invalid.
Configuration readDeployment(const std::string &folder);

} // namespace godwitlift::test
