/// \file
/// Property test: all nodes converge after any random sequence of faults. rapidcheck shrinks
/// failing sequences; each one found is added as a test case with its own name.
#include "FakeMesh.h"
#include "godwitlift/publishing/PublishedRecords.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace godwitlift;
using namespace godwitlift::test;

namespace {

constexpr int HostsPerZone = 4;
constexpr absl::Duration RecoveryBound = absl::Seconds(40);
const std::vector<std::string> Zones = { "liberties", "ringsend", "phibsborough" };

/// One fault or action. The parameters select hosts, zones and values; see executeStep().
struct FaultStep
{
    int kind = 0;
    int firstParameter = 0;
    int secondParameter = 0;
};

constexpr int FaultKindCount = 14;

std::ostream &operator<<(std::ostream &out, const FaultStep &step)
{
    return out << "{" << step.kind << "," << step.firstParameter << "," << step.secondParameter
               << "}";
}

HostId hostAt(int index)
{
    return HostId(absl::StrCat("host-", index % (HostsPerZone * 3)));
}

void executeStep(FakeMesh &mesh, const FaultStep &step)
{
    const HostId host = hostAt(step.firstParameter);
    const std::string zone = Zones[static_cast<std::size_t>(step.firstParameter) % Zones.size()];
    const std::string otherZone =
            Zones[static_cast<std::size_t>(step.secondParameter) % Zones.size()];
    const auto zoneHosts = mesh.hostsInZone(zone);
    switch (step.kind) {
    case 0:
        if (mesh.node(host).plane != nullptr)
            mesh.publish(host, serviceDelta("stock", step.secondParameter));
        break;
    case 1:
        mesh.kill(host);
        break;
    case 2:
        mesh.restart(host);
        break;
    case 3:
        mesh.pause(host);
        break;
    case 4:
        if (mesh.node(host).isPaused)
            mesh.resume(host);
        break;
    case 5:
        mesh.partition(zone, otherZone);
        break;
    case 6:
        mesh.partition(zone, "platform");
        break;
    case 7:
        mesh.clearFaults();
        break;
    case 8:
        mesh.platform.isDown = !mesh.platform.isDown;
        break;
    case 9:
        mesh.platform.answerLossProbability = step.secondParameter % 2 == 0 ? 0.7 : 0;
        break;
    case 10:
        mesh.faults = { 0.1 * (step.firstParameter % 4), 0.1 * (step.secondParameter % 4),
                        0.1 * (step.firstParameter % 3) };
        break;
    case 11:
        mesh.dropMessages(host, hostAt(step.secondParameter));
        break;
    case 12:
        for (std::size_t i = 0; i < zoneHosts.size(); ++i) {
            if (step.secondParameter % 2 == 0 || i % 2 == 0)
                mesh.restart(zoneHosts[i]);
        }
        break;
    default:
        mesh.platform.latency = absl::Milliseconds(5 + 400 * (step.secondParameter % 5));
        break;
    }
    mesh.time.runFor(absl::Milliseconds(100 + 150 * (step.secondParameter % 10)));
}

/// Runs \p steps, removes all faults and returns a violated invariant, or an empty string.
std::string findViolation(std::uint64_t seed, const std::vector<FaultStep> &steps)
{
    FakeMesh mesh(seed);
    mesh.addNodes(Zones, HostsPerZone);
    mesh.time.runFor(absl::Seconds(12));
    mesh.publish(HostId("host-0"), serviceDelta("stock"));
    mesh.time.runFor(absl::Seconds(3));
    for (const FaultStep &step : steps)
        executeStep(mesh, step);
    mesh.clearFaults();
    mesh.time.runFor(RecoveryBound);
    if (!mesh.violations.empty())
        return mesh.violations.front();
    const PlatformAnswer head = mesh.platform.table().fetch(FetchRow{ headKey() });
    const Version newest = headFromRow(head.rows.front())->version;
    if (!mesh.allNodesHold(newest))
        return absl::StrCat("some nodes do not hold version ", newest.value());
    return mesh.allAgreeOnHostRecords() ? "" : "host records differ between nodes";
}

} // namespace

TEST_CASE("All nodes converge on the newest version after any sequence of faults")
{
    setenv("RC_PARAMS", "seed=20261204 max_success=150 max_size=60", 0);
    const bool hasConverged = rc::check("convergence after faults", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
        const auto steps = *rc::gen::container<std::vector<FaultStep>>(rc::gen::build<FaultStep>(
                rc::gen::set(&FaultStep::kind, rc::gen::inRange(0, FaultKindCount)),
                rc::gen::set(&FaultStep::firstParameter, rc::gen::inRange(0, 100)),
                rc::gen::set(&FaultStep::secondParameter, rc::gen::inRange(0, 100))));
        RC_ASSERT(findViolation(seed, steps) == std::string());
    });
    CHECK(hasConverged);
}
