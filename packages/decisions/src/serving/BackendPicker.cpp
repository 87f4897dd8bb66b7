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

bool BackendPicker::isEjected(const Target &target, absl::Time now) const
{
    const auto it = m_states.find(keyOf(target));
    return it != m_states.end() && it->second.ejectedUntil > now;
}

BackendPicker::Candidates BackendPicker::candidates(const ServiceTargets &targets,
                                                    const std::set<TargetKey> &tried,
                                                    absl::Time now) const
{
    Candidates open;
    Candidates doubtful;
    std::size_t openCount = 0;
    std::size_t doubtfulCount = 0;
    for (std::size_t i = 0; i < std::size(targets.byProximity); ++i) {
        for (const Target &target : targets.byProximity[i]) {
            const bool isDoubtful = target.isSuspect || isEjected(target, now);
            ++(isDoubtful ? doubtfulCount : openCount);
            if (!tried.contains(keyOf(target)))
                (isDoubtful ? doubtful : open).byProximity[i].push_back(&target);
        }
    }
    // Beyond half of the targets, doubt is taken for a fault that they share or that is here.
    if (openCount >= doubtfulCount)
        return open;
    for (std::size_t i = 0; i < std::size(open.byProximity); ++i) {
        auto &list = open.byProximity[i];
        list.insert(list.end(), doubtful.byProximity[i].begin(), doubtful.byProximity[i].end());
    }
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
    const std::size_t first = m_random.uniformBelow(candidates.size());
    if (candidates.size() == 1)
        return candidates[first];
    std::size_t second = m_random.uniformBelow(candidates.size() - 1);
    second += second >= first ? 1 : 0;
    const double a = score(*candidates[first], now);
    const double b = score(*candidates[second], now);
    return a <= b ? candidates[first] : candidates[second];
}

const Target *BackendPicker::pick(const ServiceTargets &targets, const std::set<TargetKey> &tried,
                                  absl::Time now)
{
    const Target *fallback = nullptr;
    const Candidates open = candidates(targets, tried, now);
    for (const auto &list : open.byProximity) {
        if (list.empty())
            continue;
        const Target *choice = better(list, now);
        if (hasRoom(*choice, now))
            return choice;
        // No room near: look further away, but remember the nearest of the least loaded.
        if (fallback == nullptr || score(*choice, now) < score(*fallback, now))
            fallback = choice;
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
    if (quality == AttemptQuality::Busy)
        return;
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
    state.ejectedUntil = now + span * (0.5 + 0.5 * m_random.uniformReal());
}

void BackendPicker::expire(absl::Time now)
{
    absl::erase_if(m_states, [&](const auto &entry) {
        return entry.second.inFlight == 0 && now - entry.second.heard > StateLifetime;
    });
}

} // namespace godwitlift
