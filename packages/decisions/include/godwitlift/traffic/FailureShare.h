/// \file
/// Share of failed attempts of a backend server as an exponentially weighted moving average.
#pragma once

namespace godwitlift {

/// Exponentially weighted moving share of failures of one backend server. Not thread-safe.
class FailureShare final
{
public:
    /// Share from which a server counts as failing.
    static constexpr double FailingThreshold = 0.25;

    void recordSuccess() { m_share *= 1 - SmoothingFactor; }
    void recordFailure() { m_share += SmoothingFactor * (1 - m_share); }
    void reset(double share = 0) { m_share = share; }
    double value() const { return m_share; }

private:
    /// Weight of the newest outcome: three consecutive failures mark a healthy server as failing, a
    /// single one does not.
    static constexpr double SmoothingFactor = 0.1;

    double m_share = 0;
};

} // namespace godwitlift
