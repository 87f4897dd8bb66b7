/// \file
/// When a drain may be acknowledged, and when a restarted node knows the drains of its host.
#include "godwitlift/traffic/DrainReplication.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

namespace {

const DrainRecord First = { BackendServerId("a"), 10 };
const DrainRecord Later = { BackendServerId("a"), 20 };

} // namespace

TEST_CASE("a drain has a copy once the store or two different peers have confirmed it")
{
    DrainReplication replication;
    CHECK(replication.copyOf(First) == DrainCopy::None);
    SECTION("store")
    {
        replication.onStoreConfirmed(First);
        CHECK(replication.copyOf(First) == DrainCopy::Store);
    }
    SECTION("peers")
    {
        replication.onPeerConfirmed(HostId("p"), First);
        replication.onPeerConfirmed(HostId("p"), First);
        CHECK(replication.copyOf(First) == DrainCopy::None);
        replication.onPeerConfirmed(HostId("q"), First);
        CHECK(replication.copyOf(First) == DrainCopy::Peers);
    }
}

TEST_CASE("the copy of a drain is none of a later drain of the same id")
{
    DrainReplication replication;
    replication.onStoreConfirmed(First);
    CHECK(replication.copyOf(Later) == DrainCopy::None);
    replication.onStoreConfirmed(Later);
    CHECK(replication.copyOf(First) == DrainCopy::Store);
}

TEST_CASE("records that the store lacks are written again")
{
    DrainRecords records;
    records.add(First);
    records.add({ BackendServerId("b"), 5 });
    DrainReplication replication;
    replication.onStoreConfirmed({ BackendServerId("b"), 5 });
    CHECK(replication.missingInStore(records) == std::vector<DrainRecord>{ First });
    replication.onStoreConfirmed(First);
    CHECK(replication.missingInStore(records).empty());
}

TEST_CASE("a restarted node knows the drains of its host from the store or from two peers")
{
    DrainReplication replication;
    CHECK_FALSE(replication.isRecallComplete());
    SECTION("store")
    {
        replication.onStoreRead();
        CHECK(replication.isRecallComplete());
    }
    SECTION("peers")
    {
        replication.onPeerRecalled(HostId("p"));
        replication.onPeerRecalled(HostId("p"));
        CHECK_FALSE(replication.isRecallComplete());
        replication.onPeerRecalled(HostId("q"));
        CHECK(replication.isRecallComplete());
    }
}
