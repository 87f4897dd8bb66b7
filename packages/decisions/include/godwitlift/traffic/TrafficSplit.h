/// \file
/// Spreads the requests of a route over its destinations by weight.
#pragma once

#include "godwitlift/traffic/RouteCatalogue.h"

#include <map>
#include <vector>

namespace godwitlift {

/// Smooth weighted round robin per route: any run of requests is spread by weight to within one
/// request. Not thread-safe.
class TrafficSplit final
{
public:
    /// The destination of the next request of \p route.
    const ServiceId &next(const TrafficRoute &route);

private:
    struct State
    {
        std::vector<WeightedService> destinations; ///< The credits hold for these.
        std::vector<double> credits;
    };

    std::map<RouteId, State> m_states;
};

} // namespace godwitlift
