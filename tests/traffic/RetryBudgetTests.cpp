/// \file
/// The fleet-wide retry budget, spent by nodes without coordination.
#include "godwitlift/base/RandomSource.h"
#include "godwitlift/traffic/WindowedRetryBudget.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace godwitlift;

TEST_CASE("retries of all nodes together stay within the budget in every sliding window")
{
    const RetryBudgetRule rule{ 0.2, 58, absl::Seconds(10) };
    constexpr int Nodes = 9;
    constexpr int Steps = 6000; // 10 ms each: six windows.
    SeededRandom random(7);
    std::vector<WindowedRetryBudget> budgets(Nodes, WindowedRetryBudget(rule));
    std::vector<int> requests(Steps);
    std::vector<int> retries(Steps);
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    for (int step = 0; step < Steps; ++step, now += absl::Milliseconds(10)) {
        // Traffic stops and resumes, so that a window can contain retries of a busier period.
        const bool isBusy = (step / 700) % 2 == 0;
        for (WindowedRetryBudget &budget : budgets) {
            if (isBusy && random.uniformReal() < 0.5) {
                budget.recordRequest(now);
                ++requests[step];
            }
            if (random.uniformReal() < 0.5 && budget.trySpend(now, Nodes))
                ++retries[step];
        }
    }
    constexpr int Window = 1000;
    int spent = 0;
    for (int end = Window; end <= Steps; ++end) {
        double requestsInWindow = 0;
        double retriesInWindow = 0;
        for (int step = end - Window; step < end; ++step) {
            requestsInWindow += requests[step];
            retriesInWindow += retries[step];
        }
        spent += static_cast<int>(retriesInWindow);
        REQUIRE(retriesInWindow <= rule.ratio * requestsInWindow + rule.slack);
    }
    CHECK(spent > 0);
}

TEST_CASE("calls made by retried requests stay within the retry budget of the called service")
{
    const RetryBudgetRule rule{ 0.2, 64, absl::Seconds(10) };
    constexpr std::size_t Nodes = 12;
    SeededRandom random(3);
    std::vector<WindowedRetryBudget> callers(Nodes, WindowedRetryBudget(rule));
    std::vector<WindowedRetryBudget> callees(Nodes, WindowedRetryBudget(rule));
    // One window with as many retries as the budgets allow: 570 requests a second at the caller,
    // two thirds of them lookups that call the callee in seven of ten runs, and 140 more at the
    // callee.
    double requests = 0;
    double retries = 0;
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    const auto callCallee = [&](std::size_t node) {
        if (random.uniformReal() >= 2.0 / 3 * 0.7)
            return false;
        callees[node].recordRequest(now);
        return true;
    };
    for (int step = 0; step < 1000; ++step, now += absl::Milliseconds(10)) {
        for (std::size_t node = 0; node < Nodes; ++node) {
            if (random.uniformReal() < 5.7 / Nodes) {
                callers[node].recordRequest(now);
                requests += callCallee(node) ? 1 : 0;
            }
            if (random.uniformReal() < 1.4 / Nodes) {
                callees[node].recordRequest(now);
                ++requests;
            }
            if (callers[node].trySpend(now, Nodes) && callCallee(node)) {
                ++requests;
                ++retries;
            }
            retries += callees[node].trySpend(now, Nodes) ? 1 : 0;
        }
    }
    CHECK(retries <= rule.ratio * requests + rule.slack);
}

TEST_CASE("a retry that was not sent can be refunded")
{
    WindowedRetryBudget budget({ 0, 10, absl::Seconds(10) });
    const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    int spent = 0;
    while (budget.trySpend(now, 1))
        ++spent;
    REQUIRE(spent > 0);
    REQUIRE(spent <= 10);
    budget.refund();
    CHECK(budget.trySpend(now, 1));
    CHECK_FALSE(budget.trySpend(now, 1)); // Only one was refunded.
}
