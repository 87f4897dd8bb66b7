/// \file
/// Control planes of one fleet in virtual time: messages by kind, convergence, a herd's return. One
/// line per case; the same seed gives the same lines.
#include "FakeMesh.h"

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <iostream>

namespace {

using namespace godwitlift;
using namespace godwitlift::test;

constexpr absl::Duration SettlingTime = absl::Seconds(20);
constexpr absl::Duration IdleTime = absl::Seconds(20);
constexpr absl::Duration Bound = absl::Seconds(4);
constexpr absl::Duration HerdTime = absl::Seconds(30);

/// Shape of the fleet.
struct Fleet
{
    int zones = 3;
    int hostsPerZone = 50;
    bool isFlat = false;
    std::uint64_t seed = 1;
};

std::string label(const Fleet &fleet)
{
    return absl::StrFormat("zones=%d hosts_per_zone=%d fan_out=%s seed=%d", fleet.zones,
                           fleet.hostsPerZone, fleet.isFlat ? "flat" : "tree", fleet.seed);
}

void idle(FakeMesh &mesh, const Fleet &fleet)
{
    mesh.messagesByKind.clear();
    const std::uint64_t reads = mesh.platform.reads;
    mesh.time.runFor(IdleTime);
    const double seconds = absl::ToDoubleSeconds(IdleTime);
    std::cout << "case=idle " << label(fleet);
    for (const auto &[kind, count] : mesh.messagesByKind)
        std::cout << absl::StrFormat(" %s=%.3f", kind,
                                     static_cast<double>(count) / seconds
                                             / static_cast<double>(mesh.nodes().size()));
    std::cout << absl::StrFormat(" platform_reads_per_s=%.2f\n",
                                 static_cast<double>(mesh.platform.reads - reads) / seconds);
}

void converge(FakeMesh &mesh, const Fleet &fleet)
{
    mesh.messagesByKind.clear();
    const Version next = mesh.node(HostId("host-0")).highest.next();
    const absl::Time started = mesh.time.now();
    mesh.publish(HostId("host-7"), serviceDelta("stock", 7));
    mesh.time.runFor(Bound);
    std::vector<double> milliseconds;
    std::size_t missing = 0;
    for (const auto &entry : mesh.nodes()) {
        if (entry.second.highest == next)
            milliseconds.push_back(absl::ToDoubleMilliseconds(entry.second.appliedAt - started));
        else
            ++missing;
    }
    std::sort(milliseconds.begin(), milliseconds.end());
    std::cout << absl::StrFormat(
            "case=converge %s median_ms=%.1f worst_ms=%.1f missing=%d steps_offers_per_node=%.2f\n",
            label(fleet), milliseconds[milliseconds.size() / 2], milliseconds.back(), missing,
            static_cast<double>(mesh.messagesByKind["steps-offer"])
                    / static_cast<double>(mesh.nodes().size()));
}

void herd(FakeMesh &mesh, const Fleet &fleet)
{
    const Version held = mesh.node(HostId("host-1")).highest;
    const auto hosts = mesh.hostsOf("zone-0");
    for (const HostId &host : hosts)
        mesh.kill(host);
    mesh.time.runFor(absl::Seconds(10));
    mesh.messagesByKind.clear();
    const std::uint64_t reads = mesh.platform.reads;
    const absl::Time started = mesh.time.now();
    for (const HostId &host : hosts)
        mesh.restart(host);
    std::uint64_t peak = 0;
    absl::Time last = started;
    while (mesh.time.now() - started < HerdTime) {
        const std::uint64_t before = mesh.platform.reads;
        mesh.time.runFor(absl::Seconds(1));
        peak = std::max(peak, mesh.platform.reads - before);
    }
    std::size_t ready = 0;
    for (const HostId &host : hosts) {
        const FakeNode &node = mesh.node(host);
        ready += node.plane->isReady() && node.highest == held ? 1 : 0;
        last = std::max(last, node.appliedAt);
    }
    std::cout << absl::StrFormat(
            "case=herd %s returned=%d ready=%d all_hold_after_ms=%.0f platform_reads=%d "
            "platform_reads_peak_per_s=%d snapshots=%d records_offers=%d agree=%d violations=%d\n",
            label(fleet), hosts.size(), ready, absl::ToDoubleMilliseconds(last - started),
            mesh.platform.reads - reads, peak, mesh.messagesByKind["snapshot-offer"],
            mesh.messagesByKind["records-offer"], mesh.allAgreeOnPresence(),
            mesh.violations.size());
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("mesh-bench: control planes of one fleet in virtual time");
    Fleet fleet;
    app.add_option("--zones", fleet.zones);
    app.add_option("--hosts-per-zone", fleet.hostsPerZone);
    app.add_flag("--flat", fleet.isFlat, "Every node follows a root");
    app.add_option("--seed", fleet.seed);
    CLI11_PARSE(app, argc, argv);
    ControlPolicy policy;
    policy.relayTree.shape = fleet.isFlat ? FanOutShape::Flat : FanOutShape::Tree;
    FakeMesh mesh(fleet.seed, policy);
    std::vector<std::string> zones;
    for (int i = 0; i < fleet.zones; ++i)
        zones.push_back(absl::StrCat("zone-", i));
    mesh.addZones(zones, fleet.hostsPerZone);
    mesh.time.runFor(SettlingTime);
    mesh.publish(HostId("host-0"), serviceDelta("stock"));
    mesh.time.runFor(Bound);
    idle(mesh, fleet);
    converge(mesh, fleet);
    herd(mesh, fleet);
    return 0;
}
