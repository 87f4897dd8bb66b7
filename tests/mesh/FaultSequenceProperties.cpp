/// \file
/// Random sequences of faults, shrunk by rapidcheck; failing seeds become named tests beside it.
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

/// One fault or action with two free choices.
struct FaultStep
{
    int kind = 0;
    int a = 0;
    int b = 0;
};

constexpr int FaultKinds = 14;

std::ostream &operator<<(std::ostream &out, const FaultStep &step)
{
    return out << "{" << step.kind << "," << step.a << "," << step.b << "}";
}

HostId hostOf(int number)
{
    return HostId(absl::StrCat("host-", number % (HostsPerZone * 3)));
}

void carryOutStep(FakeMesh &mesh, const FaultStep &step)
{
    const HostId host = hostOf(step.a);
    const std::string zone = Zones[static_cast<std::size_t>(step.a) % Zones.size()];
    const std::string otherZone = Zones[static_cast<std::size_t>(step.b) % Zones.size()];
    const auto zoneHosts = mesh.hostsOf(zone);
    switch (step.kind) {
    case 0:
        if (mesh.node(host).plane != nullptr)
            mesh.publish(host, serviceDelta("stock", step.b));
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
        mesh.cut(zone, otherZone);
        break;
    case 6:
        mesh.cut(zone, "platform");
        break;
    case 7:
        mesh.heal();
        break;
    case 8:
        mesh.platform.isDown = !mesh.platform.isDown;
        break;
    case 9:
        mesh.platform.loseAnswers = step.b % 2 == 0 ? 0.7 : 0;
        break;
    case 10:
        mesh.faults = { 0.1 * (step.a % 4), 0.1 * (step.b % 4), 0.1 * (step.a % 3) };
        break;
    case 11:
        mesh.silence(host, hostOf(step.b));
        break;
    case 12:
        for (std::size_t i = 0; i < zoneHosts.size(); ++i) {
            if (step.b % 2 == 0 || i % 2 == 0)
                mesh.restart(zoneHosts[i]);
        }
        break;
    default:
        mesh.platform.delay = absl::Milliseconds(5 + 400 * (step.b % 5));
        break;
    }
    mesh.time.runFor(absl::Milliseconds(100 + 150 * (step.b % 10)));
}

/// Runs \p steps and returns what is wrong afterwards; empty if all holds.
std::string faultAfter(std::uint64_t seed, const std::vector<FaultStep> &steps)
{
    FakeMesh mesh(seed);
    mesh.addZones(Zones, HostsPerZone);
    mesh.time.runFor(absl::Seconds(12));
    mesh.publish(HostId("host-0"), serviceDelta("stock"));
    mesh.time.runFor(absl::Seconds(3));
    for (const FaultStep &step : steps)
        carryOutStep(mesh, step);
    mesh.heal();
    mesh.time.runFor(RecoveryBound);
    if (!mesh.violations.empty())
        return mesh.violations.front();
    const PlatformAnswer head = mesh.platform.table().fetch(FetchRow{ headKey() });
    const Version newest = headFromRow(head.rows.front())->version;
    if (!mesh.allHold(newest))
        return absl::StrCat("not every node holds version ", newest.value());
    return mesh.allAgreeOnPresence() ? "" : "nodes disagree on presence";
}

} // namespace

TEST_CASE("After any sequence of faults all nodes hold the newest version")
{
    setenv("RC_PARAMS", "seed=20261204 max_success=150 max_size=60", 0);
    const bool holds = rc::check("convergence after faults", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
        const auto steps = *rc::gen::container<std::vector<FaultStep>>(rc::gen::build<FaultStep>(
                rc::gen::set(&FaultStep::kind, rc::gen::inRange(0, FaultKinds)),
                rc::gen::set(&FaultStep::a, rc::gen::inRange(0, 100)),
                rc::gen::set(&FaultStep::b, rc::gen::inRange(0, 100))));
        RC_ASSERT(faultAfter(seed, steps) == std::string());
    });
    CHECK(holds);
}
