/// \file
/// Estimates of finish times and handling of failing servers.
#include "godwitlift/traffic/FinishTimeSelector.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// Weight of the newest sample in a route's mean over all servers.
constexpr double RouteSmoothingFactor = 0.03;
/// Weight of the newest sample in a server's service time ratio; about a tenth lets the ratio
/// follow a change within about ten answers.
constexpr double ServiceTimeRatioSmoothingFactor = 0.12;
/// Service time of a route before its first answer.
constexpr double DefaultServiceSeconds = 0.1;
/// Bounds of the service time ratio, so that a single outlier neither starves nor overloads a
/// server.
constexpr double MinServiceTimeRatio = 0.2;
constexpr double MaxServiceTimeRatio = 20;
/// Cost of a byte between zones, as latency: links between zones are shared and billed by the byte.
constexpr double CrossZoneSecondsPerByte = 2.5e-6;
/// Additional round trip and processing time for a host in another zone.
constexpr double CrossZoneSeconds = 0.004;
/// Size from which a message takes noticeable time on a slow link, and answers are paced there.
constexpr double LargeMessageBytes = 8192;
/// Hosts that are compared for a request. All ingresses have similar, outdated views: if each chose
/// the best of many hosts, requests would crowd at the same few until the next reports.
constexpr std::size_t SampleSize = 4;
/// A host of the own zone is taken without looking at other zones while it has this share of its
/// slots occupied at most and is expected to finish within this multiple of the mean service time.
constexpr double FreeShare = 0.9;
constexpr double FastRatio = 2.5;
/// Spread of the random factor on the expected finish time; prevents all ingresses from selecting
/// the same host on the same reports.
constexpr double ScoreJitter = 0.1;
/// Interval between probe requests of the whole fleet to a failing server: a recovered server is in
/// use again after about two seconds.
constexpr absl::Duration FleetProbeInterval = absl::Milliseconds(200);
/// Time after which failures of attempts of this node no longer count.
constexpr absl::Duration FailureExpiry = absl::Seconds(5);
/// Score penalty of a server with a failure share of 1; ranks failing servers behind healthy ones.
constexpr double FailurePenaltySeconds = 5;

double updatedAverage(double mean, double sample, double smoothingFactor)
{
    return mean == 0 ? sample : mean + smoothingFactor * (sample - mean);
}

} // namespace

void FinishTimeSelector::addHost(const HostId &host, const ZoneId &zone)
{
    m_hosts[host].zone = zone;
}

void FinishTimeSelector::markUnreachable(const HostId &host)
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end())
        return;
    it->second.isReachable = false;
    it->second.report.acceptsRequests = false;
}

void FinishTimeSelector::removeHost(const HostId &host)
{
    m_hosts.erase(host);
}

void FinishTimeSelector::onGateReport(const HostId &host, const GateReport &report, absl::Time now)
{
    Host &state = m_hosts[host];
    if (state.report.server != report.server) {
        state.serviceTimeRatio = 1;
        state.failures.reset();
        state.report.failureShare = 0;
    }
    const double previousShare = failureShare(state);
    state.report = report;
    state.load.onReport(report.running + report.queued, now);
    delayFirstProbe(state, previousShare, now);
    state.isReachable = true;
    state.inFlightSinceReport = 0;
    state.sentSinceReport = 0;
    state.bytesSinceReport = 0;
    state.bodyBytesSinceReport = 0;
}

void FinishTimeSelector::onLoadReport(const HostId &host, const GateLoadReport &report,
                                      absl::Time now)
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end())
        return;
    Host &state = it->second;
    state.report.linkBacklog = report.linkBacklog;
    state.report.bodyBacklog = report.bodyBacklog;
    state.report.requestLimit = report.requestLimit;
    state.report.slowdown = report.slowdown.value_or(state.report.slowdown);
    state.sentSinceReport = 0;
    state.bytesSinceReport = 0;
    state.bodyBytesSinceReport = 0;
    onDemandReport(host, report.demand, now);
}

void FinishTimeSelector::onDemandReport(const HostId &host, const GateDemand &demand,
                                        absl::Time now)
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end())
        return;
    Host &state = it->second;
    state.report.running = demand.running;
    state.report.queued = demand.queued;
    state.load.onReport(demand.running + demand.queued, now);
    state.inFlightSinceReport = 0;
}

bool FinishTimeSelector::isCandidate(const Host &host, const ServiceId &service) const
{
    return host.isReachable && host.report.acceptsRequests && host.report.service == service;
}

double FinishTimeSelector::estimatedDemand(const Host &host) const
{
    const double reported = static_cast<double>(host.report.running) + host.report.queued;
    return std::max(reported + std::max(host.inFlightSinceReport, 0),
                    static_cast<double>(host.ownInFlight));
}

ExpectedDemand FinishTimeSelector::expectedDemand(const Host &host, absl::Time now) const
{
    ExpectedDemand demand = host.load.expectedAt(now, meanRequestSeconds(host));
    demand.mean += std::max(host.inFlightSinceReport, 0);
    demand.mean = std::max(demand.mean, static_cast<double>(host.ownInFlight));
    return demand;
}

double FinishTimeSelector::meanServiceSeconds(const RouteStatistics &route)
{
    return route.meanSeconds == 0 ? DefaultServiceSeconds : route.meanSeconds;
}

double FinishTimeSelector::serviceSeconds(const Host &host, const RouteStatistics &route)
{
    return meanServiceSeconds(route) * host.serviceTimeRatio * host.report.slowdown;
}

double FinishTimeSelector::meanRequestSeconds(const Host &host) const
{
    const auto it = m_serviceSeconds.find(host.report.service);
    const double seconds = it == m_serviceSeconds.end() ? DefaultServiceSeconds : it->second;
    return seconds * host.serviceTimeRatio * host.report.slowdown;
}

double FinishTimeSelector::finishSeconds(const Candidate &candidate, const Request &request,
                                         absl::Time now) const
{
    const Host &host = *candidate.host;
    const RouteStatistics &route = request.route;
    const double slots = std::max<std::uint32_t>(host.report.slots, 1);
    const double service = serviceSeconds(host, route);
    const ExpectedDemand demand = expectedDemand(host, now);
    const double utilization = std::min(demand.mean / slots, 1.0);
    double waitSeconds = LoadEstimate::expectedWaitSeconds(demand, slots, meanRequestSeconds(host));
    if (host.report.requestLimit)
        waitSeconds =
                std::max(waitSeconds, absl::ToDoubleSeconds(RequestRateLimit::expectedWait(
                                              *host.report.requestLimit, host.sentSinceReport)));
    double seconds = service * (1 + 0.5 * utilization * utilization) + waitSeconds;
    if (host.zone != m_ownZone)
        seconds += CrossZoneSeconds + (route.meanBytes + request.bytes) * CrossZoneSecondsPerByte;
    return seconds + linkTransferSeconds(host, route) + requestTransferSeconds(candidate, request);
}

double FinishTimeSelector::requestTransferSeconds(const Candidate &candidate,
                                                  const Request &request) const
{
    const Host &host = *candidate.host;
    if (host.report.linkMbps == 0 || request.bytes < LargeMessageBytes
        || *candidate.id == m_ownHost)
        return 0;
    return absl::ToDoubleSeconds(host.report.bodyBacklog)
           + transmitSeconds(host, host.bodyBytesSinceReport + request.bytes);
}

double FinishTimeSelector::transmitSeconds(const Host &host, double bytes)
{
    return host.report.linkMbps == 0 ? 0 : bytes / (host.report.linkMbps * 1e6 / 8);
}

double FinishTimeSelector::linkTransferSeconds(const Host &host, const RouteStatistics &route) const
{
    // Small answers are not paced and do not wait for large ones.
    if (host.report.linkMbps == 0 || route.meanBytes < LargeMessageBytes)
        return 0;
    return absl::ToDoubleSeconds(host.report.linkBacklog)
           + transmitSeconds(host, host.bytesSinceReport + route.meanBytes);
}

double FinishTimeSelector::failureShare(const Host &host)
{
    return std::max(host.failures.value(), host.report.failureShare);
}

absl::Duration FinishTimeSelector::probeInterval() const
{
    return FleetProbeInterval * static_cast<double>(m_hosts.size());
}

void FinishTimeSelector::delayFirstProbe(Host &host, double previousShare, absl::Time now)
{
    // All nodes receive the report at the same time; their first probes must not coincide.
    if (previousShare < FailureShare::FailingThreshold
        && failureShare(host) >= FailureShare::FailingThreshold)
        host.lastProbe = now - probeInterval() * m_random.uniformReal();
}

double FinishTimeSelector::failurePenalty(Host &host, bool isMajorityFailing, absl::Time now) const
{
    if (isMajorityFailing || failureShare(host) < FailureShare::FailingThreshold)
        return 0;
    if (host.report.failureShare < FailureShare::FailingThreshold
        && now - host.lastFailure > FailureExpiry) {
        host.failures.reset(FailureShare::FailingThreshold / 2);
        return 0;
    }
    if (now - host.lastProbe > probeInterval())
        return 0;
    return FailurePenaltySeconds * failureShare(host);
}

std::optional<SelectedHost> FinishTimeSelector::select(const ServiceId &service,
                                                       const RouteId &route,
                                                       const std::set<HostId> &tried,
                                                       absl::Time now, std::size_t requestBytes,
                                                       const HostFilter &filter)
{
    std::size_t candidateCount = 0;
    std::size_t failingCount = 0;
    std::vector<Candidate> local;
    std::vector<Candidate> all;
    for (auto &[id, host] : m_hosts) {
        if (!isCandidate(host, service) || (filter && !filter(id, host.report)))
            continue;
        ++candidateCount;
        failingCount += failureShare(host) >= FailureShare::FailingThreshold ? 1 : 0;
        if (tried.contains(id))
            continue;
        all.push_back({ &id, &host });
        if (host.zone == m_ownZone)
            local.push_back(all.back());
    }
    const bool isMajorityFailing = failingCount * 2 > candidateCount;
    const Request request{ m_routes[route], static_cast<double>(requestBytes) };
    Candidate best = bestOfSample(local, request, isMajorityFailing, now);
    if (best.host == nullptr || !isFreeAndFast(best, request, now)
        || failurePenalty(*best.host, isMajorityFailing, now) > 0) {
        if (best.host != nullptr)
            std::erase_if(all, [&](const Candidate &other) { return other.host == best.host; });
        const Candidate other = bestOfSample(all, request, isMajorityFailing, now);
        if (best.host == nullptr || (other.host != nullptr && other.score < best.score))
            best = other;
    }
    if (best.host == nullptr)
        return std::nullopt;
    if (failureShare(*best.host) >= FailureShare::FailingThreshold)
        best.host->lastProbe = now;
    return SelectedHost{ *best.id, absl::Seconds(finishSeconds(best, request, now)) };
}

FinishTimeSelector::Candidate FinishTimeSelector::bestOfSample(std::vector<Candidate> &candidates,
                                                               const Request &request,
                                                               bool isMajorityFailing,
                                                               absl::Time now) const
{
    Candidate best;
    for (std::size_t i = 0; i < std::min(SampleSize, candidates.size()); ++i) {
        std::swap(candidates[i], candidates[i + m_random.uniformBelow(candidates.size() - i)]);
        Candidate candidate = candidates[i];
        const double jitter = 1 + ScoreJitter * m_random.uniformReal();
        candidate.score = finishSeconds(candidate, request, now) * jitter
                          + failurePenalty(*candidate.host, isMajorityFailing, now);
        if (best.host == nullptr || candidate.score < best.score)
            best = candidate;
    }
    return best;
}

bool FinishTimeSelector::isFreeAndFast(const Candidate &candidate, const Request &request,
                                       absl::Time now) const
{
    const Host &host = *candidate.host;
    const double demand = expectedDemand(host, now).mean;
    return demand < FreeShare * host.report.slots
           && finishSeconds(candidate, request, now)
                      <= FastRatio * meanServiceSeconds(request.route)
                                 + (request.bytes < LargeMessageBytes
                                            ? 0
                                            : transmitSeconds(host, request.bytes));
}

void FinishTimeSelector::visitHosts(
        const ServiceId &service,
        const std::function<void(const HostId &, const GateReport &)> &visit) const
{
    for (const auto &[id, host] : m_hosts) {
        if (host.isReachable && host.report.service == service)
            visit(id, host.report);
    }
}

std::size_t FinishTimeSelector::availableHostCount(const ServiceId &service) const
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
        sum.demand += static_cast<std::uint32_t>(estimatedDemand(host));
    }
    return sum;
}

absl::Duration FinishTimeSelector::meanServiceTime(const RouteId &route) const
{
    const auto it = m_routes.find(route);
    return it == m_routes.end() ? absl::ZeroDuration() : absl::Seconds(it->second.meanSeconds);
}

void FinishTimeSelector::onAttemptSent(const HostId &host, const RouteId &route,
                                       std::size_t requestBytes)
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end())
        return;
    ++it->second.ownInFlight;
    ++it->second.inFlightSinceReport;
    ++it->second.sentSinceReport;
    if (static_cast<double>(requestBytes) >= LargeMessageBytes)
        it->second.bodyBytesSinceReport += static_cast<double>(requestBytes);
    const auto statistics = m_routes.find(route);
    if (statistics != m_routes.end())
        it->second.bytesSinceReport += statistics->second.meanBytes;
}

void FinishTimeSelector::onAttemptEnded(const HostId &host, const RouteId &route,
                                        AttemptOutcome outcome, absl::Duration serviceTime,
                                        std::size_t answerBytes, absl::Time now)
{
    const auto it = m_hosts.find(host);
    if (it == m_hosts.end())
        return;
    Host &state = it->second;
    state.ownInFlight -= state.ownInFlight > 0 ? 1 : 0;
    --state.inFlightSinceReport;
    if (outcome == AttemptOutcome::Succeeded) {
        RouteStatistics &statistics = m_routes[route];
        const double seconds = absl::ToDoubleSeconds(serviceTime);
        statistics.meanSeconds =
                updatedAverage(statistics.meanSeconds, seconds, RouteSmoothingFactor);
        double &meanOfService = m_serviceSeconds[state.report.service];
        meanOfService = updatedAverage(meanOfService, seconds, RouteSmoothingFactor);
        statistics.meanBytes = updatedAverage(
                statistics.meanBytes, static_cast<double>(answerBytes), RouteSmoothingFactor);
        if (statistics.meanSeconds > 0) {
            const double sample =
                    std::clamp(seconds / (statistics.meanSeconds * state.report.slowdown),
                               MinServiceTimeRatio, MaxServiceTimeRatio);
            state.serviceTimeRatio +=
                    ServiceTimeRatioSmoothingFactor * (sample - state.serviceTimeRatio);
        }
        state.failures.recordSuccess();
    } else if (outcome == AttemptOutcome::Failed) {
        const double previousShare = failureShare(state);
        state.failures.recordFailure();
        state.lastFailure = now;
        delayFirstProbe(state, previousShare, now);
    }
}

} // namespace godwitlift
