/// \file
/// Smooth weighted round robin.
#include "godwitlift/traffic/TrafficSplit.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// Number of positions at which a sequence may begin: weights are whole percentages as a rule.
constexpr std::uint64_t StartPositions = 100;

} // namespace

const ServiceId &TrafficSplit::nextDestination(const TrafficRoute &route)
{
    if (route.destinations.size() == 1)
        return route.destinations.front().service;
    State &state = m_states[route.id];
    if (state.destinations != route.destinations) {
        state.destinations = route.destinations;
        state.credits.assign(route.destinations.size(), 0);
        for (auto skipped = m_random.uniformBelow(StartPositions); skipped > 0; --skipped)
            advance(state);
    }
    return route.destinations[advance(state)].service;
}

std::size_t TrafficSplit::advance(State &state)
{
    double total = 0;
    for (std::size_t i = 0; i < state.credits.size(); ++i) {
        state.credits[i] += state.destinations[i].weight;
        total += state.destinations[i].weight;
    }
    const auto best = std::max_element(state.credits.begin(), state.credits.end());
    *best -= total;
    return static_cast<std::size_t>(best - state.credits.begin());
}

} // namespace godwitlift
