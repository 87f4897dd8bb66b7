/// \file
/// Delay of small answers behind a large download on a slow link, in virtual time.
#include "godwitlift/traffic/LinkPacer.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace godwitlift;

namespace {

const absl::Time Start = absl::UnixEpoch() + absl::Hours(1);
constexpr double MegabitsPerSecond = 7;
/// Payload rate of the link without packet headers.
constexpr double BytesPerSecond = MegabitsPerSecond * 1e6 / 8 * 0.95;

/// A first-in, first-out link and a large answer that is sent over it.
struct Download
{
    /// Sends the pieces that are due at \p now: all of them if not paced.
    void advance(absl::Time now, bool isPaced)
    {
        while (bytesLeft > 0 && (!isPaced || pacer.delay(now) == absl::ZeroDuration())) {
            const std::size_t piece = std::min(bytesLeft, pacer.pieceBytes());
            bytesLeft -= piece;
            transmit(piece, now);
        }
    }
    /// Sends \p bytes and returns the time until they are transmitted.
    absl::Duration transmit(std::size_t bytes, absl::Time now)
    {
        pacer.onSent(bytes, now);
        idleAt = std::max(idleAt, now) + absl::Seconds(static_cast<double>(bytes) / BytesPerSecond);
        return idleAt - now;
    }

    LinkPacer pacer{ MegabitsPerSecond };
    std::size_t bytesLeft = 540'000;
    absl::Time idleAt = absl::InfinitePast();
};

absl::Duration longestSmallAnswerDelay(bool isPaced)
{
    Download download;
    absl::Duration longest;
    for (absl::Time now = Start; now < Start + absl::Milliseconds(600);
         now += absl::Milliseconds(1)) {
        download.advance(now, isPaced);
        if ((now - Start) % absl::Milliseconds(20) == absl::ZeroDuration())
            longest = std::max(longest, download.transmit(400, now));
    }
    return longest;
}

} // namespace

TEST_CASE("large downloads: a small answer waits for a few pieces at most")
{
    // A tenth of the tightest latency objective of the deployments, 300 ms.
    CHECK(longestSmallAnswerDelay(true) < absl::Milliseconds(30));
    // Without pacing, the small answer waits for the whole download.
    CHECK(longestSmallAnswerDelay(false) > absl::Milliseconds(500));
}

TEST_CASE("large downloads: pacing keeps the link busy")
{
    Download download;
    absl::Time now = Start;
    while (download.bytesLeft > 0) {
        download.advance(now, true);
        now += absl::Milliseconds(1);
        REQUIRE((download.bytesLeft == 0 || download.idleAt > now));
    }
}

TEST_CASE("large downloads: nothing is paced on a link of unknown bandwidth")
{
    LinkPacer pacer(0);
    pacer.onSent(10'000'000, Start);
    CHECK(pacer.delay(Start) == absl::ZeroDuration());
    CHECK(pacer.pieceBytes() > 10'000'000);
}
