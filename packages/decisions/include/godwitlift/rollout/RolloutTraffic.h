/// \file
/// Which requests go to the new version of a service that is being rolled out.
#pragma once

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/rollout/Rollout.h"
#include "godwitlift/traffic/FinishTimeSelector.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace godwitlift {

/// Version whose servers a request may go to.
enum class RolloutCohort : std::uint8_t {
    Any,    ///< The service is not being rolled out.
    Target, ///< The new version.
    Other   ///< All versions but the new one.
};

/// A server of a service in a roll-out, as a node sees it.
struct RolloutServer
{
    HostId host;
    BackendServerId server;
    ServerVersion version;
    bool acceptsRequests = false;
    std::uint32_t slots = 0;
};

/// Divides the requests of one node between the versions of the services in a roll-out. Not
/// thread-safe.
///
/// Invariant: of the requests of this node for a service since the order, no more than the share
/// of the phase goes to the new version, rounded to whole requests with a random phase. Since that
/// holds for each node by itself, the sum over the fleet needs no messages.
class RolloutTraffic final
{
public:
    /// \p exposureShare is the largest share that an unproven version may get.
    RolloutTraffic(double exposureShare, RandomSource &random)
        : m_exposureShare(exposureShare)
        , m_random(random)
    {}

    /// Adopts \p state unless a newer one is known. Returns whether it was adopted.
    bool adopt(const RolloutState &state, absl::Time now);
    const RolloutState *find(const ServiceId &service) const;
    std::vector<RolloutState> states() const;
    bool isEmpty() const { return m_services.empty(); }
    /// When the present phase and step of \p service were adopted.
    absl::Time stepTime(const ServiceId &service) const;
    /// All servers of \p service as now known.
    void setServers(const ServiceId &service, const std::vector<RolloutServer> &servers);

    /// The version for the next request to \p service; counts the request.
    RolloutCohort nextCohort(const ServiceId &service, absl::Time now);
    /// The version for a repeat of a request.
    RolloutCohort repeatCohort(const ServiceId &service, absl::Time now) const;
    /// A request drawn for the new version was sent to it.
    void onTargetSent(const ServiceId &service);
    /// Servers that a request of \p cohort may go to.
    HostFilter filter(const ServiceId &service, RolloutCohort cohort) const;
    /// Whether the gate of a server of \p version may run a request. \p order is the order for
    /// which its sender has counted it; 0 if none.
    bool admits(const ServiceId &service, const ServerVersion &version, std::uint64_t order) const;

    /// For this time after the completion, the servers of other versions may seem to be there.
    static constexpr absl::Duration CompletionSpread = absl::Seconds(10);
    /// Servers of the new version that get its requests during the trial, at least. Few, so that
    /// each has as many requests as after the shift, and more than one, so that a single bad server
    /// can be told from a bad version.
    static constexpr std::size_t MinTrialServers = 3;

private:
    struct Service
    {
        RolloutState state;
        absl::Time stepTime;
        double credit = 0; ///< Requests that the new version may still get.
        std::set<HostId> trialHosts;
        bool hasOtherServers = false; ///< Of other versions, and available.
    };

    bool isDivided(const Service &service, absl::Time now) const;

    double m_exposureShare;
    RandomSource &m_random;
    std::map<ServiceId, Service> m_services;
};

} // namespace godwitlift
