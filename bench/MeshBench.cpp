/// \file
/// Simulates the control planes of one fleet in virtual time: message rates by kind, convergence of
/// a change, and the thundering herd when all hosts of a zone restart at once. Prints one line per
/// case; the same seed gives the same lines.
#include "FakeMesh.h"

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <iostream>

namespace {

using namespace godwitlift;
using namespace godwitlift::test;

constexpr absl::Duration JoinTime = absl::Seconds(20);
constexpr absl::Duration IdleTime = absl::Seconds(20);
constexpr absl::Duration ConvergenceBound = absl::Seconds(4);
constexpr absl::Duration RestartObservationTime = absl::Seconds(30);

/// Size and fan-out of the fleet, and the seed of the random choices.
struct Fleet
{
    int zoneCount = 3;
    int hostsPerZone = 50;
    bool isFlat = false;
    std::uint64_t seed = 1;
};

std::string fleetLabel(const Fleet &fleet)
{
    return absl::StrFormat("zones=%d hosts_per_zone=%d fan_out=%s seed=%d", fleet.zoneCount,
                           fleet.hostsPerZone, fleet.isFlat ? "flat" : "tree", fleet.seed);
}

void measureIdleTraffic(FakeMesh &mesh, const Fleet &fleet)
{
    mesh.messageCountByKind.clear();
    const std::uint64_t readsBefore = mesh.platform.readCount;
    mesh.time.runFor(IdleTime);
    const double seconds = absl::ToDoubleSeconds(IdleTime);
    std::cout << "case=idle " << fleetLabel(fleet);
    for (const auto &[kind, count] : mesh.messageCountByKind)
        std::cout << absl::StrFormat(" %s=%.3f", kind,
                                     static_cast<double>(count) / seconds
                                             / static_cast<double>(mesh.nodes().size()));
    std::cout << absl::StrFormat(" platform_reads_per_s=%.2f\n",
                                 static_cast<double>(mesh.platform.readCount - readsBefore)
                                         / seconds);
}

void measureConvergence(FakeMesh &mesh, const Fleet &fleet)
{
    mesh.messageCountByKind.clear();
    const Version newVersion = mesh.node(HostId("host-0")).highestVersion.next();
    const absl::Time startTime = mesh.time.now();
    mesh.publish(HostId("host-7"), serviceDelta("stock", 7));
    mesh.time.runFor(ConvergenceBound);
    std::vector<double> milliseconds;
    std::size_t missingCount = 0;
    for (const auto &entry : mesh.nodes()) {
        if (entry.second.highestVersion == newVersion)
            milliseconds.push_back(
                    absl::ToDoubleMilliseconds(entry.second.versionAppliedAt - startTime));
        else
            ++missingCount;
    }
    std::sort(milliseconds.begin(), milliseconds.end());
    std::cout << absl::StrFormat(
            "case=converge %s median_ms=%.1f worst_ms=%.1f missing=%d steps_offers_per_node=%.2f\n",
            fleetLabel(fleet), milliseconds[milliseconds.size() / 2], milliseconds.back(),
            missingCount,
            static_cast<double>(mesh.messageCountByKind["steps-offer"])
                    / static_cast<double>(mesh.nodes().size()));
}

void measureZoneRestart(FakeMesh &mesh, const Fleet &fleet)
{
    const Version versionBefore = mesh.node(HostId("host-1")).highestVersion;
    const auto hosts = mesh.hostsInZone("zone-0");
    for (const HostId &host : hosts)
        mesh.kill(host);
    mesh.time.runFor(absl::Seconds(10));
    mesh.messageCountByKind.clear();
    const std::uint64_t readsBefore = mesh.platform.readCount;
    const absl::Time startTime = mesh.time.now();
    for (const HostId &host : hosts)
        mesh.restart(host);
    std::uint64_t peakReadsPerSecond = 0;
    absl::Time lastAppliedAt = startTime;
    while (mesh.time.now() - startTime < RestartObservationTime) {
        const std::uint64_t readsBeforeSecond = mesh.platform.readCount;
        mesh.time.runFor(absl::Seconds(1));
        peakReadsPerSecond =
                std::max(peakReadsPerSecond, mesh.platform.readCount - readsBeforeSecond);
    }
    std::size_t readyCount = 0;
    for (const HostId &host : hosts) {
        const FakeNode &node = mesh.node(host);
        readyCount += node.plane->isReady() && node.highestVersion == versionBefore ? 1 : 0;
        lastAppliedAt = std::max(lastAppliedAt, node.versionAppliedAt);
    }
    std::cout << absl::StrFormat(
            "case=herd %s returned=%d ready=%d all_hold_after_ms=%.0f platform_reads=%d "
            "platform_reads_peak_per_s=%d snapshots=%d records_offers=%d agree=%d violations=%d\n",
            fleetLabel(fleet), hosts.size(), readyCount,
            absl::ToDoubleMilliseconds(lastAppliedAt - startTime),
            mesh.platform.readCount - readsBefore, peakReadsPerSecond,
            mesh.messageCountByKind["snapshot-offer"], mesh.messageCountByKind["records-offer"],
            mesh.allAgreeOnHostRecords(), mesh.violations.size());
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("mesh-bench: message rates and convergence of one fleet's control planes, in "
                 "virtual time");
    Fleet fleet;
    app.add_option("--zones", fleet.zoneCount);
    app.add_option("--hosts-per-zone", fleet.hostsPerZone);
    app.add_flag("--flat", fleet.isFlat, "Every node follows a root of its zone directly");
    app.add_option("--seed", fleet.seed);
    CLI11_PARSE(app, argc, argv);
    ControlPolicy policy;
    policy.relayTree.shape = fleet.isFlat ? FanOutShape::Flat : FanOutShape::Tree;
    FakeMesh mesh(fleet.seed, policy);
    std::vector<std::string> zones;
    for (int i = 0; i < fleet.zoneCount; ++i)
        zones.push_back(absl::StrCat("zone-", i));
    mesh.addNodes(zones, fleet.hostsPerZone);
    mesh.time.runFor(JoinTime);
    mesh.publish(HostId("host-0"), serviceDelta("stock"));
    mesh.time.runFor(ConvergenceBound);
    measureIdleTraffic(mesh, fleet);
    measureConvergence(mesh, fleet);
    measureZoneRestart(mesh, fleet);
    return 0;
}
