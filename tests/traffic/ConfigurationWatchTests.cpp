/// \file
/// Requests to the store after gaps in its history, during outages and in another era.
#include "godwitlift/traffic/ConfigurationWatch.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

namespace {

constexpr absl::Duration PollTimeout = absl::Milliseconds(800);

} // namespace

TEST_CASE("a gap in the history is followed by a full read")
{
    SeededRandom random(3);
    ConfigurationWatch watch(random, PollTimeout);
    WatchRequest request = watch.readRequest();
    CHECK_FALSE(request.isWatch);
    request = watch.onResult(request, WatchResult::Changed, { 0, 40 });
    CHECK(request.isWatch);
    CHECK(request.after.revision == 40);
    request = watch.onResult(request, WatchResult::HistoryGone, {});
    CHECK_FALSE(request.isWatch);
    CHECK(request.delay == absl::ZeroDuration());
    CHECK(watch.onResult(request, WatchResult::Unchanged, { 0, 55 }).after.revision == 55);
}

TEST_CASE("an outage leads to a bounded back-off and keeps the revision")
{
    SeededRandom random(3);
    ConfigurationWatch watch(random, PollTimeout);
    WatchRequest request = watch.onResult({}, WatchResult::Unchanged, { 0, 12 });
    for (int i = 0; i < 20; ++i) {
        request = watch.onResult(request, WatchResult::Failed, {});
        CHECK(request.isWatch);
        CHECK(request.after.revision == 12);
        CHECK(request.delay > absl::ZeroDuration());
        CHECK(request.delay <= ConfigurationWatch::MaxBackoff);
        CHECK(watch.isFailing());
        // A request without an answer must time out long before a version has to be in force.
        CHECK(request.longPollTimeout == absl::ZeroDuration());
    }
    request = watch.onResult(request, WatchResult::Unchanged, { 0, 12 });
    CHECK(request.delay == absl::ZeroDuration());
    CHECK(request.longPollTimeout == PollTimeout);
    CHECK_FALSE(watch.isFailing());
}

TEST_CASE("changes are coalesced for less than half the time in which a version must be in force")
{
    SeededRandom random(3);
    ConfigurationWatch watch(random, PollTimeout);
    const absl::Duration applyLimit = absl::Seconds(2);
    WatchRequest request = watch.onResult({}, WatchResult::Changed, { 0, 1 });
    CHECK(request.delay > absl::ZeroDuration());
    request = watch.onResult(request, WatchResult::Changed, { 0, 2 });
    CHECK(request.delay < applyLimit / 2);
    // The read after a change is answered at once: until then nothing shows how new the version is.
    CHECK_FALSE(request.isLongPoll());
}

// Guards against a revision of the store's earlier history, which skips versions (incident
// late-configuration).
TEST_CASE("an answer of another era is followed by a full read, whatever its revision")
{
    SeededRandom random(3);
    for (const StoreRevision revision : { 3, 12, 20 }) {
        for (const WatchResult result :
             { WatchResult::Unchanged, WatchResult::Changed, WatchResult::HistoryGone }) {
            ConfigurationWatch watch(random, PollTimeout);
            WatchRequest request = watch.onResult({}, WatchResult::Changed, { 1, 12 });
            CHECK(request.isWatch);
            request = watch.onResult(request, result, { 2, revision });
            CHECK_FALSE(request.isWatch);
            CHECK(request.delay == absl::ZeroDuration());
            CHECK(watch.needsFullRead());
            request = watch.onResult(request, WatchResult::Changed, { 2, revision });
            CHECK(request.isWatch);
            CHECK(request.after == StorePosition{ 2, revision });
        }
    }
}

TEST_CASE("an answer that does not state the era belongs to the known one")
{
    SeededRandom random(3);
    ConfigurationWatch watch(random, PollTimeout);
    WatchRequest request = watch.onResult({}, WatchResult::Changed, { 4, 12 });
    request = watch.onResult(request, WatchResult::Unchanged, { 0, 13 });
    CHECK(request.after == StorePosition{ 4, 13 });
}

TEST_CASE("a peer's position is adopted if it is newer, also that of a newer era")
{
    SeededRandom random(3);
    ConfigurationWatch watch(random, PollTimeout);
    CHECK(watch.needsFullRead());
    watch.adopt({ 1, 30 });
    CHECK(watch.readRequest().after == StorePosition{ 1, 30 });
    watch.adopt({ 1, 20 });
    CHECK(watch.position() == StorePosition{ 1, 30 });
    watch.adopt({ 2, 5 });
    CHECK(watch.position() == StorePosition{ 2, 5 });
    watch.adopt({ 1, 40 });
    CHECK(watch.position() == StorePosition{ 2, 5 });
}
