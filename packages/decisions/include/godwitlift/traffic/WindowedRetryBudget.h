/// \file
/// Limits the retries of a node so that all nodes together stay within a fleet-wide retry budget.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>

namespace godwitlift {

/// Fleet-wide limit: in every window, retries <= ratio x requests + slack.
struct RetryBudgetRule
{
    double ratio = 0;
    double slack = 0;
    absl::Duration window = absl::Seconds(10);

    friend bool operator==(const RetryBudgetRule &, const RetryBudgetRule &) = default;
};

/// A node's part of the retry budget of a service; needs no coordination. Not thread-safe.
///
/// The node may spend the ratio of its own requests and an equal part of the slack. Requests and
/// retries are counted over the window that ends now, so that every sliding window keeps the limit.
class WindowedRetryBudget final
{
public:
    explicit WindowedRetryBudget(RetryBudgetRule rule)
        : m_rule(rule)
    {}

    /// \p repeatProbability is that the request is a call of a repeated run, which counts as a
    /// retry. Such a call is sent in any case, but leaves less for the retries of this node.
    void recordRequest(absl::Time now, double repeatProbability = 0);
    /// Spends one retry if the window allows it. The slack is divided by \p nodeCount.
    bool trySpend(absl::Time now, std::size_t nodeCount);
    /// Returns a retry that was not sent.
    void refund();

private:
    /// Requests and retries are counted in buckets of this fraction of the window.
    static constexpr int BucketsPerWindow = 20;
    /// Usable part of the limit. The rest covers calls of repeated runs that are not recognized,
    /// and nodes that receive more of them than their part of the budget.
    static constexpr double UsableShare = 0.55;

    struct Bucket
    {
        std::int64_t index = 0;
        double requests = 0;
        double retries = 0;
    };

    Bucket &currentBucket(absl::Time now);

    RetryBudgetRule m_rule;
    std::deque<Bucket> m_buckets; ///< Oldest first; span at most one window and one bucket.
};

} // namespace godwitlift
