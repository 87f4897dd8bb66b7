/// \file
/// Events in virtual time, in a fixed order.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace godwitlift::test {

/// Runs events in order of time; events of the same time run in order of scheduling.
class VirtualTime final
{
public:
    absl::Time now() const { return m_now; }

    void at(absl::Time time, std::function<void()> event)
    {
        m_events.emplace(std::make_pair(std::max(time, m_now), m_next++), std::move(event));
    }
    void after(absl::Duration delay, std::function<void()> event)
    {
        at(m_now + delay, std::move(event));
    }
    void runUntil(absl::Time end)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            m_now = m_events.begin()->first.first;
            const auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        m_now = end;
    }
    void runFor(absl::Duration duration) { runUntil(m_now + duration); }

private:
    absl::Time m_now = absl::FromUnixSeconds(1'700'000'000);
    std::uint64_t m_next = 0;
    std::map<std::pair<absl::Time, std::uint64_t>, std::function<void()>> m_events;
};

} // namespace godwitlift::test
