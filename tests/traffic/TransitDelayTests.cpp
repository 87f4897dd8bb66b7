/// \file
/// Delays of messages between hosts whose clocks differ.
#include "godwitlift/traffic/TransitDelay.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

TEST_CASE("held-up message: its delay is known although the clocks differ by days")
{
    TransitDelay delay;
    const absl::Duration skew = absl::Hours(50);
    absl::Duration now = absl::Seconds(100);
    for (int i = 0; i < 20; ++i, now += absl::Milliseconds(50))
        CHECK(delay.observe(now, now + skew + absl::Milliseconds(1 + i % 3))
              <= absl::Milliseconds(2));
    CHECK(delay.observe(now, now + skew + absl::Seconds(7)) >= absl::Milliseconds(6990));
    now += absl::Seconds(8);
    CHECK(delay.observe(now, now + skew + absl::Milliseconds(1)) <= absl::Milliseconds(1));
}

TEST_CASE("shifted clock: the shift is forgotten after two windows")
{
    TransitDelay delay;
    absl::Duration now = absl::Seconds(100);
    delay.observe(now, now);
    const absl::Duration shift = absl::Seconds(5);
    for (int i = 0; i < 25; ++i) {
        now += absl::Seconds(1);
        delay.observe(now, now + shift);
    }
    CHECK(delay.observe(now, now + shift) == absl::ZeroDuration());
}

TEST_CASE("first message of a sender: no delay is claimed")
{
    TransitDelay delay;
    CHECK(delay.observe(absl::Seconds(1), absl::Hours(3)) == absl::ZeroDuration());
}
