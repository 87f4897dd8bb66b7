/// \file
/// Sliding window of buckets.
#include "godwitlift/traffic/WindowedRetryBudget.h"

#include <algorithm>

namespace godwitlift {

WindowedRetryBudget::Bucket &WindowedRetryBudget::currentBucket(absl::Time now)
{
    const absl::Duration width = m_rule.window / BucketsPerWindow;
    absl::Duration remainder;
    const std::int64_t index = absl::IDivDuration(now - absl::UnixEpoch(), width, &remainder);
    while (!m_buckets.empty() && m_buckets.front().index < index - BucketsPerWindow)
        m_buckets.pop_front();
    if (m_buckets.empty() || m_buckets.back().index != index)
        m_buckets.push_back({ index, 0, 0 });
    return m_buckets.back();
}

void WindowedRetryBudget::recordRequest(absl::Time now, double repeatProbability)
{
    Bucket &newest = currentBucket(now);
    newest.requests += 1 - repeatProbability;
    newest.retries += repeatProbability;
}

bool WindowedRetryBudget::trySpend(absl::Time now, std::size_t nodeCount)
{
    Bucket &newest = currentBucket(now);
    double requests = 0;
    double retries = 0;
    for (const Bucket &bucket : m_buckets) {
        requests += bucket.requests;
        retries += bucket.retries;
    }
    const double slackShare =
            m_rule.slack / static_cast<double>(std::max<std::size_t>(nodeCount, 1));
    if (retries + 1 > UsableShare * (m_rule.ratio * requests + slackShare))
        return false;
    ++newest.retries;
    return true;
}

void WindowedRetryBudget::refund()
{
    if (!m_buckets.empty() && m_buckets.back().retries >= 1)
        --m_buckets.back().retries;
}

} // namespace godwitlift
