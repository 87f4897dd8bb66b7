/// \file
/// Decay of reports, and the wait that follows from an uncertain demand.
#include "godwitlift/traffic/LoadEstimate.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace godwitlift {

void LoadEstimate::onReport(std::uint32_t demand, absl::Time now)
{
    if (m_lastReport == absl::InfinitePast()) {
        m_usualDemand = demand;
    } else {
        const double elapsed =
                std::max(absl::FDivDuration(now - m_lastReport, UsualDemandPeriod), 0.0);
        // The previous report is the best estimate of the demand since then.
        m_usualDemand +=
                (1 - std::exp(-elapsed)) * (0.5 * (m_reportedDemand + demand) - m_usualDemand);
    }
    m_reportedDemand = demand;
    m_lastReport = now;
}

ExpectedDemand LoadEstimate::expectedAt(absl::Time now, double serviceSeconds) const
{
    if (m_lastReport == absl::InfinitePast() || serviceSeconds <= 0)
        return { m_reportedDemand, 0 };
    const double age = std::max(absl::ToDoubleSeconds(now - m_lastReport), 0.0);
    const double remaining = std::exp(-age / serviceSeconds);
    ExpectedDemand demand;
    demand.mean = remaining * m_reportedDemand + (1 - remaining) * m_usualDemand;
    demand.variance =
            remaining * (1 - remaining) * m_reportedDemand + (1 - remaining) * m_usualDemand;
    return demand;
}

double LoadEstimate::expectedWaitSeconds(const ExpectedDemand &demand, double slots,
                                         double serviceSeconds)
{
    const double excess = demand.mean + 1 - slots;
    if (demand.variance < 1e-6)
        return std::max(excess, 0.0) / slots * serviceSeconds;
    // Mean of the positive part of a normally distributed number.
    const double deviation = std::sqrt(demand.variance);
    const double z = excess / deviation;
    const double density = std::exp(-0.5 * z * z) / std::sqrt(2 * std::numbers::pi);
    const double probability = 0.5 * std::erfc(-z / std::numbers::sqrt2);
    return (excess * probability + deviation * density) / slots * serviceSeconds;
}

} // namespace godwitlift
