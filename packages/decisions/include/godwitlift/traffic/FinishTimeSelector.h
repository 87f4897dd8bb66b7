/// \file
/// Selects the backend server that is expected to finish a request first.
#pragma once

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/base/StrongId.h"
#include "godwitlift/serving/RequestRateLimit.h"
#include "godwitlift/traffic/FailureShare.h"
#include "godwitlift/traffic/LoadEstimate.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwitlift {

/// Report of a host's gate on its backend server.
struct GateReport
{
    BackendServerId server;
    ServiceId service;
    ServerVersion version; ///< Of the backend server's program; empty if unknown.
    bool acceptsRequests = false;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;   ///< See GateLoad::queuedWithinShares.
    std::uint32_t linkMbps = 0; ///< Bandwidth of the host's link; 0 if unknown.
    absl::Duration linkBacklog; ///< Wait of a large answer before its first piece is sent.
    absl::Duration bodyBacklog; ///< Wait of a large request body before its transfer begins.
    double failureShare = 0;    ///< Of the backend server, over the attempts of all nodes.
    /// How long work takes on the server's machine relative to the usual time, smoothed; 1 if the
    /// server does not state it.
    double slowdown = 1;
    /// Of the backend server, for requests from all nodes; none if it states no limit.
    std::optional<RequestLimitReport> requestLimit;

    friend bool operator==(const GateReport &, const GateReport &) = default;
};

/// Attempts at a gate.
struct GateDemand
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0; ///< See GateLoad::queuedWithinShares.

    friend bool operator==(const GateDemand &, const GateDemand &) = default;
};

/// Load of a gate as it accompanies the end of each answer.
struct GateLoadReport
{
    GateDemand demand;
    std::optional<double> slowdown;                 ///< As in GateReport; none if unknown.
    absl::Duration linkBacklog;                     ///< As in GateReport.
    absl::Duration bodyBacklog;                     ///< As in GateReport.
    std::optional<RequestLimitReport> requestLimit; ///< As in GateReport.
};

/// How an attempt at a host ended.
enum class AttemptOutcome : std::uint8_t {
    Succeeded, ///< A complete answer that is no server error.
    Failed,    ///< A server error, an incomplete answer, or none.
    Refused,   ///< The request did not run.
    Abandoned  ///< The client disconnected or the deadline passed; not a failure of the server.
};

/// Permits or excludes a host by the latest report of its gate.
using HostFilter = std::function<bool(const HostId &host, const GateReport &report)>;

/// A selected host.
struct SelectedHost
{
    HostId host;
    absl::Duration expectedLatency; ///< Time until the answer, from now.
};

/// Compares a few random hosts of a service by expected finish time, those of the own zone first.
/// Not thread-safe.
///
/// Service times are estimated from answers: each route has a mean over all servers, and each
/// server a ratio to that mean. The slowdown that a server reports multiplies the estimate and is
/// left out of the ratio, since it changes faster than the ratio follows. The load of a server is
/// estimated from its reports by LoadEstimate. A server that fails, by attempts of this node or by
/// the report of its gate, is avoided except for single probe requests, which all nodes together
/// send at a fixed rate. If most servers of a service fail, none is avoided. A server that states a
/// request limit gets requests as far as its limit has room sooner than others have a free slot.
class FinishTimeSelector final
{
public:
    explicit FinishTimeSelector(RandomSource &random)
        : m_random(random)
    {}

    void setOwnZone(ZoneId zone) { m_ownZone = std::move(zone); }
    /// Requests to the host of the ingress itself use no link.
    void setOwnHost(HostId host) { m_ownHost = std::move(host); }
    void addHost(const HostId &host, const ZoneId &zone);
    /// The host is unreachable until its next report.
    void markUnreachable(const HostId &host);
    void removeHost(const HostId &host);
    void onGateReport(const HostId &host, const GateReport &report, absl::Time now);
    /// Update the load of a host between two reports.
    void onDemandReport(const HostId &host, const GateDemand &demand, absl::Time now);
    void onLoadReport(const HostId &host, const GateLoadReport &report, absl::Time now);

    /// A good host that is not in \p tried and that \p filter, if any, permits; or none if no such
    /// host of \p service accepts requests. \p requestBytes is the size of the body that has to
    /// be sent to the host.
    std::optional<SelectedHost> select(const ServiceId &service, const RouteId &route,
                                       const std::set<HostId> &tried, absl::Time now,
                                       std::size_t requestBytes = 0,
                                       const HostFilter &filter = nullptr);
    /// Calls \p visit for each reachable host of \p service, also if it accepts no requests.
    void visitHosts(const ServiceId &service,
                    const std::function<void(const HostId &, const GateReport &)> &visit) const;
    /// Number of reachable hosts of \p service that accept requests.
    std::size_t availableHostCount(const ServiceId &service) const;
    /// Slots of a service on all hosts, and the requests that occupy or wait for them.
    struct Occupancy
    {
        std::uint32_t slots = 0;
        std::uint32_t demand = 0;
    };
    Occupancy occupancy(const ServiceId &service) const;
    /// Zero until the first answer of the route.
    absl::Duration meanServiceTime(const RouteId &route) const;

    /// \p requestBytes is the size of the request's body.
    void onAttemptSent(const HostId &host, const RouteId &route, std::size_t requestBytes = 0);
    /// \p serviceTime is the time at the backend server, \p answerBytes the size of its answer.
    void onAttemptEnded(const HostId &host, const RouteId &route, AttemptOutcome outcome,
                        absl::Duration serviceTime, std::size_t answerBytes, absl::Time now);

private:
    struct Host
    {
        ZoneId zone;
        GateReport report;
        LoadEstimate load; ///< Of the reports.
        bool isReachable = false;
        std::uint32_t ownInFlight = 0;
        std::int32_t inFlightSinceReport = 0; ///< Attempts of this node: sent minus ended.
        std::size_t sentSinceReport = 0;      ///< Attempts of this node.
        double bytesSinceReport = 0;          ///< Expected answer bytes of these attempts.
        double bodyBytesSinceReport = 0;      ///< Of large request bodies among these attempts.
        double serviceTimeRatio = 1;          ///< Service time relative to the mean of the route.
        FailureShare failures;                ///< Of attempts of this node.
        absl::Time lastFailure = absl::InfinitePast();
        absl::Time lastProbe = absl::InfinitePast(); ///< Last probe request to a failing server.
    };
    struct RouteStatistics
    {
        double meanSeconds = 0;
        double meanBytes = 0; ///< Of the answers.
    };
    /// A request for which hosts are compared.
    struct Request
    {
        RouteStatistics route;
        double bytes = 0; ///< Of the body.
    };

    struct Candidate
    {
        const HostId *id = nullptr;
        Host *host = nullptr; ///< Null if there is no candidate.
        double score = 0;     ///< Expected seconds until the answer, with penalties.
    };

    /// Reorders \p candidates.
    Candidate bestOfSample(std::vector<Candidate> &candidates, const Request &request,
                           bool isMajorityFailing, absl::Time now) const;
    /// True if \p host is good enough for other zones not to be considered.
    bool isFreeAndFast(const Candidate &candidate, const Request &request, absl::Time now) const;
    static double meanServiceSeconds(const RouteStatistics &route);
    /// Expected service time at \p host as fast as its machine is now.
    static double serviceSeconds(const Host &host, const RouteStatistics &route);
    /// As serviceSeconds, of a mean request to \p host: what runs and waits there is of all routes.
    double meanRequestSeconds(const Host &host) const;
    bool isCandidate(const Host &host, const ServiceId &service) const;
    /// Requests that run or wait at \p host: those last reported and those of this node since then.
    double estimatedDemand(const Host &host) const;
    /// As estimatedDemand, with what other nodes are expected to have sent and got since then.
    ExpectedDemand expectedDemand(const Host &host, absl::Time now) const;
    double finishSeconds(const Candidate &candidate, const Request &request, absl::Time now) const;
    double linkTransferSeconds(const Host &host, const RouteStatistics &route) const;
    /// Without waiting.
    static double transmitSeconds(const Host &host, double bytes);
    /// Time that a large request body waits for and takes on the link to a host other than the own
    /// one.
    double requestTransferSeconds(const Candidate &candidate, const Request &request) const;
    /// Seconds added to the score of a failing server; 0 if a probe is due or most servers fail.
    /// Resets failures of this node's attempts that no longer count.
    double failurePenalty(Host &host, bool isMajorityFailing, absl::Time now) const;
    static double failureShare(const Host &host);
    /// Delays the first probe of \p host by a random time if its server has just begun to fail.
    void delayFirstProbe(Host &host, double previousShare, absl::Time now);
    absl::Duration probeInterval() const;

    RandomSource &m_random;
    ZoneId m_ownZone;
    HostId m_ownHost;
    std::map<HostId, Host> m_hosts;
    std::map<RouteId, RouteStatistics> m_routes;
    std::map<ServiceId, double> m_serviceSeconds; ///< Mean over the requests of this node.
};

} // namespace godwitlift
