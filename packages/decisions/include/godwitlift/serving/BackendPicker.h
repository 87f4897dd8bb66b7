/// \file
/// Load balancing and outlier ejection among the backend servers of a service.
#pragma once

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/serving/Gate.h"
#include "godwitlift/serving/RoutingTable.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <set>
#include <string>
#include <vector>

namespace godwitlift {

/// Identifies a backend server in the mesh.
struct TargetKey
{
    HostId host;
    BackendServerId server;

    friend auto operator<=>(const TargetKey &, const TargetKey &) = default;
    template<typename H>
    friend H AbslHashValue(H state, const TargetKey &key)
    {
        return H::combine(std::move(state), key.host, key.server);
    }
};

/// Result of an attempt, as far as load balancing and outlier ejection are concerned.
enum class AttemptResult : std::uint8_t {
    Success, ///< A complete answer.
    /// Refused because of load, or cancelled. Not counted as a failure of the target, which may
    /// have no room for the rank of the request only.
    Overloaded,
    Failure ///< Refused or failed for another reason.
};

/// Picks the less loaded of two random targets (power of two choices) in the nearest proximity with
/// free capacity. Not thread-safe.
///
/// A target with consecutive failures is ejected for a limited time. If more than half of the
/// targets of a service are ejected or suspect, all of them are used, since the cause is then a
/// fault that they share or a fault of this node.
class BackendPicker final
{
public:
    explicit BackendPicker(RandomSource &random)
        : m_random(random)
    {}

    /// The target for the next attempt; null if no candidate outside \p tried is left.
    const Target *pick(const ServiceTargets &targets, const std::set<TargetKey> &tried,
                       absl::Time now);
    void onAttemptSent(const TargetKey &target);
    void onAttemptEnded(const TargetKey &target, AttemptResult result, const GateLoad &load,
                        absl::Time now);
    /// Removes the state of targets without attempts in flight and without recent reports.
    void expire(absl::Time now);

private:
    struct TargetState
    {
        std::uint32_t inFlight = 0; ///< Attempts from this ingress.
        GateLoad load;              ///< As last reported by the gate.
        absl::Time lastReport = absl::InfinitePast();
        int consecutiveFailures = 0;
        absl::Time ejectedUntil = absl::InfinitePast();
    };

    /// Targets that may be picked, by proximity.
    struct Candidates
    {
        std::vector<const Target *> byProximity[3];
    };

    Candidates candidates(const ServiceTargets &targets, const std::set<TargetKey> &tried,
                          absl::Time now) const;
    bool isEjected(const Target &target, absl::Time now) const;
    double loadRatio(const Target &target, absl::Time now) const;
    bool hasFreeCapacity(const Target &target, absl::Time now) const;
    const Target *lessLoadedOfTwo(const std::vector<const Target *> &candidates, absl::Time now);

    RandomSource &m_random;
    absl::flat_hash_map<TargetKey, TargetState> m_targetStates;
};

} // namespace godwitlift
