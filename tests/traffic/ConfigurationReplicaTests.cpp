/// \file
/// Copies that catch up with each other along any path end with the same content.
#include "godwitlift/base/RandomSource.h"
#include "godwitlift/traffic/ConfigurationReplica.h"
#include "godwitlift/traffic/WatcherElection.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

namespace {

/// An operator who changes, adds and removes routes at random.
class Operator
{
public:
    explicit Operator(std::uint64_t seed)
        : m_random(seed)
    {}

    std::shared_ptr<const RouteCatalogue> next()
    {
        m_version += 1 + m_random.uniformBelow(3);
        for (std::uint64_t i = m_random.uniformBelow(4); i > 0; --i)
            m_routes["r" + std::to_string(m_random.uniformBelow(30))] = m_random.next();
        if (!m_routes.empty() && m_random.uniformBelow(2) == 0)
            m_routes.erase(std::next(m_routes.begin(),
                                     static_cast<long>(m_random.uniformBelow(m_routes.size()))));
        std::vector<SharedRoute> routes;
        for (const auto &[id, content] : m_routes) {
            TrafficRoute route;
            route.id = RouteId(id);
            route.hostName = "a.example";
            route.prefix = "/" + id + "/";
            route.destinations = { { ServiceId("desk"), 1 } };
            route.timeout = absl::Milliseconds(static_cast<std::int64_t>(content % 1000));
            routes.push_back(std::make_shared<const TrafficRoute>(route));
        }
        return RouteCatalogue::create(Version(m_version), std::move(routes),
                                      { { ServiceId("desk"), "/health", 100 } }, {});
    }

private:
    SeededRandom m_random;
    std::uint64_t m_version = 0;
    std::map<std::string, std::uint64_t> m_routes;
};

} // namespace

TEST_CASE("copies that ask each other at random hold whole versions and converge")
{
    const std::uint64_t seed = GENERATE(range<std::uint64_t>(1, 21));
    Operator author(seed);
    SeededRandom random(seed + 1000);
    std::vector<ConfigurationReplica> nodes(8);
    std::map<Version, std::uint64_t> digests;
    int exchanges = 0;
    int mismatches = 0;
    const auto exchange = [&](std::size_t asker, std::size_t source) {
        const Version before = nodes[asker].version();
        ConfigurationReplica &node = nodes[asker];
        const ConfigurationChanges changes = nodes[source].changesSince(before);
        if (changes.version == Version())
            return;
        ReplicaResult result = node.accept(changes);
        if (result == ReplicaResult::Mismatch) {
            // The source never held a route that came and went between its own versions.
            REQUIRE(node.version() == before);
            ++mismatches;
            result = node.accept(nodes[source].changesSince({}));
            REQUIRE(result == ReplicaResult::Applied);
        }
        REQUIRE((result == ReplicaResult::Applied || result == ReplicaResult::Stale));
        ++exchanges;
        REQUIRE(node.version() >= before);
        REQUIRE(node.current()->digest() == digests.at(node.version()));
    };
    for (int round = 0; round < 300; ++round) {
        const auto version = author.next();
        digests[version->version()] = version->digest();
        // Few nodes read the store, and not every version.
        if (random.uniformBelow(2) == 0)
            nodes[random.uniformBelow(2)].acceptWhole(version);
        for (int i = 0; i < 3; ++i)
            exchange(random.uniformBelow(nodes.size()), random.uniformBelow(nodes.size()));
    }
    const auto last = author.next();
    digests[last->version()] = last->digest();
    nodes[0].acceptWhole(last);
    for (std::size_t i = 1; i < nodes.size(); ++i) {
        exchange(i, i - 1);
        CHECK(nodes[i].version() == last->version());
    }
    CHECK(exchanges > 100);
    CHECK(mismatches < exchanges / 2);
}

TEST_CASE("changes hold only what changed, and everything once removals are forgotten")
{
    Operator author(5);
    ConfigurationReplica source;
    source.acceptWhole(author.next());
    const Version old = source.version();
    for (int i = 0; i < 3; ++i)
        source.acceptWhole(author.next());
    const ConfigurationChanges few = source.changesSince(old);
    CHECK_FALSE(few.isWhole());
    CHECK(few.routes.size() < source.current()->routeCount() + 1);
    for (int i = 0; i < 1500; ++i)
        source.acceptWhole(author.next());
    CHECK(source.changesSince(old).isWhole());
}

TEST_CASE("damaged changes and old versions leave the copy as it is")
{
    Operator author(9);
    ConfigurationReplica source;
    source.acceptWhole(author.next());
    ConfigurationReplica copy;
    copy.accept(source.changesSince({}));
    const Version before = copy.version();
    source.acceptWhole(author.next());
    source.acceptWhole(author.next());
    ConfigurationChanges changes = source.changesSince(before);
    changes.digest += 1;
    CHECK(copy.accept(changes) == ReplicaResult::Mismatch);
    CHECK(copy.version() == before);
    changes.digest -= 1;
    CHECK(copy.accept(changes) == ReplicaResult::Applied);
    CHECK(copy.accept(changes) == ReplicaResult::Stale);
    changes.base = Version(copy.version().value() + 5);
    changes.version = Version(copy.version().value() + 9);
    CHECK(copy.accept(changes) == ReplicaResult::Gap);
}

TEST_CASE("a zone has its watchers whatever nodes are lost, and a cut-off node watches alone")
{
    std::vector<WatcherCandidate> nodes;
    for (int i = 0; i < 12; ++i)
        nodes.push_back({ HostId("host-" + std::to_string(i)), false, 7 });
    const auto watchers = [&] {
        std::size_t count = 0;
        for (const WatcherCandidate &node : nodes) {
            std::vector<WatcherCandidate> peers;
            for (const WatcherCandidate &other : nodes) {
                if (other.host != node.host)
                    peers.push_back(other);
            }
            count += isWatcher(node, peers) ? 1 : 0;
        }
        return count;
    };
    CHECK(watchers() == WatchersPerZone);
    for (std::size_t i = 0; i < 9; ++i)
        nodes[i].isStoreFailing = true;
    CHECK(watchers() == WatchersPerZone);
    for (WatcherCandidate &node : nodes)
        node.isStoreFailing = true;
    CHECK(watchers() == WatchersPerZone);
    nodes.resize(1);
    CHECK(watchers() == 1);
}

TEST_CASE("hosts with wide links watch for those with thin ones")
{
    const WatcherCandidate thin{ HostId("thin"), false, 7 };
    const WatcherCandidate wide{ HostId("wide"), false, 140 };
    const WatcherCandidate other{ HostId("other"), false, 140 };
    const WatcherCandidate third{ HostId("third"), false, 7 };
    CHECK(isWatcher(wide, { thin, other, third }));
    CHECK(isWatcher(other, { thin, wide, third }));
    CHECK_FALSE(isWatcher(thin, { wide, other, third }));
    const WatcherCandidate failing{ HostId("wide"), true, 140 };
    CHECK((isWatcher(thin, { failing, other, third })
           || isWatcher(third, { failing, other, thin })));
}
