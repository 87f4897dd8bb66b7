/// \file
/// Token bucket; the caller passes in the time.
#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace godwitlift {

/// Limits an average rate and allows bursts. Not thread-safe.
class TokenBucket final
{
public:
    TokenBucket(double tokensPerSecond, double burst)
        : m_tokensPerSecond(tokensPerSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {}

    /// A bucket that holds \p tokens at the time \p now.
    TokenBucket(double tokensPerSecond, double burst, double tokens, absl::Time now)
        : m_tokensPerSecond(tokensPerSecond)
        , m_burst(burst)
        , m_tokens(std::min(tokens, burst))
        , m_lastRefill(now)
    {}

    bool tryConsume(absl::Time now, double tokens = 1)
    {
        refill(now);
        if (m_tokens < tokens)
            return false;
        m_tokens -= tokens;
        return true;
    }

    /// Consumes one token, or what is left of it.
    void consumeAvailable(absl::Time now)
    {
        refill(now);
        m_tokens = std::max(0.0, m_tokens - 1);
    }

    /// Tokens at the time \p now if none are consumed until then.
    double available(absl::Time now) const
    {
        TokenBucket bucket = *this;
        bucket.refill(now);
        return bucket.m_tokens;
    }

    /// Keeps the tokens, up to the new burst.
    void setRate(double tokensPerSecond, double burst, absl::Time now)
    {
        refill(now);
        m_tokensPerSecond = tokensPerSecond;
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }

    /// Time from the last tryConsume() until \p tokens are available if none are consumed
    /// meanwhile.
    absl::Duration timeUntilAvailable(double tokens = 1) const
    {
        return absl::Seconds(std::max(0.0, tokens - m_tokens) / m_tokensPerSecond);
    }

private:
    void refill(absl::Time now)
    {
        if (now > m_lastRefill) {
            if (m_lastRefill != absl::InfinitePast())
                m_tokens = std::min(
                        m_burst,
                        m_tokens + absl::ToDoubleSeconds(now - m_lastRefill) * m_tokensPerSecond);
            m_lastRefill = now;
        }
    }

    double m_tokensPerSecond;
    double m_burst;
    double m_tokens;
    absl::Time m_lastRefill = absl::InfinitePast();
};

} // namespace godwitlift
