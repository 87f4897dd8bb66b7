/// \file
/// When freed memory is returned to the system.
#include "godwitlift/input/ReclaimSchedule.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

// Guards against freed blocks that stay with the process when a large message needs room (review
// case 7), and against a walk through the heap at every small change.
TEST_CASE("memory is reclaimed after many held bytes were released, and not too often")
{
    constexpr std::size_t Large = 10 * ReclaimSchedule::MinFreedBytes;
    const absl::Time start = absl::UnixEpoch();
    ReclaimSchedule schedule;
    CHECK_FALSE(schedule.isDue(0, start));
    CHECK_FALSE(schedule.isDue(Large, start));
    CHECK_FALSE(schedule.isDue(Large - ReclaimSchedule::MinFreedBytes + 1, start));
    CHECK(schedule.isDue(Large - ReclaimSchedule::MinFreedBytes, start));
    // What is freed meanwhile counts at the next time.
    CHECK_FALSE(schedule.isDue(0, start + ReclaimSchedule::MinInterval - absl::Milliseconds(1)));
    CHECK(schedule.isDue(0, start + ReclaimSchedule::MinInterval));
    CHECK_FALSE(schedule.isDue(0, start + absl::Minutes(1)));
    CHECK_FALSE(schedule.isDue(Large, start + absl::Minutes(1)));
    CHECK(schedule.isDue(0, start + absl::Minutes(1)));
}
