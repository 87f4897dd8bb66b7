/// \file
/// How often a backend server fails, by a moving share.
#pragma once

namespace godwitlift {

/// Moving share of failures among the latest outcomes of one backend server. Not thread-safe.
class FailureShare final
{
public:
    /// Share from which a server counts as failing.
    static constexpr double Failing = 0.25;

    void succeeded() { m_share *= 1 - Weight; }
    void failed() { m_share += Weight * (1 - m_share); }
    void reset(double share = 0) { m_share = share; }
    double value() const { return m_share; }

private:
    /// Weight of the newest outcome: three failures in a row of a sound server make it a failing
    /// one, a stray one does not.
    static constexpr double Weight = 0.1;

    double m_share = 0;
};

} // namespace godwitlift
