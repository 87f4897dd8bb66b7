/// \file
/// Chooses among the backend servers of a service.
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

/// Names a backend server in the mesh.
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

/// How an attempt ended, as far as the choice of later targets is concerned.
enum class AttemptQuality : std::uint8_t {
    Good, ///< A whole answer.
    Busy, ///< Refused for load; says nothing against the target, only that it is full for the rank.
    Bad   ///< Refused or failed for another reason.
};

/// Two random choices by load within the nearest proximity that has room. Not thread-safe.
///
/// A target that keeps failing is ejected for a while; never more than half of the service's
/// targets are, so that a fault that all share does not leave none.
class BackendPicker final
{
public:
    explicit BackendPicker(RandomSource &random)
        : m_random(random)
    {}

    /// The target for the next attempt; null if the service has none outside \p tried.
    const Target *pick(const ServiceTargets &targets, const std::set<TargetKey> &tried,
                       absl::Time now);
    void sent(const TargetKey &target);
    void ended(const TargetKey &target, AttemptQuality quality, const GateLoad &load,
               absl::Time now);
    /// Forgets targets that are not in use and were not heard of lately.
    void expire(absl::Time now);

private:
    struct State
    {
        std::uint32_t inFlight = 0; ///< Attempts of this ingress.
        GateLoad load;              ///< As the gate last said.
        absl::Time heard = absl::InfinitePast();
        int failures = 0; ///< In a row.
        absl::Time ejectedUntil = absl::InfinitePast();
    };

    /// Targets that may be tried, by proximity.
    struct Candidates
    {
        std::vector<const Target *> byProximity[3];
    };

    Candidates candidates(const ServiceTargets &targets, const std::set<TargetKey> &tried,
                          absl::Time now) const;
    bool isEjected(const Target &target, absl::Time now) const;
    double score(const Target &target, absl::Time now) const;
    bool hasRoom(const Target &target, absl::Time now) const;
    const Target *better(const std::vector<const Target *> &candidates, absl::Time now);

    RandomSource &m_random;
    absl::flat_hash_map<TargetKey, State> m_states;
};

} // namespace godwitlift
