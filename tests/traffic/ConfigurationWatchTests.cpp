/// \file
/// Following the configuration through gaps and outages of the store.
#include "godwitlift/traffic/ConfigurationWatch.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

TEST_CASE("a gap in the history is followed by a whole reading")
{
    SeededRandom random(3);
    ConfigurationWatch watch(random);
    CHECK_FALSE(watch.first().isWatch);
    const WatchStep after = watch.answered(WatchResult::Changed, 40);
    CHECK(after.isWatch);
    CHECK(after.after == 40);
    const WatchStep reading = watch.answered(WatchResult::HistoryGone, 0);
    CHECK_FALSE(reading.isWatch);
    CHECK(reading.delay == absl::ZeroDuration());
    CHECK(watch.answered(WatchResult::Unchanged, 55).after == 55);
}

TEST_CASE("an outage is met with a bounded back-off and loses no position")
{
    SeededRandom random(3);
    ConfigurationWatch watch(random);
    watch.answered(WatchResult::Unchanged, 12);
    for (int i = 0; i < 20; ++i) {
        const WatchStep step = watch.answered(WatchResult::Failed, 0);
        CHECK(step.isWatch);
        CHECK(step.after == 12);
        CHECK(step.delay > absl::ZeroDuration());
        CHECK(step.delay <= ConfigurationWatch::LongestBackoff);
        CHECK(watch.isFailing());
        // A question that hangs is given up long before a version must be in force.
        CHECK(step.wait == absl::ZeroDuration());
    }
    CHECK(watch.answered(WatchResult::Unchanged, 12).delay == absl::ZeroDuration());
    CHECK_FALSE(watch.isFailing());
}

TEST_CASE("a storm of versions is taken in steps that leave time to come into force")
{
    SeededRandom random(3);
    ConfigurationWatch watch(random);
    const absl::Duration bound = absl::Seconds(2);
    CHECK(watch.answered(WatchResult::Changed, 1).delay > absl::ZeroDuration());
    CHECK(watch.answered(WatchResult::Changed, 2).delay < bound / 2);
}
