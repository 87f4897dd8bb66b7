/// \file
/// Choice of a host under load, named for the load.
#include "godwitlift/traffic/FinishTimeSelector.h"

#include <catch2/catch.hpp>

#include <map>

using namespace godwitlift;

namespace {

const absl::Time Now = absl::UnixEpoch() + absl::Hours(1);
const ServiceId Desk("desk");
const RouteId Lookup("lookup");

class Fleet
{
public:
    Fleet() { selector.setOwnZone(ZoneId("north")); }

    void host(const char *name, const char *zone, std::uint32_t running, std::uint32_t slots = 18)
    {
        selector.hostSeen(HostId(name), ZoneId(zone));
        GateReport report;
        report.server = BackendServerId(name);
        report.service = Desk;
        report.takesWork = true;
        report.slots = slots;
        report.running = running;
        selector.report(HostId(name), report, Now);
    }
    void answer(const char *name, int milliseconds, std::size_t bytes = 5000)
    {
        selector.sent(HostId(name));
        selector.ended(HostId(name), Lookup, AttemptOutcome::Answered,
                       absl::Milliseconds(milliseconds), bytes, Now);
    }
    void fail(const char *name)
    {
        selector.sent(HostId(name));
        selector.ended(HostId(name), Lookup, AttemptOutcome::Failed, absl::ZeroDuration(), 0, Now);
    }
    /// How often each host is chosen in \p count choices without any being sent.
    std::map<std::string, int> choices(int count)
    {
        std::map<std::string, int> result;
        for (int i = 0; i < count; ++i)
            ++result[selector.select(Desk, Lookup, {}, Now)->host.value()];
        return result;
    }

    SeededRandom random{ 11 };
    FinishTimeSelector selector{ random };
};

} // namespace

TEST_CASE("full server: work goes where slots are free")
{
    Fleet fleet;
    fleet.host("a", "north", 18);
    fleet.host("b", "north", 2);
    CHECK(fleet.choices(50)["b"] == 50);
}

TEST_CASE("slow server: work goes to those that answer faster")
{
    Fleet fleet;
    fleet.host("a", "north", 4);
    fleet.host("b", "north", 4);
    for (int i = 0; i < 40; ++i) {
        fleet.answer("a", 500);
        fleet.answer("b", 100);
    }
    CHECK(fleet.choices(50)["b"] == 50);
}

TEST_CASE("large answers stay in the zone until its servers queue")
{
    Fleet fleet;
    fleet.host("near", "north", 10);
    fleet.host("far", "south", 0);
    for (int i = 0; i < 40; ++i) {
        fleet.answer("near", 100, 90'000);
        fleet.answer("far", 100, 90'000);
    }
    CHECK(fleet.choices(50)["near"] == 50);
    fleet.host("near", "north", 100);
    CHECK(fleet.choices(50)["far"] == 50);
}

TEST_CASE("burst between two reports: own sends count at once")
{
    Fleet fleet;
    fleet.host("a", "north", 0, 4);
    fleet.host("b", "north", 0, 4);
    std::map<std::string, int> sent;
    for (int i = 0; i < 8; ++i) {
        const auto choice = fleet.selector.select(Desk, Lookup, {}, Now);
        fleet.selector.sent(choice->host);
        ++sent[choice->host.value()];
    }
    CHECK(sent["a"] == 4);
    CHECK(sent["b"] == 4);
}

TEST_CASE("failing server: only single requests test it")
{
    Fleet fleet;
    fleet.host("a", "north", 0);
    fleet.host("b", "north", 0);
    fleet.host("c", "north", 0);
    for (int i = 0; i < 20; ++i)
        fleet.fail("a");
    CHECK(fleet.choices(50)["a"] <= 1);
}

TEST_CASE("all servers failing: none is held back")
{
    Fleet fleet;
    fleet.host("a", "north", 0);
    fleet.host("b", "north", 0);
    for (int i = 0; i < 20; ++i) {
        fleet.fail("a");
        fleet.fail("b");
    }
    auto chosen = fleet.choices(200);
    CHECK(chosen["a"] > 0);
    CHECK(chosen["b"] > 0);
}

TEST_CASE("no host is chosen that is out of reach, drains or was tried")
{
    Fleet fleet;
    fleet.host("a", "north", 0);
    fleet.host("b", "north", 0);
    fleet.selector.hostLost(HostId("a"));
    CHECK(fleet.selector.select(Desk, Lookup, {}, Now)->host == HostId("b"));
    CHECK_FALSE(fleet.selector.select(Desk, Lookup, { HostId("b") }, Now).has_value());
    CHECK_FALSE(fleet.selector.select(ServiceId("ledger"), Lookup, {}, Now).has_value());
    CHECK(fleet.selector.availableCount(Desk) == 1);
}
