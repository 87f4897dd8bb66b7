/// \file
/// Smooth weighted round robin.
#include "godwitlift/traffic/TrafficSplit.h"

#include <algorithm>

namespace godwitlift {

const ServiceId &TrafficSplit::nextDestination(const TrafficRoute &route)
{
    if (route.destinations.size() == 1)
        return route.destinations.front().service;
    State &state = m_states[route.id];
    if (state.destinations != route.destinations) {
        state.destinations = route.destinations;
        state.credits.assign(route.destinations.size(), 0);
    }
    double total = 0;
    for (std::size_t i = 0; i < state.credits.size(); ++i) {
        state.credits[i] += route.destinations[i].weight;
        total += route.destinations[i].weight;
    }
    const auto best = std::max_element(state.credits.begin(), state.credits.end());
    *best -= total;
    return route.destinations[static_cast<std::size_t>(best - state.credits.begin())].service;
}

} // namespace godwitlift
