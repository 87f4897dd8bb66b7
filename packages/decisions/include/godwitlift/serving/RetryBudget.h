/// \file
/// Limits retries to a fraction of the first attempts.
#pragma once

#include <algorithm>

namespace godwitlift {

/// Token bucket: each first attempt adds a fraction of a token, each retry spends one token.
/// Not thread-safe.
class RetryBudget final
{
public:
    /// Largest number of retries that can accumulate.
    static constexpr double MaxTokens = 10;

    void onFirstAttempt(double ratio) { m_tokens = std::min(MaxTokens, m_tokens + ratio); }
    bool trySpend()
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
