/// \file
/// Order among the states of a roll-out, and the shares of the new version.
#include "godwitlift/rollout/Rollout.h"

#include <tuple>

namespace godwitlift {

std::string_view name(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Trial:
        return "trial";
    case RolloutPhase::Shift:
        return "shift";
    case RolloutPhase::RolledBack:
        return "rolled-back";
    case RolloutPhase::Completed:
        return "completed";
    }
    return "unknown";
}

bool isNewer(const RolloutState &other, const RolloutState &state)
{
    const auto rank = [](const RolloutState &entry) {
        return std::make_tuple(entry.order.revision, entry.isRecorded, entry.phase, entry.step);
    };
    return rank(other) > rank(state);
}

double RolloutShare::of(const RolloutState &state, double exposureShare)
{
    switch (state.phase) {
    case RolloutPhase::Trial:
        return exposureShare * TrialPart;
    case RolloutPhase::Shift:
        return state.step + 1 < ShiftSteps ? FirstStepShare : 1;
    case RolloutPhase::RolledBack:
        return 0;
    case RolloutPhase::Completed:
        return 1;
    }
    return 0;
}

} // namespace godwitlift
