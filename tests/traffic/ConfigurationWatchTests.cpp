/// \file
/// Requests to the store after gaps in its history and during outages.
#include "godwitlift/traffic/ConfigurationWatch.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

TEST_CASE("a gap in the history is followed by a full read")
{
    SeededRandom random(3);
    ConfigurationWatch watch(random);
    CHECK_FALSE(watch.firstRequest(false).isWatch);
    const WatchRequest nextRequest = watch.onResult(WatchResult::Changed, 40);
    CHECK(nextRequest.isWatch);
    CHECK(nextRequest.afterRevision == 40);
    const WatchRequest fullReadRequest = watch.onResult(WatchResult::HistoryGone, 0);
    CHECK_FALSE(fullReadRequest.isWatch);
    CHECK(fullReadRequest.delay == absl::ZeroDuration());
    CHECK(watch.onResult(WatchResult::Unchanged, 55).afterRevision == 55);
}

TEST_CASE("an outage leads to a bounded back-off and keeps the revision")
{
    SeededRandom random(3);
    ConfigurationWatch watch(random);
    watch.onResult(WatchResult::Unchanged, 12);
    for (int i = 0; i < 20; ++i) {
        const WatchRequest request = watch.onResult(WatchResult::Failed, 0);
        CHECK(request.isWatch);
        CHECK(request.afterRevision == 12);
        CHECK(request.delay > absl::ZeroDuration());
        CHECK(request.delay <= ConfigurationWatch::MaxBackoff);
        CHECK(watch.isFailing());
        // A request without an answer must time out long before a version has to be in force.
        CHECK(request.longPollTimeout == absl::ZeroDuration());
    }
    CHECK(watch.onResult(WatchResult::Unchanged, 12).delay == absl::ZeroDuration());
    CHECK_FALSE(watch.isFailing());
}

TEST_CASE("changes are coalesced for less than half the time in which a version must be in force")
{
    SeededRandom random(3);
    ConfigurationWatch watch(random);
    const absl::Duration applyDeadline = absl::Seconds(2);
    CHECK(watch.onResult(WatchResult::Changed, 1).delay > absl::ZeroDuration());
    CHECK(watch.onResult(WatchResult::Changed, 2).delay < applyDeadline / 2);
}

TEST_CASE("a node that starts alone reads at once, one of a new system leaves it to the watchers")
{
    SeededRandom random(3);
    ConfigurationWatch watch(random);
    CHECK(watch.firstRequest(false).delay == absl::ZeroDuration());
    CHECK(watch.firstRequest(true).delay == ConfigurationWatch::FirstStartDelay);
    const WatchRequest next = watch.onResult(WatchResult::Unchanged, 7);
    CHECK(next.longPollTimeout == ConfigurationWatch::LongPollTimeout);
    const WatchRequest delegated = watch.delegatedRequest(next);
    CHECK(delegated.isWatch);
    CHECK(delegated.afterRevision == 7);
    // A call that waits at the store would return with every change.
    CHECK(delegated.longPollTimeout == absl::ZeroDuration());
    CHECK(delegated.delay >= ConfigurationWatch::DelegatedReadDelay / 2);
    CHECK(delegated.delay <= ConfigurationWatch::DelegatedReadDelay * 1.5);
}
