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

double RequestRateLimit::burst(double requestsPerSecond)
{
    return std::max(1.0, usableRate(requestsPerSecond) * absl::ToDoubleSeconds(BurstTime));
}

void RequestRateLimit::setLimit(std::optional<double> requestsPerSecond, absl::Time now)
{
    m_limit = requestsPerSecond;
    if (!m_limit)
        return;
    const double rate = usableRate(*m_limit);
    if (m_bucket)
        m_bucket->setRate(rate, burst(rate), now);
    else
        m_bucket = TokenBucket(rate, burst(rate), 1, now);
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

std::optional<RequestLimitReport> RequestRateLimit::report(std::size_t queued, absl::Time now) const
{
    if (!m_limit)
        return std::nullopt;
    return RequestLimitReport{ *m_limit, allowance(now) - static_cast<double>(queued) };
}

absl::Duration RequestRateLimit::expectedWait(const RequestLimitReport &report, std::size_t sent)
{
    const double missing = 1 + static_cast<double>(sent) - report.allowance;
    return absl::Seconds(std::max(missing, 0.0) / usableRate(report.perSecond));
}

} // namespace godwitlift
