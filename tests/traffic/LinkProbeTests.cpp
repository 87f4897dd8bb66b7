/// \file
/// Detection of dead connections that are in use, idle, or used again.
#include "godwitlift/traffic/LinkProbe.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

namespace {

const absl::Time Start = absl::FromUnixSeconds(1'000'000);
constexpr absl::Duration Tick = absl::Milliseconds(100);
constexpr std::size_t PeerCount = 100;

/// A connection that is up since Start and idle.
LinkProbe openProbe()
{
    LinkProbe probe;
    probe.onConnected(Start);
    probe.onAnswer();
    return probe;
}

/// Pings while they are answered until \p end; returns their number.
int runAnswered(LinkProbe &probe, absl::Time end)
{
    int pings = 0;
    for (absl::Time now = Start; now < end; now += Tick) {
        REQUIRE_FALSE(probe.hasFailed(now));
        if (!probe.isPingDue(now, PeerCount))
            continue;
        probe.onPingSent(now);
        probe.onAnswer();
        ++pings;
    }
    return pings;
}

/// Time from \p since, when answers stop, until the failure is detected.
absl::Duration detectionTime(LinkProbe &probe, absl::Time since)
{
    for (absl::Time now = since;; now += Tick) {
        if (probe.hasFailed(now))
            return now - since;
        if (probe.isPingDue(now, PeerCount))
            probe.onPingSent(now);
    }
}

} // namespace

TEST_CASE("an idle connection is pinged a third as often as one that carries requests")
{
    LinkProbe idle = openProbe();
    LinkProbe used = openProbe();
    const absl::Time end = Start + absl::Seconds(18);
    int usedPings = 0;
    for (absl::Time now = Start; now < end; now += Tick) {
        used.onUsed(now);
        if (used.isPingDue(now, PeerCount)) {
            used.onPingSent(now);
            used.onAnswer();
            ++usedPings;
        }
    }
    CHECK(runAnswered(idle, end) * 3 <= usedPings + 3);
}

TEST_CASE("a connection in use that goes silent is given up within 2.1 s, an idle one within 3.4 s")
{
    for (int phase = 0; phase < 18; ++phase) {
        CAPTURE(phase);
        const absl::Time silentSince = Start + absl::Seconds(5) + phase * Tick;
        LinkProbe used = openProbe();
        for (absl::Time now = Start; now < silentSince; now += Tick) {
            used.onUsed(now);
            if (used.isPingDue(now, PeerCount)) {
                used.onPingSent(now);
                used.onAnswer();
            }
        }
        CHECK(detectionTime(used, silentSince) <= absl::Milliseconds(2100));
        LinkProbe idle = openProbe();
        runAnswered(idle, silentSince);
        CHECK(detectionTime(idle, silentSince) <= absl::Milliseconds(3400));
    }
}

TEST_CASE("the first request on an idle connection that is dead finds out within 2.2 s")
{
    for (int phase = 0; phase < 18; ++phase) {
        CAPTURE(phase);
        LinkProbe probe = openProbe();
        const absl::Time request = Start + absl::Seconds(5) + phase * Tick;
        runAnswered(probe, request);
        probe.onUsed(request);
        // A ping was sent less than the used interval ago, or is due now.
        CHECK(detectionTime(probe, request)
              <= LinkProbe::UsedInterval + LinkProbe::PongTimeout + 2 * Tick);
    }
}

TEST_CASE("idle connections in a fleet of any size: at most a hundred pings a second")
{
    for (const std::size_t peerCount : { 10, 180, 300, 1000, 24'000 }) {
        CAPTURE(peerCount);
        const double pingsPerSecond = static_cast<double>(peerCount)
                                      / absl::ToDoubleSeconds(LinkProbe::idleInterval(peerCount));
        CHECK(pingsPerSecond <= 100.001);
        CHECK(LinkProbe::silenceLimit(peerCount) > 2 * LinkProbe::idleInterval(peerCount));
    }
}

TEST_CASE("a peer has 2 s to answer the hello")
{
    LinkProbe probe;
    probe.onConnected(Start);
    CHECK_FALSE(probe.hasFailed(Start + absl::Milliseconds(1900)));
    CHECK(probe.hasFailed(Start + absl::Milliseconds(2100)));
}
