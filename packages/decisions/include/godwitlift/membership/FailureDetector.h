/// \file
/// Detects dead hosts of the node's own zone by direct and indirect probes.
#pragma once

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/membership/HostDirectory.h"

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <vector>

namespace godwitlift {

/// Timing of the failure detector.
struct FailureDetectorPolicy
{
    absl::Duration probePeriod = absl::Seconds(1);
    absl::Duration directProbeTimeout = absl::Milliseconds(400); ///< Then indirect probes follow.
    absl::Duration probeTimeout = absl::Milliseconds(1200);      ///< Then the target is suspected.
    /// A suspect that does not refute within this time is declared dead.
    absl::Duration suspicionTimeout = absl::Seconds(4);
    int indirectProbeCount = 3; ///< Largest number of hosts asked to probe a target.
};

/// One probe to send. If `target` differs from `to`, host `to` is asked to probe `target`.
struct OutgoingProbe
{
    std::uint64_t number = 0;
    HostId to;
    HostId target;
};

/// What the caller must do after a tick.
struct FailureDetectorActions
{
    std::vector<OutgoingProbe> probes;
    std::vector<HostRecord> livenessUpdates; ///< To merge and disseminate.
};

/// Probes the hosts of the zone in shuffled rounds. Not thread-safe.
///
/// While most recent probes went unanswered, or most of the zone is suspect, the detector assumes
/// that its own links have failed and declares no host dead.
class FailureDetector final
{
public:
    FailureDetector(HostId self, ZoneId zone, FailureDetectorPolicy policy);

    FailureDetectorActions tick(const HostDirectory &directory, absl::Time now,
                                RandomSource &random);
    void onProbeAnswer(std::uint64_t number);
    /// Whether the detector assumes that its own node is isolated.
    bool isIsolated() const { return m_isolated; }

private:
    struct PendingProbe
    {
        HostId target;
        absl::Time sentAt;
        bool sentIndirectly = false;
    };

    void probeNextHost(const HostDirectory &directory, absl::Time now, RandomSource &random,
                       FailureDetectorActions &actions);
    void checkPendingProbes(const HostDirectory &directory, absl::Time now, RandomSource &random,
                            FailureDetectorActions &actions);
    void checkSuspicionTimeouts(const HostDirectory &directory, absl::Time now,
                                FailureDetectorActions &actions);
    void recordProbeResult(bool answered);
    void updateIsolation(const HostDirectory &directory);

    HostId m_self;
    ZoneId m_zone;
    FailureDetectorPolicy m_policy;
    std::uint64_t m_nextNumber = 1;
    std::map<std::uint64_t, PendingProbe> m_pending;
    std::vector<HostId> m_probeRound; ///< Hosts still to be probed in this round, shuffled.
    absl::Time m_nextProbe = absl::InfinitePast();
    std::map<HostId, absl::Time> m_suspectedSince; ///< Local time; removed on refutation.
    std::deque<bool> m_recentResults; ///< Results of the last probes, true if answered.
    bool m_isolated = false;
};

} // namespace godwitlift
