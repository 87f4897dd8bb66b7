/// \file
/// Large downloads on a thin link: what small answers wait for, in virtual time.
#include "godwitlift/traffic/LinkPacer.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace godwitlift;

namespace {

const absl::Time Start = absl::UnixEpoch() + absl::Hours(1);
constexpr double Megabits = 7;
/// Payload that a link carries beside the headers of its packets.
constexpr double BytesPerSecond = Megabits * 1e6 / 8 * 0.95;

/// A link that carries what it is given in order, and a large answer that is sent over it.
struct Download
{
    /// Sends all of the answer's pieces up to \p now, paced or at once.
    void advance(absl::Time now, bool isPaced)
    {
        while (left > 0 && (!isPaced || pacer.delay(now) == absl::ZeroDuration())) {
            const std::size_t piece = std::min(left, pacer.pieceBytes());
            left -= piece;
            carry(piece, now);
        }
    }
    /// Time until \p bytes that are sent now have been carried.
    absl::Duration carry(std::size_t bytes, absl::Time now)
    {
        pacer.sent(bytes, now);
        idleFrom = std::max(idleFrom, now)
                   + absl::Seconds(static_cast<double>(bytes) / BytesPerSecond);
        return idleFrom - now;
    }

    LinkPacer pacer{ Megabits };
    std::size_t left = 540'000;
    absl::Time idleFrom = absl::InfinitePast();
};

absl::Duration longestWait(bool isPaced)
{
    Download download;
    absl::Duration longest;
    for (absl::Time now = Start; now < Start + absl::Milliseconds(600);
         now += absl::Milliseconds(1)) {
        download.advance(now, isPaced);
        if ((now - Start) % absl::Milliseconds(20) == absl::ZeroDuration())
            longest = std::max(longest, download.carry(400, now));
    }
    return longest;
}

} // namespace

TEST_CASE("large downloads: a small answer waits for a few pieces at most")
{
    // A tenth of the tightest latency objective of the deployments, 300 ms.
    CHECK(longestWait(true) < absl::Milliseconds(30));
    // Without turns it waits for the whole download.
    CHECK(longestWait(false) > absl::Milliseconds(500));
}

TEST_CASE("large downloads: turns leave the link no idle time")
{
    Download download;
    absl::Time now = Start;
    while (download.left > 0) {
        download.advance(now, true);
        now += absl::Milliseconds(1);
        REQUIRE((download.left == 0 || download.idleFrom > now));
    }
}

TEST_CASE("large downloads: nothing waits on a link of unknown bandwidth")
{
    LinkPacer pacer(0);
    pacer.sent(10'000'000, Start);
    CHECK(pacer.delay(Start) == absl::ZeroDuration());
    CHECK(pacer.pieceBytes() > 10'000'000);
}
