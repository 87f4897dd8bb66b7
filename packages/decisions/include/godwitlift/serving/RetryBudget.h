/// \file
/// Bounds retries to a share of first attempts.
#pragma once

#include <algorithm>

namespace godwitlift {

/// Earns a fraction of a retry with each first attempt. Not thread-safe.
class RetryBudget final
{
public:
    /// Retries that may be saved up.
    static constexpr double Savings = 10;

    void firstAttempt(double ratio) { m_tokens = std::min(Savings, m_tokens + ratio); }
    bool tryRetry()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_tokens = 1;
};

} // namespace godwitlift
