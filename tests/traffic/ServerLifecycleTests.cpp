/// \file
/// Announcements of a backend server that come late, twice, or from an earlier process.
#include "godwitlift/traffic/ServerLifecycle.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

namespace {

const absl::Time Start = absl::UnixEpoch() + absl::Hours(1);

ServerAnnouncement announcement(const char *id, std::int64_t started, std::uint64_t sequence,
                                bool isDraining = false)
{
    ServerAnnouncement result;
    result.id = BackendServerId(id);
    result.startedUnixMs = started;
    result.sequence = Sequence(sequence);
    result.slots = 18;
    result.isDraining = isDraining;
    return result;
}

} // namespace

TEST_CASE("a late announcement does not reopen a draining backend server")
{
    ServerLifecycle lifecycle;
    CHECK(lifecycle.announced(announcement("a", 10, 4), Start) == LifecycleChange::Started);
    CHECK(lifecycle.announced(announcement("a", 10, 6, true), Start) == LifecycleChange::Draining);
    CHECK(lifecycle.announced(announcement("a", 10, 5), Start) == LifecycleChange::Stale);
    CHECK(lifecycle.state() == ServerState::Draining);
    lifecycle.announced(announcement("a", 10, 7), Start);
    CHECK(lifecycle.state() == ServerState::Draining);
}

TEST_CASE("an earlier process never replaces a later one")
{
    ServerLifecycle lifecycle;
    lifecycle.announced(announcement("old", 10, 90), Start);
    CHECK(lifecycle.announced(announcement("new", 20, 1), Start) == LifecycleChange::Started);
    CHECK(lifecycle.announced(announcement("old", 10, 91), Start) == LifecycleChange::Stale);
    CHECK(lifecycle.id() == BackendServerId("new"));
}

TEST_CASE("a process under the same id starts afresh")
{
    ServerLifecycle lifecycle;
    lifecycle.announced(announcement("a", 10, 90, true), Start);
    CHECK(lifecycle.announced(announcement("a", 20, 1), Start) == LifecycleChange::Started);
    CHECK(lifecycle.state() == ServerState::Ready);
}

TEST_CASE("a recalled drain outlives a restart of the node")
{
    ServerLifecycle lifecycle;
    lifecycle.recallDrained(BackendServerId("a"), 10);
    lifecycle.announced(announcement("a", 10, 7), Start);
    CHECK(lifecycle.state() == ServerState::Draining);
    SECTION("but not a new process under the same id")
    {
        lifecycle.announced(announcement("a", 20, 1), Start);
        CHECK(lifecycle.state() == ServerState::Ready);
    }
}

TEST_CASE("a drain that is recalled late closes an open gate")
{
    ServerLifecycle lifecycle;
    lifecycle.announced(announcement("a", 10, 7), Start);
    lifecycle.recallDrained(BackendServerId("b"), 10);
    CHECK(lifecycle.state() == ServerState::Ready);
    lifecycle.recallDrained(BackendServerId("a"), 10);
    CHECK(lifecycle.state() == ServerState::Draining);
}

TEST_CASE("a lost backend server is back with its next announcement")
{
    ServerLifecycle lifecycle;
    lifecycle.announced(announcement("a", 10, 1), Start);
    CHECK(lifecycle.lost() == LifecycleChange::Gone);
    CHECK(lifecycle.lost() == LifecycleChange::None);
    CHECK(lifecycle.announced(announcement("a", 10, 2), Start) == LifecycleChange::Started);
    CHECK(lifecycle.state() == ServerState::Ready);
}

TEST_CASE("deregistration of an earlier process leaves the present one alone")
{
    ServerLifecycle lifecycle;
    lifecycle.announced(announcement("new", 20, 1), Start);
    CHECK(lifecycle.deregistered(BackendServerId("old")) == LifecycleChange::Stale);
    CHECK(lifecycle.state() == ServerState::Ready);
    CHECK(lifecycle.deregistered(BackendServerId("new")) == LifecycleChange::Draining);
    CHECK(lifecycle.state() == ServerState::Draining);
}
