/// \file
/// Bounds repeated sends of one node so that all nodes together stay within a fleet-wide budget.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>

namespace godwitlift {

/// Fleet-wide bound: in every window, repeats <= ratio x requests + slack.
struct RetryBudgetRule
{
    double ratio = 0;
    double slack = 0;
    absl::Duration window = absl::Seconds(10);

    friend bool operator==(const RetryBudgetRule &, const RetryBudgetRule &) = default;
};

/// One node's part of the budget of one service, without talking to other nodes. Not thread-safe.
///
/// The node spends the ratio of its own requests and an equal part of the slack. Requests are
/// counted over the window that ends now, so that every sliding window holds the bound.
class WindowedRetryBudget final
{
public:
    explicit WindowedRetryBudget(RetryBudgetRule rule)
        : m_rule(rule)
    {}

    void requestArrived(absl::Time now);
    /// Takes one repeat if the window has room for it. \p nodes share the slack.
    bool trySpend(absl::Time now, std::size_t nodes);
    /// Gives a repeat back that was never sent.
    void refund();

private:
    /// Requests and repeats are kept per bucket of this part of the window.
    static constexpr int BucketsPerWindow = 20;
    /// Part of the bound that is used. The rest covers calls that a repeated run makes again: they
    /// count as repeats at the service that is called, and nobody marks them. With this share the
    /// bound holds for a callee that gets up to four fifths as many such calls as repeats of its
    /// own.
    static constexpr double UsedShare = 0.55;

    struct Bucket
    {
        std::int64_t index = 0;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    Bucket &current(absl::Time now);

    RetryBudgetRule m_rule;
    std::deque<Bucket> m_buckets; ///< Oldest first; spans one window and one bucket at most.
};

} // namespace godwitlift
