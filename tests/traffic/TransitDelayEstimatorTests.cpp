/// \file
/// Delay estimates for messages between hosts with different clocks.
#include "godwitlift/traffic/TransitDelayEstimator.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

TEST_CASE("a delayed message is detected although the clocks differ by days")
{
    TransitDelayEstimator estimator;
    const absl::Duration skew = absl::Hours(50);
    absl::Duration now = absl::Seconds(100);
    for (int i = 0; i < 20; ++i, now += absl::Milliseconds(50))
        CHECK(estimator.observe(now, now + skew + absl::Milliseconds(1 + i % 3))
              <= absl::Milliseconds(2));
    CHECK(estimator.observe(now, now + skew + absl::Seconds(7)) >= absl::Milliseconds(6990));
    now += absl::Seconds(8);
    CHECK(estimator.observe(now, now + skew + absl::Milliseconds(1)) <= absl::Milliseconds(1));
}

TEST_CASE("a clock step has no effect any more after two windows")
{
    TransitDelayEstimator estimator;
    absl::Duration now = absl::Seconds(100);
    estimator.observe(now, now);
    const absl::Duration shift = absl::Seconds(5);
    for (int i = 0; i < 25; ++i) {
        now += absl::Seconds(1);
        estimator.observe(now, now + shift);
    }
    CHECK(estimator.observe(now, now + shift) == absl::ZeroDuration());
}

TEST_CASE("the first message of a sender has no delay")
{
    TransitDelayEstimator estimator;
    CHECK(estimator.observe(absl::Seconds(1), absl::Hours(3)) == absl::ZeroDuration());
}
