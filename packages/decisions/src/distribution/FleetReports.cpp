/// \file
/// Aggregation of version reports.
#include "godwitlift/distribution/FleetReports.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// Refusals first, then the lowest versions.
bool isReportedBefore(const LaggingHost &a, const LaggingHost &b)
{
    return std::make_tuple(a.refusedVersion == Version(), a.heldVersion, a.host)
           < std::make_tuple(b.refusedVersion == Version(), b.heldVersion, b.host);
}

} // namespace

ZoneReport FleetReports::aggregateSubtree(const ZoneId &zone, const LaggingHost &self,
                                          const std::map<HostId, Follower> &followers,
                                          absl::Time now)
{
    ZoneReport report;
    report.zone = zone;
    report.hostCount = 1;
    report.lowestVersion = self.heldVersion;
    report.refusalCount = self.refusedVersion == Version() ? 0 : 1;
    report.asOfUnixMs = absl::ToUnixMillis(now);
    report.laggingHosts.push_back(self);
    Version highest = self.heldVersion;
    for (const auto &entry : followers) {
        const ZoneReport &childReport = entry.second.subtreeReport;
        report.hostCount += childReport.hostCount;
        report.lowestVersion = std::min(report.lowestVersion, childReport.lowestVersion);
        report.refusalCount += childReport.refusalCount;
        highest = std::max(highest, entry.second.heldVersion);
        report.laggingHosts.insert(report.laggingHosts.end(), childReport.laggingHosts.begin(),
                                   childReport.laggingHosts.end());
    }
    std::erase_if(report.laggingHosts, [&](const LaggingHost &host) {
        return host.heldVersion >= highest && host.refusedVersion == Version();
    });
    std::sort(report.laggingHosts.begin(), report.laggingHosts.end(), isReportedBefore);
    if (report.laggingHosts.size() > MaxLaggingHosts)
        report.laggingHosts.resize(MaxLaggingHosts);
    return report;
}

void FleetReports::merge(const ZoneReport &report)
{
    ZoneReport &newest = m_byZone[report.zone];
    if (report.asOfUnixMs >= newest.asOfUnixMs)
        newest = report;
}

std::vector<ZoneReport> FleetReports::newestReports() const
{
    std::vector<ZoneReport> reports;
    reports.reserve(m_byZone.size());
    for (const auto &entry : m_byZone)
        reports.push_back(entry.second);
    return reports;
}

} // namespace godwitlift
