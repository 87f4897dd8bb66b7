/// \file
/// Convergence of configuration and membership under injected faults: no node goes back to an
/// older version, and all nodes converge on the newest.
#include "FakeMesh.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace godwitlift;
using namespace godwitlift::test;

namespace {

/// Limit for a published version to be in force on all nodes.
constexpr absl::Duration PropagationBound = absl::Seconds(4);
/// Limit for all nodes to converge after the faults have been removed.
constexpr absl::Duration RecoveryBound = absl::Seconds(40);

const std::vector<std::string> Zones = { "caruaru", "recife", "campina", "fortaleza" };

const Published *findPublished(FakeMesh &mesh, OperatorRequestId request)
{
    const auto it = mesh.operatorResults.find(request);
    if (it == mesh.operatorResults.end())
        return nullptr;
    const auto *outcome = std::get_if<PublicationOutcome>(&it->second);
    return outcome == nullptr ? nullptr : std::get_if<Published>(outcome);
}

/// A mesh whose nodes all hold version 1.
std::unique_ptr<FakeMesh> makeConvergedMesh(std::uint64_t seed, int hostsPerZone = 4)
{
    auto mesh = std::make_unique<FakeMesh>(seed);
    mesh->addNodes(Zones, hostsPerZone);
    mesh->time.runFor(absl::Seconds(15));
    mesh->publish(HostId("host-0"), serviceDelta("stock"));
    mesh->time.runFor(PropagationBound);
    REQUIRE(mesh->allNodesHold(Version(1)));
    return mesh;
}

/// Removes all faults and checks that all nodes converge on \p version.
void checkRecovery(FakeMesh &mesh, Version version)
{
    mesh.clearFaults();
    mesh.time.runFor(RecoveryBound);
    CHECK(mesh.violations == std::vector<std::string>());
    CHECK(mesh.allNodesHold(version));
    CHECK(mesh.allAgreeOnHostRecords());
}

/// Version of the head row on the platform.
Version headVersion(FakeMesh &mesh)
{
    const PlatformAnswer answer = mesh.platform.table().fetch(FetchRow{ headKey() });
    return answer.rows.empty() ? Version() : headFromRow(answer.rows.front())->version;
}

} // namespace

TEST_CASE("A published version is in force on every node within the propagation bound")
{
    auto mesh = makeConvergedMesh(1, 8);
    const OperatorRequestId request = mesh->publish(HostId("host-5"), serviceDelta("stock", 7));
    mesh->time.runFor(PropagationBound);
    REQUIRE(findPublished(*mesh, request) != nullptr);
    CHECK(mesh->allNodesHold(Version(2)));
    CHECK(mesh->violations.empty());
}

TEST_CASE("Nodes converge although updates are reordered, duplicated, lost and delayed")
{
    auto mesh = makeConvergedMesh(2);
    mesh->faults = { 0.2, 0.3, 0.3 };
    for (int i = 1; i <= 20; ++i) {
        mesh->publish(HostId(absl::StrCat("host-", i % 16)), serviceDelta("stock", i));
        mesh->time.runFor(absl::Milliseconds(300));
    }
    checkRecovery(*mesh, headVersion(*mesh));
}

TEST_CASE(
        "Nodes recover after half of a zone or a whole zone is killed and restarts simultaneously")
{
    auto mesh = makeConvergedMesh(3, 8);
    const auto hosts = mesh->hostsInZone("recife");
    const std::size_t killCount = GENERATE(4, 8);
    for (std::size_t i = 0; i < killCount; ++i)
        mesh->kill(hosts[i]);
    mesh->time.runFor(absl::Seconds(3));
    mesh->publish(HostId("host-0"), serviceDelta("stock", 3));
    mesh->time.runFor(absl::Seconds(12));
    const std::uint64_t readsBefore = mesh->platform.readCount;
    for (std::size_t i = 0; i < killCount; ++i)
        mesh->restart(hosts[i]);
    mesh->time.runFor(absl::Seconds(1));
    CHECK(mesh->platform.readCount - readsBefore < 40);
    checkRecovery(*mesh, Version(2));
}

TEST_CASE("During a long outage of the platform every node keeps its version")
{
    auto mesh = makeConvergedMesh(4);
    mesh->platform.isDown = true;
    const OperatorRequestId request = mesh->publish(HostId("host-3"), serviceDelta("stock", 9));
    mesh->time.runFor(absl::Minutes(2));
    const auto *outcome = std::get_if<PublicationOutcome>(&mesh->operatorResults.at(request));
    REQUIRE(outcome != nullptr);
    REQUIRE(std::holds_alternative<PublishingFailed>(*outcome));
    CHECK_FALSE(std::get<PublishingFailed>(*outcome).mayBePublished);
    CHECK(mesh->allNodesHold(Version(1)));
    SECTION("a node that restarts during the outage gets the version from its peers")
    {
        mesh->restart(HostId("host-7"));
        mesh->time.runFor(absl::Seconds(10));
        CHECK(mesh->node(HostId("host-7")).plane->isReady());
        CHECK(mesh->allNodesHold(Version(1)));
    }
    checkRecovery(*mesh, Version(1));
}

TEST_CASE("Publishing succeeds while the platform is slow")
{
    auto mesh = makeConvergedMesh(5);
    mesh->platform.latency = absl::Milliseconds(1500);
    const OperatorRequestId request = mesh->publish(HostId("host-3"), serviceDelta("stock", 9));
    mesh->time.runFor(absl::Seconds(20));
    CHECK(findPublished(*mesh, request) != nullptr);
    checkRecovery(*mesh, Version(2));
}

TEST_CASE("A version is published once and reported as published if the answers to writes are lost")
{
    auto mesh = makeConvergedMesh(6);
    mesh->platform.answerLossProbability = 1;
    const OperatorRequestId request = mesh->publish(HostId("host-2"), serviceDelta("stock", 5));
    mesh->time.runFor(absl::Seconds(2));
    mesh->platform.answerLossProbability = 0;
    mesh->time.runFor(absl::Seconds(10));
    const Published *published = findPublished(*mesh, request);
    REQUIRE(published != nullptr);
    CHECK(published->record.version == Version(2));
    CHECK(headVersion(*mesh) == Version(2));
    checkRecovery(*mesh, Version(2));
}

TEST_CASE("Only one of two publications succeeds if one publisher is paused between its writes")
{
    auto mesh = makeConvergedMesh(7);
    const HostId paused("host-2");
    const OperatorRequestId pausedRequest = mesh->publish(paused, serviceDelta("stock", 5));
    mesh->time.runFor(absl::Milliseconds(12)); // Some writes are done, but not the head row.
    mesh->pause(paused);
    mesh->time.runFor(absl::Seconds(2));
    const OperatorRequestId otherRequest =
            mesh->publish(HostId("host-9"), serviceDelta("stock", 6));
    mesh->time.runFor(absl::Seconds(5));
    mesh->resume(paused);
    mesh->time.runFor(absl::Seconds(10));
    const int published = (findPublished(*mesh, pausedRequest) != nullptr ? 1 : 0)
                          + (findPublished(*mesh, otherRequest) != nullptr ? 1 : 0);
    CHECK(published == 1);
    checkRecovery(*mesh, Version(2));
}

TEST_CASE(
        "Of concurrent publications one succeeds, and the others fail with the author of that one")
{
    auto mesh = makeConvergedMesh(8);
    const int operatorCount = GENERATE(2, 3);
    std::vector<OperatorRequestId> requests;
    for (int i = 0; i < operatorCount; ++i)
        requests.push_back(mesh->publish(HostId(absl::StrCat("host-", 3 + i)),
                                         serviceDelta("stock", 10 + i),
                                         absl::StrCat("operator-", i)));
    mesh->time.runFor(absl::Seconds(10));
    int publishedCount = 0;
    for (const OperatorRequestId request : requests) {
        const auto &outcome = std::get<PublicationOutcome>(mesh->operatorResults.at(request));
        if (std::holds_alternative<Published>(outcome)) {
            ++publishedCount;
            continue;
        }
        REQUIRE(std::holds_alternative<Conflict>(outcome));
        CHECK(std::get<Conflict>(outcome).problem.find("changed by operator-")
              != std::string::npos);
    }
    CHECK(publishedCount == 1);
    checkRecovery(*mesh, Version(2));
}

TEST_CASE("Concurrent publications that change different objects both succeed")
{
    auto mesh = makeConvergedMesh(9);
    ConfigurationDelta orders = serviceDelta("orders");
    ConfigurationDelta proofs = serviceDelta("proofs");
    orders.puts.ranks.clear();
    proofs.puts.ranks.clear();
    const OperatorRequestId a = mesh->publish(HostId("host-1"), orders);
    const OperatorRequestId b = mesh->publish(HostId("host-6"), proofs);
    mesh->time.runFor(absl::Seconds(10));
    CHECK(findPublished(*mesh, a) != nullptr);
    CHECK(findPublished(*mesh, b) != nullptr);
    checkRecovery(*mesh, Version(3));
}

TEST_CASE("Nodes keep all host records during a partition and converge after it")
{
    auto mesh = makeConvergedMesh(10);
    // 0: partition between two zones; 1: partition of recife from all zones and the platform;
    // 2: the same with message loss.
    const int faultKind = GENERATE(0, 1, 2);
    if (faultKind == 0) {
        mesh->partition("caruaru", "recife");
    } else {
        for (const std::string &zone : Zones)
            mesh->partition("recife", zone == "recife" ? "platform" : zone);
    }
    if (faultKind == 2)
        mesh->faults.lossProbability = 0.1;
    const auto recordCount = mesh->node(HostId("host-1")).plane->directory().records().size();
    mesh->publish(HostId("host-0"), serviceDelta("stock", 4));
    mesh->time.runFor(absl::Seconds(30));
    // Neither side removes the host records of the other, although its hosts are unreachable.
    for (const HostId &host : mesh->hostsInZone("recife")) {
        const auto &plane = *mesh->node(host).plane;
        CHECK(plane.directory().records().size() == recordCount);
        CHECK(plane.directory().memberCount(ZoneId("caruaru")) == 4);
        CHECK(plane.directory().memberCount(ZoneId("recife")) == 4);
    }
    checkRecovery(*mesh, Version(2));
}

TEST_CASE("A zone partitioned only from the platform gets a new version within the propagation "
          "bound")
{
    auto mesh = makeConvergedMesh(11);
    mesh->partition("fortaleza", "platform");
    mesh->publish(HostId("host-0"), serviceDelta("stock", 4));
    mesh->time.runFor(PropagationBound);
    CHECK(mesh->allNodesHold(Version(2)));
    checkRecovery(*mesh, Version(2));
}

TEST_CASE("Connections that drop all messages are replaced")
{
    auto mesh = makeConvergedMesh(12, 8);
    const bool bothWays = GENERATE(false, true);
    for (const HostId &from : mesh->hosts()) {
        const HostId parent = mesh->node(from).plane->relayTreeNode().parent();
        if (parent.isEmpty())
            continue;
        mesh->dropMessages(from, parent);
        if (bothWays)
            mesh->dropMessages(parent, from);
    }
    mesh->time.runFor(absl::Seconds(5));
    mesh->publish(HostId("host-0"), serviceDelta("stock", 4));
    mesh->time.runFor(PropagationBound);
    CHECK(mesh->allNodesHold(Version(2)));
    checkRecovery(*mesh, Version(2));
}

TEST_CASE("Nodes of a restarting zone get a version that is published during the restart")
{
    auto mesh = makeConvergedMesh(13, 8);
    for (const HostId &host : mesh->hostsInZone("campina"))
        mesh->kill(host);
    mesh->time.runFor(absl::Seconds(8));
    for (const HostId &host : mesh->hostsInZone("campina"))
        mesh->restart(host);
    mesh->time.runFor(absl::Milliseconds(200));
    mesh->publish(HostId("host-0"), serviceDelta("stock", 4));
    mesh->time.runFor(absl::Seconds(10));
    CHECK(mesh->allNodesHold(Version(2)));
    checkRecovery(*mesh, Version(2));
}

TEST_CASE("An invalid version is refused and reported, and the next valid version is applied")
{
    auto mesh = makeConvergedMesh(14);
    const HostId host("host-6");
    const auto before = mesh->node(host).plane->configuration().current();
    const Peer peer{ HostId("host-0"), mesh->node(HostId("host-0")).identity.address };
    const std::string text =
            R"({"ranks":{},"services":{},"routes":{"r":{"path_prefix":"/r","service":"none","rank":"none"}}})";
    mesh->processInput(host, [&](ControlPlane &plane) {
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
    mesh->time.runFor(PropagationBound);
    CHECK(mesh->allNodesHold(Version(2)));
}

TEST_CASE("A drain is in force on every node within two seconds")
{
    auto mesh = makeConvergedMesh(15);
    const HostId host("host-5");
    mesh->announceBackendServer(host, "stock");
    mesh->time.runFor(absl::Seconds(2));
    for (const auto &[other, node] : mesh->nodes())
        CHECK(node.routingTable->targetCount() == 1);
    mesh->announceBackendServer(host, "stock", true);
    mesh->time.runFor(absl::Seconds(2));
    for (const auto &[other, node] : mesh->nodes())
        CHECK(node.routingTable->targetCount() == 0);
    // A delayed heartbeat of the same process does not undo the drain.
    mesh->announceBackendServer(host, "stock", false);
    mesh->time.runFor(absl::Seconds(1));
    for (const auto &[other, node] : mesh->nodes())
        CHECK(node.routingTable->targetCount() == 0);
    CHECK(mesh->violations.empty());
}

// Guards against a drain that is forgotten when the node alone restarts.
TEST_CASE("A drain survives a restart of the node beside the backend server")
{
    auto mesh = makeConvergedMesh(15);
    const HostId host("host-5");
    mesh->announceBackendServer(host, "stock");
    mesh->time.runFor(absl::Seconds(1));
    mesh->announceBackendServer(host, "stock", true);
    mesh->time.runFor(absl::Seconds(2));
    mesh->kill(host);
    mesh->time.runFor(absl::Seconds(1));
    mesh->restart(host);
    mesh->time.runFor(absl::Seconds(1));
    // A delayed heartbeat of the drained process.
    mesh->announceBackendServer(host, "stock", false);
    mesh->time.runFor(absl::Seconds(1));
    for (const auto &[other, node] : mesh->nodes())
        CHECK(node.routingTable->targetCount() == 0);
}

TEST_CASE("Nodes of all zones remove a dead host from the membership")
{
    auto mesh = makeConvergedMesh(16, 8);
    const HostId killed("host-9");
    mesh->kill(killed);
    mesh->time.runFor(absl::Seconds(20));
    for (const auto &[host, node] : mesh->nodes()) {
        if (node.plane != nullptr)
            CHECK_FALSE(node.plane->directory().find(killed)->isMember());
    }
    checkRecovery(*mesh, Version(1));
}

TEST_CASE(
        "A host that was paused for three seconds refutes any suspicion and is alive on every node")
{
    auto mesh = makeConvergedMesh(17, 8);
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
    checkRecovery(*mesh, Version(1));
}

TEST_CASE("A node that loses all links is isolated and keeps most members of its zone")
{
    auto mesh = makeConvergedMesh(18, 8);
    const HostId isolated("host-8");
    for (const HostId &other : mesh->hosts()) {
        if (other != isolated) {
            mesh->dropMessages(isolated, other);
            mesh->dropMessages(other, isolated);
        }
    }
    // Replaced connections drop messages as well, since the fault is the link of this host.
    for (int i = 0; i < 100; ++i) {
        mesh->time.runFor(absl::Milliseconds(200));
        for (const HostId &other : mesh->hosts()) {
            if (other != isolated) {
                mesh->dropMessages(isolated, other);
                mesh->dropMessages(other, isolated);
            }
        }
    }
    CHECK(mesh->node(isolated).plane->isIsolated());
    CHECK(mesh->node(isolated).plane->directory().memberCount(ZoneId("caruaru")) > 4);
    checkRecovery(*mesh, Version(1));
}

TEST_CASE("A starting node becomes ready only with the version that its peers hold")
{
    auto mesh = makeConvergedMesh(19);
    for (int i = 0; i < 3; ++i) {
        mesh->publish(HostId("host-0"), serviceDelta("stock", 20 + i));
        mesh->time.runFor(PropagationBound);
    }
    mesh->platform.isDown = true;
    const HostId restarted("host-11");
    mesh->restart(restarted);
    for (int i = 0; i < 200; ++i) {
        mesh->time.runFor(absl::Milliseconds(50));
        const ControlPlane &plane = *mesh->node(restarted).plane;
        if (plane.isReady())
            REQUIRE(plane.configuration().version() == Version(4));
    }
    CHECK(mesh->node(restarted).plane->isReady());
}
