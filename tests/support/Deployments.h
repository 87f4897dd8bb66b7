/// \file
/// The deployments of examples/ as models.
#pragma once

#include "ServingModel.h"

#include <string>
#include <vector>

namespace godwitlift::test {

/// One service of a deployment with the load of an ordinary hour.
struct DeployedService
{
    std::string name; ///< Such as `jarvey/booking-desk`.
    ServingModelSettings model;
    std::vector<RouteLoad> loads; ///< Most urgent first; about half of the capacity together.

    /// Requests a second of \p route alone that would take all slots.
    double capacityPerSecond(const RouteLoad &load) const;
};

/// Every service of both deployments, read from \p examplesFolder.
std::vector<DeployedService> deployedServices(const std::string &examplesFolder);

/// All intent files of one folder as one configuration.
Configuration readDeployment(const std::string &folder);

} // namespace godwitlift::test
