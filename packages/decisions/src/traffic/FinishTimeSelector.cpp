/// \file
/// Expected finish times and what they are learnt from.
#include "godwitlift/traffic/FinishTimeSelector.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// Weight of the newest sample in a route's mean over all servers.
constexpr double RouteWeight = 0.03;
/// Weight of the newest sample in one server's slowness; a tenth of it follows a change within
/// about ten answers.
constexpr double SlownessWeight = 0.12;
/// Assumed service time of a route that has not been answered yet.
constexpr double AssumedServiceSeconds = 0.1;
/// Bounds of the slowness factor, so that one odd answer neither starves nor floods a server.
constexpr double LeastSlowness = 0.2;
constexpr double MostSlowness = 20;
/// Seconds that one byte between zones is held to be worth; links between zones are shared and
/// billed by the byte.
constexpr double CrossZoneSecondsPerByte = 2.5e-6;
/// Round trip and handling for a host in another zone.
constexpr double CrossZoneSeconds = 0.004;
/// Mean size from which answers take turns on thin links.
constexpr double LargeAnswerBytes = 8192;
/// Spread of the random factor that keeps ingresses from choosing alike on the same reports.
constexpr double ChoiceSpread = 0.1;
/// Pause between two single requests of the whole fleet that test a failing server: a server that
/// has recovered is back in use after some two seconds.
constexpr absl::Duration FleetProbePause = absl::Milliseconds(200);
/// Time after which an old failure no longer counts.
constexpr absl::Duration FailureMemory = absl::Seconds(5);
/// Seconds by which a failing server is held back behind sound ones, at a share of 1.
constexpr double FailurePenaltySeconds = 5;

double moved(double mean, double sample, double weight)
{
    return mean == 0 ? sample : mean + weight * (sample - mean);
}

} // namespace

void FinishTimeSelector::hostSeen(const HostId &host, const ZoneId &zone)
{
    m_hosts[host].zone = zone;
}

void FinishTimeSelector::hostLost(const HostId &host)
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end())
        return;
    it->second.isReachable = false;
    it->second.report.takesWork = false;
}

void FinishTimeSelector::hostForgotten(const HostId &host)
{
    m_hosts.erase(host);
}

void FinishTimeSelector::report(const HostId &host, const GateReport &report, absl::Time now)
{
    Host &known = m_hosts[host];
    if (known.report.server != report.server) {
        known.slowness = 1;
        known.failures.reset();
        known.report.failureShare = 0;
    }
    const double before = failureShare(known);
    known.report = report;
    noteFailing(known, before, now);
    known.isReachable = true;
    known.sinceReport = 0;
    known.bytesSinceReport = 0;
}

void FinishTimeSelector::loadReported(const HostId &host, std::uint32_t running,
                                      std::uint32_t queued, absl::Duration linkBacklog)
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end())
        return;
    it->second.report.running = running;
    it->second.report.queued = queued;
    it->second.report.linkBacklog = linkBacklog;
    it->second.sinceReport = 0;
    it->second.bytesSinceReport = 0;
}

bool FinishTimeSelector::isCandidate(const Host &host, const ServiceId &service) const
{
    return host.isReachable && host.report.takesWork && host.report.service == service;
}

double FinishTimeSelector::busySlots(const Host &host) const
{
    const double reported = static_cast<double>(host.report.running) + host.report.queued;
    return std::max(reported + std::max(host.sinceReport, 0),
                    static_cast<double>(host.ownInFlight));
}

double FinishTimeSelector::finishSeconds(const Host &host, const RouteStatistics &route) const
{
    const double slots = std::max<std::uint32_t>(host.report.slots, 1);
    const double base = route.meanSeconds == 0 ? AssumedServiceSeconds : route.meanSeconds;
    const double service = base * host.slowness;
    const double busy = busySlots(host);
    const double use = std::min(busy / slots, 1.0);
    const double wait = busy >= slots ? (busy + 1 - slots) / slots : 0;
    double seconds = service * (1 + 0.5 * use * use + wait);
    if (host.zone != m_ownZone)
        seconds += CrossZoneSeconds + route.meanBytes * CrossZoneSecondsPerByte;
    return seconds + linkSeconds(host, route);
}

double FinishTimeSelector::linkSeconds(const Host &host, const RouteStatistics &route) const
{
    // Small answers do not wait for large ones.
    if (host.report.linkMbps == 0 || route.meanBytes < LargeAnswerBytes)
        return 0;
    const double bytesPerSecond = host.report.linkMbps * 1e6 / 8;
    return absl::ToDoubleSeconds(host.report.linkBacklog)
           + (host.bytesSinceReport + route.meanBytes) / bytesPerSecond;
}

double FinishTimeSelector::failureShare(const Host &host)
{
    return std::max(host.failures.value(), host.report.failureShare);
}

absl::Duration FinishTimeSelector::probePause() const
{
    return FleetProbePause * static_cast<double>(m_hosts.size());
}

void FinishTimeSelector::noteFailing(Host &host, double before, absl::Time now)
{
    // All nodes learn of it together; their first tests must not come together.
    if (before < FailureShare::Failing && failureShare(host) >= FailureShare::Failing)
        host.lastProbe = now - probePause() * m_random.uniformReal();
}

double FinishTimeSelector::failurePenalty(Host &host, bool areMostFailing, absl::Time now) const
{
    if (areMostFailing || failureShare(host) < FailureShare::Failing)
        return 0;
    if (host.report.failureShare < FailureShare::Failing
        && now - host.lastFailure > FailureMemory) {
        host.failures.reset(FailureShare::Failing / 2);
        return 0;
    }
    if (now - host.lastProbe > probePause())
        return 0;
    return FailurePenaltySeconds * failureShare(host);
}

std::optional<SelectedHost> FinishTimeSelector::select(const ServiceId &service,
                                                       const RouteId &route,
                                                       const std::set<HostId> &tried,
                                                       absl::Time now)
{
    std::size_t candidates = 0;
    std::size_t failing = 0;
    for (const auto &[id, host] : m_hosts) {
        if (!isCandidate(host, service))
            continue;
        ++candidates;
        failing += failureShare(host) >= FailureShare::Failing ? 1 : 0;
    }
    const bool areMostFailing = failing * 2 > candidates;
    const RouteStatistics statistics = m_routes[route];
    const HostId *best = nullptr;
    Host *bestHost = nullptr;
    double bestScore = 0;
    for (auto &[id, host] : m_hosts) {
        if (!isCandidate(host, service) || tried.contains(id))
            continue;
        const double spread = 1 + ChoiceSpread * m_random.uniformReal();
        const double score = finishSeconds(host, statistics) * spread
                             + failurePenalty(host, areMostFailing, now);
        if (best == nullptr || score < bestScore) {
            best = &id;
            bestHost = &host;
            bestScore = score;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    if (failureShare(*bestHost) >= FailureShare::Failing)
        bestHost->lastProbe = now;
    return SelectedHost{ *best, absl::Seconds(finishSeconds(*bestHost, statistics)) };
}

std::size_t FinishTimeSelector::availableCount(const ServiceId &service) const
{
    return static_cast<std::size_t>(
            std::count_if(m_hosts.begin(), m_hosts.end(),
                          [&](const auto &entry) { return isCandidate(entry.second, service); }));
}

FinishTimeSelector::Occupancy FinishTimeSelector::occupancy(const ServiceId &service) const
{
    Occupancy sum;
    for (const auto &[id, host] : m_hosts) {
        if (!isCandidate(host, service))
            continue;
        sum.slots += host.report.slots;
        sum.demand += static_cast<std::uint32_t>(busySlots(host));
    }
    return sum;
}

absl::Duration FinishTimeSelector::meanService(const RouteId &route) const
{
    const auto it = m_routes.find(route);
    return it == m_routes.end() ? absl::ZeroDuration() : absl::Seconds(it->second.meanSeconds);
}

void FinishTimeSelector::sent(const HostId &host, const RouteId &route)
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end())
        return;
    ++it->second.ownInFlight;
    ++it->second.sinceReport;
    const auto statistics = m_routes.find(route);
    if (statistics != m_routes.end())
        it->second.bytesSinceReport += statistics->second.meanBytes;
}

void FinishTimeSelector::ended(const HostId &host, const RouteId &route, AttemptOutcome outcome,
                               absl::Duration service, std::size_t answerBytes, absl::Time now)
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end())
        return;
    Host &known = it->second;
    known.ownInFlight -= known.ownInFlight > 0 ? 1 : 0;
    --known.sinceReport;
    if (outcome == AttemptOutcome::Answered) {
        RouteStatistics &statistics = m_routes[route];
        const double seconds = absl::ToDoubleSeconds(service);
        statistics.meanSeconds = moved(statistics.meanSeconds, seconds, RouteWeight);
        statistics.meanBytes =
                moved(statistics.meanBytes, static_cast<double>(answerBytes), RouteWeight);
        if (statistics.meanSeconds > 0) {
            const double sample =
                    std::clamp(seconds / statistics.meanSeconds, LeastSlowness, MostSlowness);
            known.slowness += SlownessWeight * (sample - known.slowness);
        }
        known.failures.succeeded();
    } else if (outcome == AttemptOutcome::Failed) {
        const double before = failureShare(known);
        known.failures.failed();
        known.lastFailure = now;
        noteFailing(known, before, now);
    }
}

} // namespace godwitlift
