/// \file
/// Configuration through everything that fails: versions never fall, and all nodes end at the
/// newest.
#include "FakeMesh.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace godwitlift;
using namespace godwitlift::test;

namespace {

/// Bound for an accepted version to be in force everywhere.
constexpr absl::Duration InForceBound = absl::Seconds(4);
/// Bound for nodes to find each other again after faults have ended.
constexpr absl::Duration RecoveryBound = absl::Seconds(40);

const std::vector<std::string> Zones = { "caruaru", "recife", "campina", "fortaleza" };

const Published *publishedOf(FakeMesh &mesh, OperatorRequestId request)
{
    const auto it = mesh.replies.find(request);
    if (it == mesh.replies.end())
        return nullptr;
    const auto *end = std::get_if<PublicationOutcome>(&it->second);
    return end == nullptr ? nullptr : std::get_if<Published>(end);
}

/// A settled mesh that holds version 1.
std::unique_ptr<FakeMesh> settledMesh(std::uint64_t seed, int hostsPerZone = 4)
{
    auto mesh = std::make_unique<FakeMesh>(seed);
    mesh->addZones(Zones, hostsPerZone);
    mesh->time.runFor(absl::Seconds(15));
    mesh->publish(HostId("host-0"), serviceDelta("stock"));
    mesh->time.runFor(InForceBound);
    REQUIRE(mesh->allHold(Version(1)));
    return mesh;
}

void requireRecovered(FakeMesh &mesh, Version version)
{
    mesh.heal();
    mesh.time.runFor(RecoveryBound);
    CHECK(mesh.violations == std::vector<std::string>());
    CHECK(mesh.allHold(version));
    CHECK(mesh.allAgreeOnPresence());
}

Version headOf(FakeMesh &mesh)
{
    const PlatformAnswer answer = mesh.platform.table().fetch(FetchRow{ headKey() });
    return answer.rows.empty() ? Version() : headFromRow(answer.rows.front())->version;
}

} // namespace

TEST_CASE("An accepted version is in force on every node within the bound")
{
    auto mesh = settledMesh(1, 8);
    const OperatorRequestId request = mesh->publish(HostId("host-5"), serviceDelta("stock", 7));
    mesh->time.runFor(InForceBound);
    REQUIRE(publishedOf(*mesh, request) != nullptr);
    CHECK(mesh->allHold(Version(2)));
    CHECK(mesh->violations.empty());
}

TEST_CASE("Crossed, doubled, lost and late updates end in the same state")
{
    auto mesh = settledMesh(2);
    mesh->faults = { 0.2, 0.3, 0.3 };
    for (int i = 1; i <= 20; ++i) {
        mesh->publish(HostId(absl::StrCat("host-", i % 16)), serviceDelta("stock", i));
        mesh->time.runFor(absl::Milliseconds(300));
    }
    requireRecovered(*mesh, headOf(*mesh));
}

TEST_CASE("Half of a zone and a whole zone die and return at once")
{
    auto mesh = settledMesh(3, 8);
    const auto hosts = mesh->hostsOf("recife");
    const std::size_t dying = GENERATE(4, 8);
    for (std::size_t i = 0; i < dying; ++i)
        mesh->kill(hosts[i]);
    mesh->time.runFor(absl::Seconds(3));
    mesh->publish(HostId("host-0"), serviceDelta("stock", 3));
    mesh->time.runFor(absl::Seconds(12));
    const std::uint64_t readsBefore = mesh->platform.reads;
    for (std::size_t i = 0; i < dying; ++i)
        mesh->restart(hosts[i]);
    mesh->time.runFor(absl::Seconds(1));
    CHECK(mesh->platform.reads - readsBefore < 40);
    requireRecovered(*mesh, Version(2));
}

TEST_CASE("The platform is down for long: the held version stays, nothing falls back")
{
    auto mesh = settledMesh(4);
    mesh->platform.isDown = true;
    const OperatorRequestId request = mesh->publish(HostId("host-3"), serviceDelta("stock", 9));
    mesh->time.runFor(absl::Minutes(2));
    const auto *end = std::get_if<PublicationOutcome>(&mesh->replies.at(request));
    REQUIRE(end != nullptr);
    REQUIRE(std::holds_alternative<PublishingFailed>(*end));
    CHECK_FALSE(std::get<PublishingFailed>(*end).mayBePublished);
    CHECK(mesh->allHold(Version(1)));
    SECTION("a node that starts meanwhile gets the version from its peers")
    {
        mesh->restart(HostId("host-7"));
        mesh->time.runFor(absl::Seconds(10));
        CHECK(mesh->node(HostId("host-7")).plane->isReady());
        CHECK(mesh->allHold(Version(1)));
    }
    requireRecovered(*mesh, Version(1));
}

TEST_CASE("The platform is slow: publishing takes longer and polls do not pile up")
{
    auto mesh = settledMesh(5);
    mesh->platform.delay = absl::Milliseconds(1500);
    const OperatorRequestId request = mesh->publish(HostId("host-3"), serviceDelta("stock", 9));
    mesh->time.runFor(absl::Seconds(20));
    CHECK(publishedOf(*mesh, request) != nullptr);
    requireRecovered(*mesh, Version(2));
}

TEST_CASE("An answer is lost after the write took effect: published once, and reported so")
{
    auto mesh = settledMesh(6);
    mesh->platform.loseAnswers = 1;
    const OperatorRequestId request = mesh->publish(HostId("host-2"), serviceDelta("stock", 5));
    mesh->time.runFor(absl::Seconds(2));
    mesh->platform.loseAnswers = 0;
    mesh->time.runFor(absl::Seconds(10));
    const Published *published = publishedOf(*mesh, request);
    REQUIRE(published != nullptr);
    CHECK(published->record.version == Version(2));
    CHECK(headOf(*mesh) == Version(2));
    requireRecovered(*mesh, Version(2));
}

TEST_CASE("A publisher paused in the middle does no harm when it goes on")
{
    auto mesh = settledMesh(7);
    const HostId paused("host-2");
    const OperatorRequestId late = mesh->publish(paused, serviceDelta("stock", 5));
    mesh->time.runFor(absl::Milliseconds(12)); // Some steps are done, the head has not moved.
    mesh->pause(paused);
    mesh->time.runFor(absl::Seconds(2));
    const OperatorRequestId other = mesh->publish(HostId("host-9"), serviceDelta("stock", 6));
    mesh->time.runFor(absl::Seconds(5));
    mesh->resume(paused);
    mesh->time.runFor(absl::Seconds(10));
    const int published = (publishedOf(*mesh, late) != nullptr ? 1 : 0)
                          + (publishedOf(*mesh, other) != nullptr ? 1 : 0);
    CHECK(published == 1);
    requireRecovered(*mesh, Version(2));
}

TEST_CASE("Operators race each other: one wins, the others hear of it by name")
{
    auto mesh = settledMesh(8);
    const int racers = GENERATE(2, 3);
    std::vector<OperatorRequestId> requests;
    for (int i = 0; i < racers; ++i)
        requests.push_back(mesh->publish(HostId(absl::StrCat("host-", 3 + i)),
                                         serviceDelta("stock", 10 + i),
                                         absl::StrCat("operator-", i)));
    mesh->time.runFor(absl::Seconds(10));
    int won = 0;
    for (const OperatorRequestId request : requests) {
        const auto &end = std::get<PublicationOutcome>(mesh->replies.at(request));
        if (std::holds_alternative<Published>(end)) {
            ++won;
            continue;
        }
        REQUIRE(std::holds_alternative<Conflict>(end));
        CHECK(std::get<Conflict>(end).problem.find("changed by operator-") != std::string::npos);
    }
    CHECK(won == 1);
    requireRecovered(*mesh, Version(2));
}

TEST_CASE("Racing plans that touch disjoint objects are both published")
{
    auto mesh = settledMesh(9);
    ConfigurationDelta orders = serviceDelta("orders");
    ConfigurationDelta proofs = serviceDelta("proofs");
    orders.puts.ranks.clear();
    proofs.puts.ranks.clear();
    const OperatorRequestId a = mesh->publish(HostId("host-1"), orders);
    const OperatorRequestId b = mesh->publish(HostId("host-6"), proofs);
    mesh->time.runFor(absl::Seconds(10));
    CHECK(publishedOf(*mesh, a) != nullptr);
    CHECK(publishedOf(*mesh, b) != nullptr);
    requireRecovered(*mesh, Version(3));
}

TEST_CASE("A zone is cut off from another, from all and from the platform")
{
    auto mesh = settledMesh(10);
    const int kind = GENERATE(0, 1, 2);
    if (kind == 0) {
        mesh->cut("caruaru", "recife");
    } else {
        for (const std::string &zone : Zones)
            mesh->cut("recife", zone == "recife" ? "platform" : zone);
    }
    if (kind == 2)
        mesh->faults.loss = 0.1;
    const auto presence = mesh->node(HostId("host-1")).plane->directory().records().size();
    mesh->publish(HostId("host-0"), serviceDelta("stock", 4));
    mesh->time.runFor(absl::Seconds(30));
    // Nothing that one side knows is forgotten because the other cannot be reached.
    for (const HostId &host : mesh->hostsOf("recife")) {
        const auto &plane = *mesh->node(host).plane;
        CHECK(plane.directory().records().size() == presence);
        CHECK(plane.directory().memberCount(ZoneId("caruaru")) == 4);
        CHECK(plane.directory().memberCount(ZoneId("recife")) == 4);
    }
    requireRecovered(*mesh, Version(2));
}

TEST_CASE("A zone cut off from the platform alone still gets the version within the bound")
{
    auto mesh = settledMesh(11);
    mesh->cut("fortaleza", "platform");
    mesh->publish(HostId("host-0"), serviceDelta("stock", 4));
    mesh->time.runFor(InForceBound);
    CHECK(mesh->allHold(Version(2)));
    requireRecovered(*mesh, Version(2));
}

TEST_CASE("Connections silent for good are replaced")
{
    auto mesh = settledMesh(12, 8);
    const bool bothWays = GENERATE(false, true);
    for (const HostId &from : mesh->hosts()) {
        const HostId parent = mesh->node(from).plane->tree().parent();
        if (parent.isEmpty())
            continue;
        mesh->silence(from, parent);
        if (bothWays)
            mesh->silence(parent, from);
    }
    mesh->time.runFor(absl::Seconds(5));
    mesh->publish(HostId("host-0"), serviceDelta("stock", 4));
    mesh->time.runFor(InForceBound);
    CHECK(mesh->allHold(Version(2)));
    requireRecovered(*mesh, Version(2));
}

TEST_CASE("A version published while a herd returns reaches the herd")
{
    auto mesh = settledMesh(13, 8);
    for (const HostId &host : mesh->hostsOf("campina"))
        mesh->kill(host);
    mesh->time.runFor(absl::Seconds(8));
    for (const HostId &host : mesh->hostsOf("campina"))
        mesh->restart(host);
    mesh->time.runFor(absl::Milliseconds(200));
    mesh->publish(HostId("host-0"), serviceDelta("stock", 4));
    mesh->time.runFor(absl::Seconds(10));
    CHECK(mesh->allHold(Version(2)));
    requireRecovered(*mesh, Version(2));
}

TEST_CASE("A bad version is refused whole and reported; the next good one is taken")
{
    auto mesh = settledMesh(14);
    const HostId host("host-6");
    const auto before = mesh->node(host).plane->configuration().current();
    const Peer peer{ HostId("host-0"), mesh->node(HostId("host-0")).identity.address };
    const std::string text =
            R"({"ranks":{},"services":{},"routes":{"r":{"path_prefix":"/r","service":"none","rank":"none"}}})";
    mesh->feed(host, [&](ControlPlane &plane) {
        return plane.receive(peer, SnapshotOffer{ { Version(9), Digest("x"), text } },
                             mesh->time.now());
    });
    CHECK(mesh->node(host).plane->configuration().current() == before);
    REQUIRE(mesh->node(host).plane->configuration().latestRefusal());
    CHECK(mesh->node(host).plane->configuration().latestRefusal()->problem.find("no service none")
          != std::string::npos);
    mesh->time.runFor(absl::Seconds(5));
    const auto report = FleetReports::aggregateSubtree(
            ZoneId("z"), { host, Version(1), Version(9), "problem" }, {}, mesh->time.now());
    CHECK(report.refusalCount == 1);
    mesh->publish(HostId("host-0"), serviceDelta("stock", 4));
    mesh->time.runFor(InForceBound);
    CHECK(mesh->allHold(Version(2)));
}

TEST_CASE("A drain is in force everywhere within two seconds")
{
    auto mesh = settledMesh(15);
    const HostId host("host-5");
    mesh->announce(host, "stock");
    mesh->time.runFor(absl::Seconds(2));
    for (const auto &[other, node] : mesh->nodes())
        CHECK(node.table->targetCount() == 1);
    mesh->announce(host, "stock", true);
    mesh->time.runFor(absl::Seconds(2));
    for (const auto &[other, node] : mesh->nodes())
        CHECK(node.table->targetCount() == 0);
    // A late heartbeat of the same process does not undo the drain.
    mesh->announce(host, "stock", false);
    mesh->time.runFor(absl::Seconds(1));
    for (const auto &[other, node] : mesh->nodes())
        CHECK(node.table->targetCount() == 0);
    CHECK(mesh->violations.empty());
}

TEST_CASE("A dead host leaves the tables of its zone and of the others")
{
    auto mesh = settledMesh(16, 8);
    const HostId dead("host-9");
    mesh->kill(dead);
    mesh->time.runFor(absl::Seconds(20));
    for (const auto &[host, node] : mesh->nodes()) {
        if (node.plane != nullptr)
            CHECK_FALSE(node.plane->directory().find(dead)->isMember());
    }
    requireRecovered(*mesh, Version(1));
}

TEST_CASE("A paused host is suspected, and refutes it when it goes on")
{
    auto mesh = settledMesh(17, 8);
    const HostId paused("host-10");
    mesh->pause(paused);
    mesh->time.runFor(absl::Seconds(3));
    mesh->resume(paused);
    mesh->time.runFor(absl::Seconds(6));
    for (const auto &[host, node] : mesh->nodes()) {
        const HostRecord *record = node.plane->directory().find(paused);
        CHECK(record->isMember());
        CHECK(record->stamp.liveness == Liveness::Alive);
    }
    requireRecovered(*mesh, Version(1));
}

TEST_CASE("A node whose links are lost doubts itself and declares nobody dead")
{
    auto mesh = settledMesh(18, 8);
    const HostId lonely("host-8");
    for (const HostId &other : mesh->hosts()) {
        if (other != lonely) {
            mesh->silence(lonely, other);
            mesh->silence(other, lonely);
        }
    }
    // Replaced connections stay silent too: the fault is the host's own link.
    for (int i = 0; i < 100; ++i) {
        mesh->time.runFor(absl::Milliseconds(200));
        for (const HostId &other : mesh->hosts()) {
            if (other != lonely) {
                mesh->silence(lonely, other);
                mesh->silence(other, lonely);
            }
        }
    }
    CHECK(mesh->node(lonely).plane->isIsolated());
    CHECK(mesh->node(lonely).plane->directory().memberCount(ZoneId("caruaru")) > 4);
    requireRecovered(*mesh, Version(1));
}

TEST_CASE("A node that starts does not serve an older version than its peers hold")
{
    auto mesh = settledMesh(19);
    for (int i = 0; i < 3; ++i) {
        mesh->publish(HostId("host-0"), serviceDelta("stock", 20 + i));
        mesh->time.runFor(InForceBound);
    }
    mesh->platform.isDown = true;
    const HostId fresh("host-11");
    mesh->restart(fresh);
    for (int i = 0; i < 200; ++i) {
        mesh->time.runFor(absl::Milliseconds(50));
        const ControlPlane &plane = *mesh->node(fresh).plane;
        if (plane.isReady())
            REQUIRE(plane.configuration().version() == Version(4));
    }
    CHECK(mesh->node(fresh).plane->isReady());
}
