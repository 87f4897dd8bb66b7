/// \file
/// Distributes the requests of a route over its destinations by weight.
#pragma once

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/traffic/RouteCatalogue.h"

#include <map>
#include <vector>

namespace godwitlift {

/// Smooth weighted round robin per route: in any sequence of requests, each destination's count
/// deviates from its share by at most one request. The sequence begins at a random position, so
/// that the weights also hold over many nodes with few requests each. Not thread-safe.
class TrafficSplit final
{
public:
    explicit TrafficSplit(RandomSource &random)
        : m_random(random)
    {}

    /// The destination of the next request of \p route.
    const ServiceId &nextDestination(const TrafficRoute &route);

private:
    struct State
    {
        std::vector<WeightedService> destinations; ///< That the credits belong to.
        std::vector<double> credits;
    };

    /// Index of the next destination.
    static std::size_t advance(State &state);

    RandomSource &m_random;
    std::map<RouteId, State> m_states;
};

} // namespace godwitlift
