/// \file
/// Finds dead hosts of the own zone by probing, with doubt in itself before doubt in others.
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
    absl::Duration directTimeout = absl::Milliseconds(400); ///< Before other hosts are asked.
    absl::Duration probeTimeout = absl::Milliseconds(1200); ///< Before the target is suspected.
    absl::Duration suspicionTime = absl::Seconds(4);        ///< For the suspect to refute.
    int indirectProbes = 3; ///< Hosts asked to probe in this node's place.
};

/// One probe to send. If `target` differs from `to`, host `to` is asked to probe `target`.
struct ProbeOrder
{
    std::uint64_t number = 0;
    HostId to;
    HostId target;
};

/// What one step of the detector wants done.
struct DetectorStep
{
    std::vector<ProbeOrder> probes;
    std::vector<HostRecord> beliefs; ///< Records with raised liveness, to merge and spread.
};

/// Probes one host of the zone after another. Not thread-safe.
///
/// Self-doubt: while most recent probes went unanswered, or most of the zone is suspect, the
/// detector takes its own links to be at fault and declares nobody dead.
class FailureDetector final
{
public:
    FailureDetector(HostId self, ZoneId zone, FailureDetectorPolicy policy);

    DetectorStep tick(const HostDirectory &directory, absl::Time now, RandomSource &random);
    void acknowledged(std::uint64_t number);
    /// Whether the detector takes itself to be cut off.
    bool isDoubtingItself() const { return m_doubtingItself; }

private:
    struct Probe
    {
        HostId target;
        absl::Time sent;
        bool indirect = false;
    };

    void sendNext(const HostDirectory &directory, absl::Time now, RandomSource &random,
                  DetectorStep &step);
    void followUp(const HostDirectory &directory, absl::Time now, RandomSource &random,
                  DetectorStep &step);
    void judgeSuspects(const HostDirectory &directory, absl::Time now, DetectorStep &step);
    void noteResult(bool answered);
    void updateSelfDoubt(const HostDirectory &directory);

    HostId m_self;
    ZoneId m_zone;
    FailureDetectorPolicy m_policy;
    std::uint64_t m_nextNumber = 1;
    std::map<std::uint64_t, Probe> m_pending;
    std::vector<HostId> m_round; ///< Hosts still to be probed in this round, shuffled.
    absl::Time m_nextProbe = absl::InfinitePast();
    std::map<HostId, absl::Time> m_suspectedSince; ///< As seen here; reset when refuted.
    std::deque<bool> m_recent; ///< Results of the newest probes, true if answered.
    bool m_doubtingItself = false;
};

} // namespace godwitlift
