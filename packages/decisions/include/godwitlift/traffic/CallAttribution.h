/// \file
/// Estimates which requests of a host are calls that repeated runs of its backend server make.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace godwitlift {

/// A request that the host's backend server is running.
struct RunInProgress
{
    absl::Time deadline;
    bool isRepeat = false; ///< The request has reached a server before.
};

/// Tells calls of the backend server from requests of clients, which arrive on the same address and
/// look alike. Not thread-safe.
///
/// A call is made by a run in progress and expires no later than that run. A route whose requests
/// nearly always meet this is taken for a route of calls, and each of its requests for a call of
/// one of the runs that may have made it.
class CallAttribution final
{
public:
    /// Whether one of \p runs can have made a call that expires at \p deadline.
    static bool canBeCall(absl::Time deadline, const std::vector<RunInProgress> &runs);

    /// True if \p route has been a route of calls over many more requests than onRequest() judges
    /// by. Under a flood nearly every request of a client arrives during a run that could have made
    /// it; the quieter time before tells its route.
    bool isLastingRouteOfCalls(const RouteId &route) const;

    /// A request on \p route that expires at \p deadline arrives during \p runs. Returns the
    /// probability that it is a call of a repeated run.
    double onRequest(const RouteId &route, absl::Time deadline,
                     const std::vector<RunInProgress> &runs);

private:
    /// Requests of one route; older ones count less.
    struct Evidence
    {
        double requests = 0;
        double withoutRun = 0; ///< No run in progress could have made them.

        void record(bool isWithoutRun, double maxRequests);
        bool isOfCalls() const;
    };
    struct RouteEvidence
    {
        Evidence recent;
        Evidence lasting;
    };

    std::map<RouteId, RouteEvidence> m_routes;
};

} // namespace godwitlift
