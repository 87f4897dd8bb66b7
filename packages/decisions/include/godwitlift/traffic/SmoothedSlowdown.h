/// \file
/// How long work takes on a backend server's machine, smoothed over time.
#pragma once

#include <absl/time/time.h>

#include <cmath>

namespace godwitlift {

/// Moving average of the slowdown that a backend server states many times a second, weighted by
/// time. Not thread-safe.
class SmoothedSlowdown final
{
public:
    /// About the time between a report of a gate and the last request that is sent by it.
    static constexpr absl::Duration TimeConstant = absl::Milliseconds(500);

    /// \p slowdown is relative to the usual time and positive.
    void record(double slowdown, absl::Time now)
    {
        const double age = absl::FDivDuration(now - m_lastRecord, TimeConstant);
        m_value += (slowdown - m_value) * (1 - std::exp(-age));
        m_lastRecord = now;
    }
    void reset() { *this = SmoothedSlowdown(); }
    /// 1 until the first record.
    double value() const { return m_value; }

private:
    double m_value = 1;
    absl::Time m_lastRecord = absl::InfinitePast();
};

} // namespace godwitlift
