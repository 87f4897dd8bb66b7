/// \file
/// Two choices, proximity and ejection.
#include "godwitlift/serving/BackendPicker.h"

#include <algorithm>
#include <cmath>

namespace godwitlift {

namespace {

/// Age at which a gate's load report says nothing any more.
constexpr absl::Duration LoadLifetime = absl::Milliseconds(500);
constexpr absl::Duration StateLifetime = absl::Minutes(2);
constexpr absl::Duration EjectionBase = absl::Milliseconds(250);
constexpr absl::Duration EjectionCeiling = absl::Seconds(5);
constexpr int FailuresBeforeEjection = 2;
constexpr int EjectionDoublings = 5;

TargetKey keyOf(const Target &target)
{
    return { target.host, target.server };
}

} // namespace

std::vector<const Target *> BackendPicker::usable(const std::vector<Target> &targets,
                                                  const std::set<TargetKey> &tried,
                                                  bool withSuspects, absl::Time now) const
{
    std::vector<const Target *> open;
    std::vector<const Target *> ejected;
    for (const Target &target : targets) {
        if (tried.contains(keyOf(target)) || (target.isSuspect && !withSuspects))
            continue;
        const auto it = m_states.find(keyOf(target));
        const bool isEjected = it != m_states.end() && it->second.ejectedUntil > now;
        (isEjected ? ejected : open).push_back(&target);
    }
    // Ejection keeps a floor: beyond half of the candidates it is taken for a fault they share.
    if (open.size() < ejected.size())
        open.insert(open.end(), ejected.begin(), ejected.end());
    return open;
}

double BackendPicker::score(const Target &target, absl::Time now) const
{
    const auto it = m_states.find(keyOf(target));
    if (it == m_states.end())
        return 0;
    const State &state = it->second;
    double slots = target.slots;
    double busy = state.inFlight;
    if (now - state.heard < LoadLifetime && state.load.limit > 0) {
        slots = state.load.limit;
        busy = std::max<double>(busy, state.load.inUse + state.load.queued);
    }
    return busy / std::max(1.0, slots);
}

bool BackendPicker::hasRoom(const Target &target, absl::Time now) const
{
    return score(target, now) < 1;
}

const Target *BackendPicker::better(const std::vector<const Target *> &candidates, absl::Time now)
{
    const std::size_t first = m_random.below(candidates.size());
    if (candidates.size() == 1)
        return candidates[first];
    std::size_t second = m_random.below(candidates.size() - 1);
    second += second >= first ? 1 : 0;
    const double a = score(*candidates[first], now);
    const double b = score(*candidates[second], now);
    return a <= b ? candidates[first] : candidates[second];
}

const Target *BackendPicker::pick(const ServiceTargets &targets, const std::set<TargetKey> &tried,
                                  absl::Time now)
{
    const Target *fallback = nullptr;
    for (const bool withSuspects : { false, true }) {
        for (const auto &list : targets.byProximity) {
            const auto candidates = usable(list, tried, withSuspects, now);
            if (candidates.empty())
                continue;
            const Target *choice = better(candidates, now);
            if (hasRoom(*choice, now))
                return choice;
            // No room near: look further away, but remember the nearest.
            if (fallback == nullptr || score(*choice, now) < score(*fallback, now))
                fallback = choice;
        }
    }
    return fallback;
}

void BackendPicker::sent(const TargetKey &target)
{
    ++m_states[target].inFlight;
}

void BackendPicker::ended(const TargetKey &target, AttemptQuality quality, const GateLoad &load,
                          absl::Time now)
{
    State &state = m_states[target];
    state.inFlight -= state.inFlight > 0 ? 1 : 0;
    state.heard = now;
    if (load.limit > 0)
        state.load = load;
    if (quality == AttemptQuality::Good) {
        state.failures = 0;
        state.ejectedUntil = absl::InfinitePast();
        return;
    }
    ++state.failures;
    if (state.failures < FailuresBeforeEjection)
        return;
    const int doublings = std::min(state.failures - FailuresBeforeEjection, EjectionDoublings);
    const absl::Duration span = std::min(EjectionCeiling, EjectionBase * (1 << doublings));
    state.ejectedUntil = now + span * (0.5 + 0.5 * m_random.unit());
}

void BackendPicker::expire(absl::Time now)
{
    absl::erase_if(m_states, [&](const auto &entry) {
        return entry.second.inFlight == 0 && now - entry.second.heard > StateLifetime;
    });
}

} // namespace godwitlift
