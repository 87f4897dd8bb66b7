/// \file
/// Expiry of leases and repetition of failed reads.
#include "godwitlift/traffic/ConfigurationLease.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace godwitlift {

Result<ConfigurationLease> ConfigurationLease::create(absl::Duration applyLimit)
{
    if (applyLimit < MinApplyLimit)
        return makeInputError("apply_limit", absl::StrCat("is shorter than ",
                                                          absl::FormatDuration(MinApplyLimit)));
    return ConfigurationLease(applyLimit - TakeoverSpread - ReadAllowance);
}

void ConfigurationLease::beginFirstStart(absl::Duration now)
{
    m_confirmed = now + FirstStartDelay - m_duration;
    m_spread = FirstStartSpread;
}

void ConfigurationLease::onConfirmed(absl::Duration asOf)
{
    m_confirmed = std::max(m_confirmed, asOf);
    m_spread = TakeoverSpread;
    m_earliestRetry = -absl::InfiniteDuration();
    m_retryDelay = absl::ZeroDuration();
}

void ConfigurationLease::onReadFailed(std::size_t peerCount, RandomSource &random,
                                      absl::Duration now)
{
    const absl::Duration maxDelay = peerCount == 0 ? MaxIsolatedRetryDelay : MaxRetryDelay;
    m_retryDelay = std::clamp(m_retryDelay * 2, MinRetryDelay, maxDelay);
    m_earliestRetry = now + m_retryDelay * (0.5 + 0.5 * random.uniformReal());
}

absl::Duration ConfigurationLease::nextRead(std::size_t rank, std::size_t nodeCount) const
{
    // The logarithm leaves the first nodes far apart: few read although an answer takes its time.
    const double share = std::log2(1.0 + static_cast<double>(rank))
                         / std::log2(std::max(2.0, static_cast<double>(nodeCount)));
    return std::max(m_confirmed + m_duration + m_spread * std::min(share, 1.0), m_earliestRetry);
}

} // namespace godwitlift
