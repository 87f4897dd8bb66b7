/// \file
/// Reports of a gate to callers and to peers that do not call, in fleets of different sizes.
#include "godwitlift/traffic/ReportSchedule.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace godwitlift;

namespace {

const absl::Time Start = absl::FromUnixSeconds(1'000'000);

GateReport busyReport(std::uint32_t running)
{
    GateReport report;
    report.acceptsRequests = true;
    report.slots = 15;
    report.running = running;
    return report;
}

/// Reports a gate sends in ten seconds to \p peerCount peers, of which \p callerCount call once a
/// second, while its load changes all the time.
std::size_t reportCount(std::size_t peerCount, std::size_t callerCount)
{
    SeededRandom random(5);
    ReportSchedule schedule(random);
    std::vector<ReportRecipient> peers(peerCount);
    std::size_t count = 0;
    for (int tick = 0; tick < 100; ++tick) {
        const absl::Time now = Start + tick * absl::Milliseconds(100);
        for (std::size_t i = 0; i < callerCount && tick % 10 == 0; ++i)
            peers[i].lastRequest = now;
        const GateReport report = busyReport(tick % 2 == 0 ? 3 : 9);
        const bool areCallersDue = schedule.areCallersDue(report, callerCount, now);
        for (ReportRecipient &peer : peers) {
            if (!(areCallersDue && ReportSchedule::isCaller(peer, now))
                && !ReportSchedule::isRefreshDue(peer, now))
                continue;
            ++count;
            schedule.onReported(peer, peerCount, now);
        }
        if (areCallersDue)
            schedule.onCallersReported(report, now);
    }
    return count;
}

} // namespace

TEST_CASE("reports in a fleet of any size: peers that do not call add at most a hundred a second")
{
    const std::size_t callersOnly = reportCount(30, 30);
    for (const std::size_t otherCount : { 170, 970, 2970 }) {
        CAPTURE(otherCount);
        // Each peer gets a first report, and intervals vary by a quarter.
        const std::size_t others = reportCount(30 + otherCount, 30) - callersOnly;
        CHECK(others <= otherCount + 10 * 100 * 5 / 4);
    }
}

TEST_CASE("reports in a fleet of two hundred: peers that do not call get one in two seconds")
{
    const std::size_t others = reportCount(200, 30) - reportCount(30, 30);
    CHECK(others >= 170 * 10 / 2 * 3 / 4);
}

TEST_CASE("reports in a large fleet: the refreshes of peers that do not call spread over time")
{
    SeededRandom random(6);
    ReportSchedule schedule(random);
    std::vector<ReportRecipient> peers(200);
    for (ReportRecipient &peer : peers) // All got an urgent report at the same time.
        schedule.onReported(peer, peers.size(), Start);
    std::size_t mostAtOnce = 0;
    for (absl::Duration elapsed; elapsed < absl::Seconds(4); elapsed += absl::Milliseconds(100)) {
        std::size_t due = 0;
        for (ReportRecipient &peer : peers) {
            if (!ReportSchedule::isRefreshDue(peer, Start + elapsed))
                continue;
            ++due;
            schedule.onReported(peer, peers.size(), Start + elapsed);
        }
        mostAtOnce = std::max(mostAtOnce, due);
    }
    CHECK(mostAtOnce <= peers.size() / 4);
}

TEST_CASE(
        "a caller gets a significant change after the minimum interval and any within the maximum")
{
    SeededRandom random(7);
    ReportSchedule schedule(random);
    CHECK(schedule.areCallersDue(busyReport(3), 1, Start));
    schedule.onCallersReported(busyReport(3), Start);
    CHECK_FALSE(schedule.areCallersDue(busyReport(9), 1, Start + absl::Milliseconds(50)));
    CHECK(schedule.areCallersDue(busyReport(9), 1, Start + ReportSchedule::MinCallerInterval));
    CHECK_FALSE(schedule.areCallersDue(busyReport(4), 1, Start + absl::Milliseconds(400)));
    CHECK(schedule.areCallersDue(busyReport(3), 1, Start + ReportSchedule::MaxCallerInterval));
    ReportRecipient recipient;
    recipient.lastRequest = Start;
    CHECK(ReportSchedule::isCaller(recipient, Start + absl::Seconds(1)));
    CHECK_FALSE(ReportSchedule::isCaller(recipient, Start + ReportSchedule::CallerExpiry));
}
