/// \file
/// Estimates the present load of a backend server from reports that are a little old.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace godwitlift {

/// Requests that run or wait at a backend server, as far as they are known.
struct ExpectedDemand
{
    double mean = 0;
    double variance = 0;
};

/// Estimate of one server's demand, as seen by one of many ingresses.
///
/// A report loses its worth as the requests that it counted end: after one service time about a
/// third of them still run. What they leave is taken by requests of other ingresses, about as many
/// as the server has usually had. The estimate therefore moves from the reported to the usual
/// demand as the report grows older, and its variance from that of a count to that of a random
/// arrival process. Not thread-safe.
class LoadEstimate final
{
public:
    /// Time constant of the usual demand: long compared to the interval between two reports, so
    /// that ingresses do not follow every change together.
    static constexpr absl::Duration UsualDemandPeriod = absl::Seconds(1);

    void onReport(std::uint32_t demand, absl::Time now);
    void reset() { *this = LoadEstimate(); }
    /// \p serviceSeconds is the mean service time at the server.
    ExpectedDemand expectedAt(absl::Time now, double serviceSeconds) const;

    /// Expected wait of a new request for one of \p slots slots.
    static double expectedWaitSeconds(const ExpectedDemand &demand, double slots,
                                      double serviceSeconds);

private:
    double m_reportedDemand = 0;
    double m_usualDemand = 0;
    absl::Time m_lastReport = absl::InfinitePast();
};

} // namespace godwitlift
