/// \file
/// Intervals of gate reports.
#include "godwitlift/traffic/ReportSchedule.h"

#include <algorithm>
#include <cmath>

namespace godwitlift {

bool ReportSchedule::areCallersDue(const GateReport &report, std::size_t callerCount,
                                   absl::Time now) const
{
    const absl::Duration elapsed = now - m_lastReportTime;
    if (elapsed >= MaxCallerInterval)
        return true;
    const double change = std::abs(static_cast<double>(report.running) + report.queued
                                   - m_lastReport.running - m_lastReport.queued);
    const bool isSignificant =
            report.acceptsRequests != m_lastReport.acceptsRequests
            || change >= SignificantChange * std::max(report.slots, 1U)
            || std::abs(report.failureShare - m_lastReport.failureShare) >= SignificantChange;
    return isSignificant
           && elapsed >= std::max(MinCallerInterval,
                                  IntervalPerCaller * static_cast<double>(callerCount));
}

void ReportSchedule::onCallersReported(const GateReport &report, absl::Time now)
{
    m_lastReport = report;
    m_lastReportTime = now;
}

void ReportSchedule::onReported(ReportRecipient &recipient, std::size_t peerCount, absl::Time now)
{
    const absl::Duration interval =
            std::max(MinRefreshInterval, RefreshIntervalPerPeer * static_cast<double>(peerCount));
    recipient.nextRefresh = now + interval * (0.75 + 0.5 * m_random.uniformReal());
}

} // namespace godwitlift
