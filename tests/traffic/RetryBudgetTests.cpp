/// \file
/// The fleet-wide retry budget, spent by nodes that do not talk to each other.
#include "godwitlift/base/RandomSource.h"
#include "godwitlift/traffic/WindowedRetryBudget.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace godwitlift;

TEST_CASE("repeats of all nodes together hold the budget in every sliding window")
{
    const RetryBudgetRule rule{ 0.2, 58, absl::Seconds(10) };
    constexpr int Nodes = 9;
    constexpr int Steps = 6000; // 10 ms each: six windows.
    SeededRandom random(7);
    std::vector<WindowedRetryBudget> budgets(Nodes, WindowedRetryBudget(rule));
    std::vector<int> requests(Steps);
    std::vector<int> repeats(Steps);
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    for (int step = 0; step < Steps; ++step, now += absl::Milliseconds(10)) {
        // Traffic stops and starts again, so that a window may hold repeats of a busier time.
        const bool isBusy = (step / 700) % 2 == 0;
        for (WindowedRetryBudget &budget : budgets) {
            if (isBusy && random.uniformReal() < 0.5) {
                budget.requestArrived(now);
                ++requests[step];
            }
            if (random.uniformReal() < 0.5 && budget.trySpend(now, Nodes))
                ++repeats[step];
        }
    }
    constexpr int Window = 1000;
    int spent = 0;
    for (int end = Window; end <= Steps; ++end) {
        double owed = 0;
        double sent = 0;
        for (int step = end - Window; step < end; ++step) {
            owed += requests[step];
            sent += repeats[step];
        }
        spent += static_cast<int>(sent);
        REQUIRE(sent <= rule.ratio * owed + rule.slack);
    }
    CHECK(spent > 0);
}

TEST_CASE("repeated runs that call again: the called service holds its budget too")
{
    const RetryBudgetRule rule{ 0.2, 64, absl::Seconds(10) };
    constexpr std::size_t Nodes = 12;
    SeededRandom random(3);
    std::vector<WindowedRetryBudget> callers(Nodes, WindowedRetryBudget(rule));
    std::vector<WindowedRetryBudget> callees(Nodes, WindowedRetryBudget(rule));
    // One window in which everything that may be repeated is: 570 requests a second at the caller,
    // two in three of which are lookups that call in seven of ten runs, and 140 more at the callee.
    double requests = 0;
    double repeats = 0;
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    const auto callAgain = [&](std::size_t node) {
        if (random.uniformReal() >= 2.0 / 3 * 0.7)
            return false;
        callees[node].requestArrived(now);
        return true;
    };
    for (int step = 0; step < 1000; ++step, now += absl::Milliseconds(10)) {
        for (std::size_t node = 0; node < Nodes; ++node) {
            if (random.uniformReal() < 5.7 / Nodes) {
                callers[node].requestArrived(now);
                requests += callAgain(node) ? 1 : 0;
            }
            if (random.uniformReal() < 1.4 / Nodes) {
                callees[node].requestArrived(now);
                ++requests;
            }
            if (callers[node].trySpend(now, Nodes) && callAgain(node)) {
                ++requests;
                ++repeats;
            }
            repeats += callees[node].trySpend(now, Nodes) ? 1 : 0;
        }
    }
    CHECK(repeats <= rule.ratio * requests + rule.slack);
}

TEST_CASE("a repeat that was not sent is given back")
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
    CHECK_FALSE(budget.trySpend(now, 1)); // One was given back, not more.
}
