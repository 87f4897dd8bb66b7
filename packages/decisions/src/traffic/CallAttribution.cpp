/// \file
/// Evidence on routes and the share of repeated runs.
#include "godwitlift/traffic/CallAttribution.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// A call arrives later than it was made, and deadlines are sent in whole milliseconds.
constexpr absl::Duration ArrivalTolerance = absl::Milliseconds(10);
/// Requests of a route before it can be taken for a route of calls.
constexpr double MinRequests = 20;
/// Requests after which older ones count half.
constexpr double MaxRecentRequests = 400;
constexpr double MaxLastingRequests = 20'000;
/// Largest share of calls that arrive after the run that made them has been cancelled.
constexpr double MaxShareWithoutRun = 0.05;

} // namespace

bool CallAttribution::canBeCall(absl::Time deadline, const std::vector<RunInProgress> &runs)
{
    return std::any_of(runs.begin(), runs.end(), [deadline](const RunInProgress &run) {
        return deadline <= run.deadline + ArrivalTolerance;
    });
}

double CallAttribution::onRequest(const RouteId &route, absl::Time deadline,
                                  const std::vector<RunInProgress> &runs)
{
    double possibleRuns = 0;
    double repeatedRuns = 0;
    for (const RunInProgress &run : runs) {
        if (deadline > run.deadline + ArrivalTolerance)
            continue;
        ++possibleRuns;
        repeatedRuns += run.isRepeat ? 1 : 0;
    }
    RouteEvidence &evidence = m_routes[route];
    evidence.recent.record(possibleRuns == 0, MaxRecentRequests);
    evidence.lasting.record(possibleRuns == 0, MaxLastingRequests);
    return evidence.recent.isOfCalls() && possibleRuns > 0 ? repeatedRuns / possibleRuns : 0;
}

bool CallAttribution::isLastingRouteOfCalls(const RouteId &route) const
{
    const auto it = m_routes.find(route);
    return it != m_routes.end() && it->second.lasting.isOfCalls();
}

void CallAttribution::Evidence::record(bool isWithoutRun, double maxRequests)
{
    ++requests;
    withoutRun += isWithoutRun ? 1 : 0;
    if (requests > maxRequests) {
        requests /= 2;
        withoutRun /= 2;
    }
}

bool CallAttribution::Evidence::isOfCalls() const
{
    return requests >= MinRequests && withoutRun <= MaxShareWithoutRun * requests;
}

} // namespace godwitlift
