/// \file
/// Sliding window by buckets.
#include "godwitlift/traffic/WindowedRetryBudget.h"

#include <algorithm>

namespace godwitlift {

WindowedRetryBudget::Bucket &WindowedRetryBudget::current(absl::Time now)
{
    const absl::Duration width = m_rule.window / BucketsPerWindow;
    absl::Duration rest;
    const std::int64_t index = absl::IDivDuration(now - absl::UnixEpoch(), width, &rest);
    while (!m_buckets.empty() && m_buckets.front().index < index - BucketsPerWindow)
        m_buckets.pop_front();
    if (m_buckets.empty() || m_buckets.back().index != index)
        m_buckets.push_back({ index, 0, 0 });
    return m_buckets.back();
}

void WindowedRetryBudget::requestArrived(absl::Time now)
{
    ++current(now).requests;
}

bool WindowedRetryBudget::trySpend(absl::Time now, std::size_t nodes)
{
    Bucket &newest = current(now);
    double requests = 0;
    double repeats = 0;
    for (const Bucket &bucket : m_buckets) {
        requests += bucket.requests;
        repeats += bucket.repeats;
    }
    const double share = m_rule.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    if (repeats + 1 > UsedShare * (m_rule.ratio * requests + share))
        return false;
    ++newest.repeats;
    return true;
}

void WindowedRetryBudget::refund()
{
    if (!m_buckets.empty() && m_buckets.back().repeats > 0)
        --m_buckets.back().repeats;
}

} // namespace godwitlift
