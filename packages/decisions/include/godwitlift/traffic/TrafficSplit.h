/// \file
/// Distributes the requests of a route over its destinations by weight.
#pragma once

#include "godwitlift/traffic/RouteCatalogue.h"

#include <map>
#include <vector>

namespace godwitlift {

/// Smooth weighted round robin per route: in any sequence of requests, each destination's count
/// deviates from its share by at most one request. Not thread-safe.
class TrafficSplit final
{
public:
    /// The destination of the next request of \p route.
    const ServiceId &nextDestination(const TrafficRoute &route);

private:
    struct State
    {
        std::vector<WeightedService> destinations; ///< That the credits belong to.
        std::vector<double> credits;
    };

    std::map<RouteId, State> m_states;
};

} // namespace godwitlift
