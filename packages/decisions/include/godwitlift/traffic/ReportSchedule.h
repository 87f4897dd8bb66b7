/// \file
/// Decides which peers get a report of this host's gate, and when.
#pragma once

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/traffic/FinishTimeSelector.h"

#include <absl/time/time.h>

#include <cstddef>

namespace godwitlift {

/// Peers that a round of reports goes to in addition to those that are due.
enum class ReportAudience : std::uint8_t {
    Due,  ///< Nobody else.
    Zone, ///< All peers of the own availability zone.
    All
};

/// What a gate remembers of one peer that gets its reports.
struct ReportRecipient
{
    absl::Time lastRequest = absl::InfinitePast(); ///< Latest request of the peer to this gate.
    absl::Time nextRefresh = absl::InfinitePast(); ///< When the peer gets a report without calling.
};

/// Schedules the reports of one gate. Not thread-safe.
///
/// Peers that have recently sent requests get the load often; their number is bounded by the
/// request rate and not by the size of the fleet. Other peers only need to know that the gate is
/// there and get a refresh now and then, each at a time of its own, so that hosts with outdated
/// loads do not all look idle to all peers at once.
class ReportSchedule final
{
public:
    /// Time after its latest request in which a peer counts as a caller.
    static constexpr absl::Duration CallerExpiry = absl::Seconds(3);
    /// Bounds of the interval between reports to callers: the larger of the minimum and the
    /// interval per caller times the callers, so that reports use a bounded share of a slow link,
    /// and the maximum even if nothing changes.
    static constexpr absl::Duration MinCallerInterval = absl::Milliseconds(100);
    static constexpr absl::Duration IntervalPerCaller = absl::Milliseconds(4);
    static constexpr absl::Duration MaxCallerInterval = absl::Milliseconds(500);
    /// Mean interval between refreshes of a peer that does not call: the larger of the minimum and
    /// the interval per peer times the peers, so that a gate sends at most a hundred refreshes a
    /// second in a fleet of any size.
    static constexpr absl::Duration MinRefreshInterval = absl::Seconds(2);
    static constexpr absl::Duration RefreshIntervalPerPeer = absl::Milliseconds(10);
    /// Smallest change that is reported to callers before MaxCallerInterval has passed: in running
    /// and queued attempts as a share of the slots, or in the failure share.
    static constexpr double SignificantChange = 0.1;

    explicit ReportSchedule(RandomSource &random)
        : m_random(random)
    {}

    static bool isCaller(const ReportRecipient &recipient, absl::Time now)
    {
        return now - recipient.lastRequest < CallerExpiry;
    }
    /// True if the callers get \p report now.
    bool areCallersDue(const GateReport &report, std::size_t callerCount, absl::Time now) const;
    /// True if a peer that does not call gets a refresh now.
    static bool isRefreshDue(const ReportRecipient &recipient, absl::Time now)
    {
        return now >= recipient.nextRefresh;
    }
    /// The callers have got \p report.
    void onCallersReported(const GateReport &report, absl::Time now);
    /// \p recipient, one of \p peerCount peers, has got a report.
    void onReported(ReportRecipient &recipient, std::size_t peerCount, absl::Time now);

private:
    RandomSource &m_random;
    GateReport m_lastReport; ///< As last sent to the callers.
    absl::Time m_lastReportTime = absl::InfinitePast();
};

} // namespace godwitlift
