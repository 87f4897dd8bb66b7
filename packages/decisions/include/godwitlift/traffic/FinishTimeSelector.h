/// \file
/// Chooses the backend server that is expected to finish a request first.
#pragma once

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/base/StrongId.h"
#include "godwitlift/traffic/FailureShare.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwitlift {

/// What the gate of a host says about its backend server.
struct GateReport
{
    BackendServerId server;
    ServiceId service;
    bool takesWork = false;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t linkMbps = 0; ///< Bandwidth of the host's link; 0 is unknown.
    absl::Duration linkBacklog; ///< Time until a large answer gets its turn on the link.
    double failureShare = 0;    ///< Of the backend server, over the attempts of all nodes.

    friend bool operator==(const GateReport &, const GateReport &) = default;
};

/// How an attempt at a host ended.
enum class AttemptOutcome : std::uint8_t {
    Answered, ///< A whole answer that is no server error.
    Failed,   ///< A server error, a broken answer, or silence.
    Refused,  ///< Not run.
    Abandoned ///< The client left or the time was up; says nothing about the server.
};

/// A choice that was made.
struct SelectedHost
{
    HostId host;
    absl::Duration expectedFinish; ///< Waiting and work, from now.
};

/// Ranks the hosts of a service by expected finish time. Not thread-safe.
///
/// Speeds are learnt from answers: each route has a mean service time over all servers, each
/// server a factor against it. A server that fails, by own attempts or by what its gate reports,
/// is given less work, and is tried again by single requests of all nodes in turn; if most servers
/// of a service fail, their failures are not held against them.
class FinishTimeSelector final
{
public:
    explicit FinishTimeSelector(RandomSource &random)
        : m_random(random)
    {}

    void setOwnZone(ZoneId zone) { m_ownZone = std::move(zone); }
    void hostSeen(const HostId &host, const ZoneId &zone);
    /// The host is out of reach until it reports again.
    void hostLost(const HostId &host);
    void hostForgotten(const HostId &host);
    void report(const HostId &host, const GateReport &report, absl::Time now);
    /// Load of a host between two reports.
    void loadReported(const HostId &host, std::uint32_t running, std::uint32_t queued,
                      absl::Duration linkBacklog);

    /// The best host outside \p tried, or none if no host of \p service takes work.
    std::optional<SelectedHost> select(const ServiceId &service, const RouteId &route,
                                       const std::set<HostId> &tried, absl::Time now);
    /// Hosts of \p service that take work at all.
    std::size_t availableCount(const ServiceId &service) const;
    /// Slots of \p service over all hosts, and requests that hold or await them.
    struct Occupancy
    {
        std::uint32_t slots = 0;
        std::uint32_t demand = 0;
    };
    Occupancy occupancy(const ServiceId &service) const;
    /// Mean service time of a route; zero until the first answer.
    absl::Duration meanService(const RouteId &route) const;

    void sent(const HostId &host, const RouteId &route);
    /// \p service is the time at the backend server, \p answerBytes the size of its answer.
    void ended(const HostId &host, const RouteId &route, AttemptOutcome outcome,
               absl::Duration service, std::size_t answerBytes, absl::Time now);

private:
    struct Host
    {
        ZoneId zone;
        GateReport report;
        bool isReachable = false;
        std::uint32_t ownInFlight = 0;
        std::int32_t sinceReport = 0; ///< Own sends less own ends since the last report.
        double bytesSinceReport = 0;  ///< Expected size of the answers to these sends.
        double slowness = 1;          ///< Service time against the mean of each route.
        FailureShare failures;        ///< Of own attempts.
        absl::Time lastFailure = absl::InfinitePast();
        absl::Time lastProbe = absl::InfinitePast(); ///< Last single request at a failing server.
    };
    struct RouteStatistics
    {
        double meanSeconds = 0;
        double meanBytes = 0;
    };

    bool isCandidate(const Host &host, const ServiceId &service) const;
    double busySlots(const Host &host) const;
    double finishSeconds(const Host &host, const RouteStatistics &route) const;
    double linkSeconds(const Host &host, const RouteStatistics &route) const;
    double failurePenalty(Host &host, bool areMostFailing, absl::Time now) const;
    static double failureShare(const Host &host);
    /// Notes that \p host has begun to fail, if it was sound \p before.
    void noteFailing(Host &host, double before, absl::Time now);
    absl::Duration probePause() const;

    RandomSource &m_random;
    ZoneId m_ownZone;
    std::map<HostId, Host> m_hosts;
    std::map<RouteId, RouteStatistics> m_routes;
};

} // namespace godwitlift
