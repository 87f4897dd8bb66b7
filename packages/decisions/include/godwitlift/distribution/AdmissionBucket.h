/// \file
/// A token bucket in passed-in time.
#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace godwitlift {

/// Limits a rate while allowing a burst. Not thread-safe.
class AdmissionBucket final
{
public:
    AdmissionBucket(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {}

    bool tryTake(absl::Time now, double tokens = 1)
    {
        refill(now);
        if (m_tokens < tokens)
            return false;
        m_tokens -= tokens;
        return true;
    }

    /// Time until \p tokens will be there if nobody else takes any.
    absl::Duration waitFor(double tokens = 1) const
    {
        return absl::Seconds(std::max(0.0, tokens - m_tokens) / m_perSecond);
    }

private:
    void refill(absl::Time now)
    {
        if (now > m_filled) {
            if (m_filled != absl::InfinitePast())
                m_tokens = std::min(m_burst,
                                    m_tokens + absl::ToDoubleSeconds(now - m_filled) * m_perSecond);
            m_filled = now;
        }
    }

    double m_perSecond;
    double m_burst;
    double m_tokens;
    absl::Time m_filled = absl::InfinitePast();
};

} // namespace godwitlift
