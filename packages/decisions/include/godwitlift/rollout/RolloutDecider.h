/// \file
/// Decides when a roll-out goes on, is completed or is rolled back.
#pragma once

#include "godwitlift/rollout/Rollout.h"
#include "godwitlift/rollout/RolloutEvidence.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace godwitlift {

/// A node that could decide on roll-outs.
struct DeciderCandidate
{
    HostId host;
    bool isStoreFailing = false; ///< The node gets no answers from the store.
};

/// The node that decides on the roll-outs of \p service and its stand-in, as far as there are so
/// many \p candidates: the same for all nodes that see the same ones.
std::vector<HostId> rolloutDeciders(const ServiceId &service,
                                    const std::vector<DeciderCandidate> &candidates);

/// What the decider of a roll-out sees of the service.
struct RolloutView
{
    VersionComparison comparison;
    std::uint32_t targetSlots = 0; ///< Of servers of the new version that accept requests.
    std::uint32_t otherSlots = 0;  ///< Of the others that accept requests.
    std::uint32_t otherBusy = 0;   ///< Requests that run or wait at servers of other versions.
    /// Answers of all servers since the order; none unless each of them has reported.
    std::optional<std::uint32_t> allAnswers;
};

/// Rules of a roll-out. Stateless: whichever node decides next goes on from the same state.
///
/// Invariant: what the new version gets until the deadline, also after its completion, stays within
/// the exposure bounds, so that they hold for a version that turns bad at any time. The shift
/// therefore begins when the rest of the duration takes up what is left of the bounds.
class RolloutDecider final
{
public:
    explicit RolloutDecider(const RolloutBounds &bounds)
        : m_bounds(bounds)
    {}

    /// The shift does not begin before this part of the duration, however wide the bounds.
    static constexpr double MinTrialPart = 0.5;
    /// Before the deadline: the result is recorded by then, even if the old servers still run
    /// requests. Leaves time for a slow answer of the store.
    static constexpr double RecordPart = 0.025;
    static constexpr absl::Duration MinRecordTime = absl::Milliseconds(200);
    static constexpr absl::Duration MaxRecordTime = absl::Seconds(3);
    /// Time with all requests before the deadline, even if the bounds leave less: what the nodes
    /// need to get the state and the store to record the result.
    static constexpr absl::Duration MinFullTime = absl::Milliseconds(300);
    /// Of the exposure slack for the shift; the rest covers requests that are counted late.
    static constexpr double SlackPart = 0.5;
    /// Answers without which a version is not known to be good, unless hardly any request came.
    static constexpr std::uint32_t MinAnswers = 20;

    /// Next state of \p state, which was adopted at \p stepTime; none if it goes on. A result
    /// is not recorded yet; Completed must not be acted upon before it is.
    std::optional<RolloutState> decide(const RolloutState &state, const RolloutView &view,
                                       absl::Time stepTime, absl::Time now) const;

private:
    absl::Duration fullTimeLeft(const RolloutState &state, const RolloutView &view,
                                absl::Time stepTime, absl::Time now) const;

    RolloutBounds m_bounds;
};

} // namespace godwitlift
