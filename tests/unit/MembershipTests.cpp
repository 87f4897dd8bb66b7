/// \file
/// Host directory, relay topology, local backend servers, backoff and token bucket.
#include "godwitlift/distribution/Backoff.h"
#include "godwitlift/distribution/RelayTopology.h"
#include "godwitlift/distribution/TokenBucket.h"
#include "godwitlift/membership/HostDirectory.h"
#include "godwitlift/membership/LocalBackendServers.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace godwitlift;

namespace {

const absl::Time Now = absl::FromUnixSeconds(1'000'000);

HostRecord recordOf(int number, std::uint64_t sequence = 1, Liveness liveness = Liveness::Alive)
{
    HostRecord record;
    record.host = HostId(absl::StrCat("h", number));
    record.zone = ZoneId("z");
    record.address = Address("10.0.0.1:1");
    record.stamp = { Incarnation(1), Sequence(sequence), liveness };
    return record;
}

HostDirectory directoryOf(int count)
{
    HostDirectory directory;
    for (int i = 0; i < count; ++i)
        directory.merge(recordOf(i), Now);
    return directory;
}

} // namespace

TEST_CASE("Records merge to the same state in any order")
{
    const bool holds = rc::check("merge order", [](const std::vector<unsigned char> &choices) {
        std::vector<HostRecord> records;
        for (const unsigned char choice : choices)
            records.push_back(
                    recordOf(choice % 3, choice / 3 % 5, static_cast<Liveness>(choice / 15 % 3)));
        HostDirectory forward;
        HostDirectory backward;
        for (const HostRecord &record : records)
            forward.merge(record, Now);
        for (auto it = records.rbegin(); it != records.rend(); ++it)
            backward.merge(*it, Now);
        RC_ASSERT(forward.digest() == backward.digest());
        RC_ASSERT(forward.memberCount(ZoneId("z")) == backward.memberCount(ZoneId("z")));
        RC_ASSERT(forward.memberCount(ZoneId("z")) == forward.members(ZoneId("z")).size());
    });
    CHECK(holds);
}

TEST_CASE("A delayed message does not revive a dead host")
{
    HostDirectory directory = directoryOf(2);
    directory.merge(recordOf(1, 1, Liveness::Dead), Now);
    CHECK_FALSE(directory.merge(recordOf(1, 1), Now + absl::Hours(23)));
    directory.removeExpiredTombstones(Now + absl::Hours(23));
    CHECK(directory.find(HostId("h1")) != nullptr);
    directory.removeExpiredTombstones(Now + absl::Hours(24));
    CHECK(directory.find(HostId("h1")) == nullptr);
    CHECK(directory.merge(recordOf(0, 2), Now));
}

TEST_CASE("Comparing stamps finds the records that either side lacks")
{
    HostDirectory local = directoryOf(3);
    HostDirectory remote = directoryOf(4);
    local.merge(recordOf(1, 2), Now);
    const StampComparison comparison = local.compare(ZoneId("z"), remote.stamps(ZoneId("z")));
    REQUIRE(comparison.newerLocalRecords.size() == 1);
    CHECK(comparison.newerLocalRecords[0].host == HostId("h1"));
    CHECK(comparison.hasNewerRemote);
}

TEST_CASE(
        "If a relay is unreachable, only its followers and those of its replacement are reassigned")
{
    HostDirectory directory = directoryOf(100);
    const RelayTopology before(directory, ZoneId("z"), {});
    CHECK(before.roots().size() == 2);
    CHECK(before.relays().size() == 10);
    const HostId unreachableRelay = before.relays()[5];
    const RelayTopology after(directory, ZoneId("z"), { unreachableRelay });
    int reassigned = 0;
    for (const auto &entry : directory.records()) {
        const HostId &host = entry.first;
        if (before.level(host) != RelayLevel::Leaf || after.level(host) != RelayLevel::Leaf)
            continue;
        const bool followedUnreachable = before.parent(host) == unreachableRelay;
        // The host with the eleventh highest score replaces the relay and gets followers of its
        // own.
        const bool followsNewRelay = after.parent(host) == after.relays().back();
        if (after.parent(host) != before.parent(host)) {
            ++reassigned;
            CHECK((followedUnreachable || followsNewRelay));
        }
    }
    CHECK(reassigned > 0);
}

TEST_CASE("Heartbeats do not undo a drain, and a server whose heartbeats stop is removed")
{
    LocalBackendServers servers;
    Announcement announcement{ BackendServerId("b"), ServiceId("s"), Address("127.0.0.1:1"), 20,
                               false };
    CHECK(servers.announce(announcement, Now));
    CHECK_FALSE(servers.announce(announcement, Now + absl::Seconds(1)));
    CHECK(servers.drain(BackendServerId("b"), Now + absl::Seconds(1)));
    CHECK_FALSE(servers.announce(announcement, Now + absl::Seconds(2)));
    CHECK(servers.list()[0].state == BackendServerState::Draining);
    CHECK_FALSE(servers.expire(Now + absl::Seconds(4)));
    CHECK(servers.expire(Now + absl::Seconds(5)));
    CHECK(servers.announce(announcement, Now + absl::Seconds(6)));
    CHECK(servers.list()[0].state == BackendServerState::Ready);
}

// Guards against a drain that is acknowledged and forgotten, because the node has just restarted
// and does not know the backend server yet.
TEST_CASE("A drain of a backend server that has not announced itself yet holds")
{
    LocalBackendServers servers;
    const Announcement announcement{ BackendServerId("b"), ServiceId("s"), Address("127.0.0.1:1"),
                                     20, false };
    servers.drain(BackendServerId("b"), Now);
    SECTION("its next heartbeats do not undo it")
    {
        servers.expire(Now + absl::Seconds(1));
        CHECK(servers.announce(announcement, Now + absl::Seconds(1)));
        CHECK(servers.list()[0].state == BackendServerState::Draining);
        CHECK_FALSE(servers.announce(announcement, Now + absl::Seconds(2)));
        CHECK(servers.list()[0].state == BackendServerState::Draining);
    }
    SECTION("after a gap of the heartbeats it is of an earlier process")
    {
        CHECK(servers.announce(announcement, Now + LocalBackendServers::HeartbeatTimeout));
        CHECK(servers.list()[0].state == BackendServerState::Ready);
    }
}

TEST_CASE("Backoff delays are spread over a doubling range up to the ceiling")
{
    SeededRandom random(3);
    Backoff backoff(absl::Seconds(1), absl::Seconds(8));
    absl::Duration longest;
    for (int i = 0; i < 200; ++i)
        longest = std::max(longest, backoff.delayAfterFailure(random));
    CHECK(longest <= absl::Seconds(8));
    CHECK(longest > absl::Seconds(6));
    backoff.reset();
    CHECK(backoff.delayAfterFailure(random) <= absl::Seconds(1));
}

TEST_CASE("A token bucket admits its burst and then its rate")
{
    TokenBucket bucket(10, 5);
    int admitted = 0;
    for (int i = 0; i < 100; ++i)
        admitted += bucket.tryConsume(Now + absl::Milliseconds(10 * i)) ? 1 : 0;
    CHECK(admitted >= 14);
    CHECK(admitted <= 15);
    CHECK(bucket.timeUntilAvailable(5) > absl::ZeroDuration());
}
