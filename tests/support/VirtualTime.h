/// \file
/// Event queue in virtual time with a deterministic order.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace godwitlift::test {

/// Runs actions in order of due time; actions with the same due time run in order of scheduling.
class VirtualTime final
{
public:
    absl::Time now() const { return m_now; }

    void scheduleAt(absl::Time dueTime, std::function<void()> action)
    {
        m_events.emplace(std::make_pair(std::max(dueTime, m_now), m_nextSequence++),
                         std::move(action));
    }
    void scheduleAfter(absl::Duration delay, std::function<void()> action)
    {
        scheduleAt(m_now + delay, std::move(action));
    }
    void runUntil(absl::Time end)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            m_now = m_events.begin()->first.first;
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        m_now = end;
    }
    void runFor(absl::Duration duration) { runUntil(m_now + duration); }

private:
    absl::Time m_now = absl::FromUnixSeconds(1'700'000'000);
    std::uint64_t m_nextSequence = 0;
    std::map<std::pair<absl::Time, std::uint64_t>, std::function<void()>> m_events;
};

} // namespace godwitlift::test
