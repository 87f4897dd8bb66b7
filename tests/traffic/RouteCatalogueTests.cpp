/// \file
/// Longest-prefix routing by host name, and weighted destinations.
#include "godwitlift/traffic/RouteCatalogue.h"
#include "godwitlift/traffic/TrafficSplit.h"

#include <catch2/catch.hpp>

#include <map>

using namespace godwitlift;

namespace {

TrafficRoute route(const std::string &id, const std::string &hostName, const std::string &prefix)
{
    TrafficRoute route;
    route.id = RouteId(id);
    route.hostName = hostName;
    route.prefix = prefix;
    route.destinations = { { ServiceId("desk"), 1 } };
    return route;
}

SharedRoute sharedRoute(const std::string &id, const std::string &hostName,
                        const std::string &prefix)
{
    return std::make_shared<const TrafficRoute>(route(id, hostName, prefix));
}

} // namespace

TEST_CASE("the longest prefix of the same host name wins")
{
    const auto catalogue = RouteCatalogue::create(
            Version(3),
            { sharedRoute("root", "a.example", "/"), sharedRoute("desk", "a.example", "/desk/"),
              sharedRoute("deep", "a.example", "/desk/slots/"),
              sharedRoute("other", "b.example", "/desk/") },
            {}, {});
    const auto idOf = [&](const char *hostName, const char *path) {
        const TrafficRoute *found = catalogue->route(hostName, path);
        return found == nullptr ? std::string("none") : found->id.value();
    };
    CHECK(idOf("a.example", "/desk/slots/7") == "deep");
    CHECK(idOf("a.example", "/desk/slots") == "desk");
    CHECK(idOf("a.example", "/deskside") == "root");
    CHECK(idOf("a.example", "/elsewhere?next=/desk/slots/") == "root");
    CHECK(idOf("b.example", "/desk/x") == "other");
    CHECK(idOf("b.example", "/") == "none");
    CHECK(idOf("c.example", "/desk/") == "none");
}

TEST_CASE("a traffic split keeps to its weights after every request")
{
    for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
        CAPTURE(seed);
        SeededRandom random(seed);
        TrafficRoute split = route("split", "a.example", "/");
        split.destinations = { { ServiceId("desk"), 90 }, { ServiceId("ledger"), 10 } };
        TrafficSplit trafficSplit(random);
        std::map<std::string, int> counts;
        for (int i = 1; i <= 200; ++i) {
            ++counts[trafficSplit.nextDestination(split).value()];
            CHECK(std::abs(counts["ledger"] - i * 0.1) <= 1);
        }
        CHECK(counts["ledger"] == 20);
    }
}

// Load: each of many nodes gets only a few requests of a split route, then the weights change.
TEST_CASE("a traffic split keeps to its weights over a large fleet with few requests a node")
{
    SeededRandom random(7);
    std::vector<TrafficSplit> nodes(200, TrafficSplit(random));
    TrafficRoute split = route("split", "a.example", "/");
    for (const double weight : { 70.0, 10.0, 35.0 }) {
        CAPTURE(weight);
        split.destinations = { { ServiceId("desk"), weight },
                               { ServiceId("ledger"), 100 - weight } };
        int desk = 0;
        for (TrafficSplit &node : nodes)
            desk += node.nextDestination(split) == ServiceId("desk") ? 1 : 0;
        // The users' pages allow a tenth.
        CHECK(std::abs(desk / 200.0 - weight / 100) <= 0.1);
    }
}

TEST_CASE("changed weights reset the credits of a traffic split")
{
    TrafficRoute split = route("split", "a.example", "/");
    split.destinations = { { ServiceId("desk"), 1 }, { ServiceId("ledger"), 1 } };
    SeededRandom random(3);
    TrafficSplit trafficSplit(random);
    trafficSplit.nextDestination(split);
    split.destinations = { { ServiceId("desk"), 0 }, { ServiceId("ledger"), 1 } };
    for (int i = 0; i < 10; ++i)
        CHECK(trafficSplit.nextDestination(split) == ServiceId("ledger"));
}
