/// \file
/// Aggregation of version reports.
#include "godwitlift/distribution/FleetReports.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// Refusals first, then the lowest versions.
bool isWorse(const LaggingHost &a, const LaggingHost &b)
{
    return std::make_tuple(a.refused == Version(), a.held, a.host)
           < std::make_tuple(b.refused == Version(), b.held, b.host);
}

} // namespace

ZoneReport FleetReports::subtree(const ZoneId &zone, const LaggingHost &self,
                                 const std::map<HostId, Follower> &followers, absl::Time now)
{
    ZoneReport report;
    report.zone = zone;
    report.hosts = 1;
    report.lowest = self.held;
    report.refusals = self.refused == Version() ? 0 : 1;
    report.asOfUnixMs = absl::ToUnixMillis(now);
    report.lagging.push_back(self);
    Version highest = self.held;
    for (const auto &entry : followers) {
        const ZoneReport &below = entry.second.report;
        report.hosts += below.hosts;
        report.lowest = std::min(report.lowest, below.lowest);
        report.refusals += below.refusals;
        highest = std::max(highest, entry.second.held);
        report.lagging.insert(report.lagging.end(), below.lagging.begin(), below.lagging.end());
    }
    std::erase_if(report.lagging, [&](const LaggingHost &host) {
        return host.held >= highest && host.refused == Version();
    });
    std::sort(report.lagging.begin(), report.lagging.end(), isWorse);
    if (report.lagging.size() > LaggingLimit)
        report.lagging.resize(LaggingLimit);
    return report;
}

void FleetReports::merge(const ZoneReport &report)
{
    ZoneReport &held = m_byZone[report.zone];
    if (report.asOfUnixMs >= held.asOfUnixMs)
        held = report;
}

std::vector<ZoneReport> FleetReports::all() const
{
    std::vector<ZoneReport> reports;
    reports.reserve(m_byZone.size());
    for (const auto &entry : m_byZone)
        reports.push_back(entry.second);
    return reports;
}

} // namespace godwitlift
