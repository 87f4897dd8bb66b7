/// \file
/// Transitions between the phases of a roll-out.
#include "godwitlift/rollout/RolloutDecider.h"

#include "godwitlift/base/Hashing.h"

#include <algorithm>
#include <tuple>

namespace godwitlift {

namespace {

/// Nodes that get the evidence: the one that decides and its stand-in.
constexpr std::size_t DeciderCount = 2;
/// Share of the slots of the old side that the new side must have before the shift.
constexpr double MinCapacityShare = 0.7;
/// Part of the exposure that is left at the shift which its first step takes up.
constexpr double FirstStepPart = 0.15;
/// Length of the shift per exposure that is left, both as times with all requests.
constexpr double ShiftStretch = 1 - FirstStepPart + FirstStepPart / RolloutShare::FirstStepShare;

RolloutState withPhase(RolloutState state, RolloutPhase phase)
{
    state.phase = phase;
    state.step = 0;
    return state;
}

} // namespace

std::vector<HostId> rolloutDeciders(const ServiceId &service,
                                    const std::vector<DeciderCandidate> &candidates)
{
    const std::uint64_t seed = hashOf(service.value());
    std::vector<std::tuple<bool, std::uint64_t, HostId>> ranked;
    ranked.reserve(candidates.size());
    for (const DeciderCandidate &candidate : candidates)
        ranked.emplace_back(candidate.isStoreFailing, hashOf(candidate.host.value(), seed),
                            candidate.host);
    const std::size_t count = std::min(DeciderCount, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end());
    std::vector<HostId> hosts;
    for (std::size_t i = 0; i < count; ++i)
        hosts.push_back(std::get<HostId>(ranked[i]));
    return hosts;
}

/// Time for which the new version could get all requests from \p now on within the bounds.
absl::Duration RolloutDecider::fullTimeLeft(const RolloutState &state, const RolloutView &view,
                                            absl::Time stepTime, absl::Time now) const
{
    const double trialShare = m_bounds.exposureShare * RolloutShare::TrialPart;
    const absl::Duration age = std::max(now - state.ordered, absl::ZeroDuration());
    absl::Duration left = state.order.duration * m_bounds.exposureShare;
    if (view.allAnswers && *view.allAnswers > 0)
        left += age * (m_bounds.exposureSlack * SlackPart / *view.allAnswers);
    if (state.phase == RolloutPhase::Trial)
        left -= age * trialShare;
    else
        left -= (stepTime - state.ordered) * trialShare
                + (now - stepTime) * RolloutShare::FirstStepShare;
    return std::max(left, MinFullTime);
}

std::optional<RolloutState> RolloutDecider::decide(const RolloutState &state,
                                                   const RolloutView &view, absl::Time stepTime,
                                                   absl::Time now) const
{
    if (state.isFinal())
        return std::nullopt;
    if (view.comparison.isBad)
        return withPhase(state, RolloutPhase::RolledBack);
    const absl::Duration duration = state.order.duration;
    const absl::Time recordTime =
            state.deadline() - std::clamp(duration * RecordPart, MinRecordTime, MaxRecordTime);
    const absl::Duration rest = state.deadline() - now;
    if (state.phase == RolloutPhase::Trial) {
        const bool hasCapacity =
                view.targetSlots > 0 && view.targetSlots >= MinCapacityShare * view.otherSlots;
        const bool isGoodEnough =
                view.comparison.answers >= MinAnswers || !view.comparison.hasReference;
        const bool isTime = now >= state.ordered + duration * MinTrialPart
                            && rest <= ShiftStretch * fullTimeLeft(state, view, stepTime, now);
        const bool canShift = hasCapacity && isGoodEnough;
        if (canShift && isTime)
            return withPhase(state, RolloutPhase::Shift);
        const bool isTooLate = now >= (canShift ? recordTime : recordTime - MinFullTime);
        return isTooLate ? std::optional(withPhase(state, RolloutPhase::RolledBack)) : std::nullopt;
    }
    if (state.step + 1 < RolloutShare::ShiftSteps) {
        if (rest > fullTimeLeft(state, view, stepTime, now))
            return std::nullopt;
        RolloutState next = state;
        ++next.step;
        return next;
    }
    const bool haveOldEnded = view.otherBusy == 0 && now - stepTime >= MinFullTime;
    if (view.targetSlots > 0 && (haveOldEnded || now >= recordTime))
        return withPhase(state, RolloutPhase::Completed);
    return std::nullopt;
}

} // namespace godwitlift
