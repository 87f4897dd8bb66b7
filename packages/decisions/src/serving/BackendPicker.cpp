/// \file
/// Power of two choices by proximity, and outlier ejection.
#include "godwitlift/serving/BackendPicker.h"

#include <algorithm>
#include <cmath>

namespace godwitlift {

namespace {

/// Age from which a gate's load report is ignored.
constexpr absl::Duration LoadReportLifetime = absl::Milliseconds(500);
constexpr absl::Duration IdleTargetLifetime = absl::Minutes(2);
constexpr absl::Duration BaseEjectionTime = absl::Milliseconds(250);
constexpr absl::Duration MaxEjectionTime = absl::Seconds(5);
constexpr int FailuresBeforeEjection = 2;
constexpr int MaxEjectionDoublings = 5;

TargetKey keyOf(const Target &target)
{
    return { target.host, target.server };
}

} // namespace

bool BackendPicker::isEjected(const Target &target, absl::Time now) const
{
    const auto it = m_targetStates.find(keyOf(target));
    return it != m_targetStates.end() && it->second.ejectedUntil > now;
}

BackendPicker::Candidates BackendPicker::candidates(const ServiceTargets &targets,
                                                    const std::set<TargetKey> &tried,
                                                    absl::Time now) const
{
    Candidates healthy;
    Candidates unhealthy;
    std::size_t healthyCount = 0;
    std::size_t unhealthyCount = 0;
    for (std::size_t i = 0; i < std::size(targets.byProximity); ++i) {
        for (const Target &target : targets.byProximity[i]) {
            const bool isUnhealthy = target.isSuspect || isEjected(target, now);
            ++(isUnhealthy ? unhealthyCount : healthyCount);
            if (!tried.contains(keyOf(target)))
                (isUnhealthy ? unhealthy : healthy).byProximity[i].push_back(&target);
        }
    }
    // If more than half of the targets are unhealthy, the cause is a fault that they share or a
    // fault of this node; use all targets.
    if (healthyCount >= unhealthyCount)
        return healthy;
    for (std::size_t i = 0; i < std::size(healthy.byProximity); ++i) {
        auto &list = healthy.byProximity[i];
        list.insert(list.end(), unhealthy.byProximity[i].begin(), unhealthy.byProximity[i].end());
    }
    return healthy;
}

double BackendPicker::loadRatio(const Target &target, absl::Time now) const
{
    const auto it = m_targetStates.find(keyOf(target));
    if (it == m_targetStates.end())
        return 0;
    const TargetState &state = it->second;
    double slots = target.slots;
    double busy = state.inFlight;
    if (now - state.lastReport < LoadReportLifetime && state.load.limit > 0) {
        slots = state.load.limit;
        busy = std::max<double>(busy, state.load.inUse + state.load.queued);
    }
    return busy / std::max(1.0, slots);
}

bool BackendPicker::hasFreeCapacity(const Target &target, absl::Time now) const
{
    return loadRatio(target, now) < 1;
}

const Target *BackendPicker::lessLoadedOfTwo(const std::vector<const Target *> &candidates,
                                             absl::Time now)
{
    const std::size_t first = m_random.uniformBelow(candidates.size());
    if (candidates.size() == 1)
        return candidates[first];
    std::size_t second = m_random.uniformBelow(candidates.size() - 1);
    second += second >= first ? 1 : 0;
    const double a = loadRatio(*candidates[first], now);
    const double b = loadRatio(*candidates[second], now);
    return a <= b ? candidates[first] : candidates[second];
}

const Target *BackendPicker::pick(const ServiceTargets &targets, const std::set<TargetKey> &tried,
                                  absl::Time now)
{
    const Target *fallback = nullptr;
    const Candidates eligible = candidates(targets, tried, now);
    for (const auto &list : eligible.byProximity) {
        if (list.empty())
            continue;
        const Target *choice = lessLoadedOfTwo(list, now);
        if (hasFreeCapacity(*choice, now))
            return choice;
        // No free capacity here: continue with the next proximity. Without free capacity anywhere,
        // the least loaded choice is used, the nearest one if several are equal.
        if (fallback == nullptr || loadRatio(*choice, now) < loadRatio(*fallback, now))
            fallback = choice;
    }
    return fallback;
}

void BackendPicker::onAttemptSent(const TargetKey &target)
{
    ++m_targetStates[target].inFlight;
}

void BackendPicker::onAttemptEnded(const TargetKey &target, AttemptResult result,
                                   const GateLoad &load, absl::Time now)
{
    TargetState &state = m_targetStates[target];
    state.inFlight -= state.inFlight > 0 ? 1 : 0;
    state.lastReport = now;
    if (load.limit > 0)
        state.load = load;
    if (result == AttemptResult::Overloaded)
        return;
    if (result == AttemptResult::Success) {
        state.consecutiveFailures = 0;
        state.ejectedUntil = absl::InfinitePast();
        return;
    }
    ++state.consecutiveFailures;
    if (state.consecutiveFailures < FailuresBeforeEjection)
        return;
    const int doublings =
            std::min(state.consecutiveFailures - FailuresBeforeEjection, MaxEjectionDoublings);
    const absl::Duration ejectionTime =
            std::min(MaxEjectionTime, BaseEjectionTime * (1 << doublings));
    state.ejectedUntil = now + ejectionTime * (0.5 + 0.5 * m_random.uniformReal());
}

void BackendPicker::expire(absl::Time now)
{
    absl::erase_if(m_targetStates, [&](const auto &entry) {
        return entry.second.inFlight == 0 && now - entry.second.lastReport > IdleTargetLifetime;
    });
}

} // namespace godwitlift
