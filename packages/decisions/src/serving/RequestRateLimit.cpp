/// \file
/// Token bucket of a stated request limit.
#include "godwitlift/serving/RequestRateLimit.h"

#include <algorithm>
#include <limits>

namespace godwitlift {

double RequestRateLimit::usableRate(double requestsPerSecond)
{
    return std::max(requestsPerSecond, MinRequestsPerSecond);
}

void RequestRateLimit::setLimit(std::optional<double> requestsPerSecond, absl::Time now)
{
    m_limit = requestsPerSecond;
    if (!m_limit)
        return;
    const double rate = usableRate(*m_limit);
    const double burst = std::max(1.0, rate * absl::ToDoubleSeconds(BurstTime));
    if (m_bucket)
        m_bucket->setRate(rate, burst, now);
    else
        m_bucket = TokenBucket(rate, burst, 1, now);
}

void RequestRateLimit::reset()
{
    m_limit.reset();
    m_bucket.reset();
}

void RequestRateLimit::onStarted(absl::Time now)
{
    if (m_bucket)
        m_bucket->consumeAvailable(now);
}

double RequestRateLimit::allowance(absl::Time now) const
{
    return m_limit ? m_bucket->available(now) : std::numeric_limits<double>::infinity();
}

absl::Duration RequestRateLimit::waitBehind(std::size_t requestsAhead, absl::Time now) const
{
    if (!m_limit)
        return absl::ZeroDuration();
    const double missing = static_cast<double>(requestsAhead) + 1 - allowance(now);
    return absl::Seconds(std::max(missing, 0.0) / usableRate(*m_limit));
}

} // namespace godwitlift
