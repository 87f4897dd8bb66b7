/// \file
/// Tests of configuration decoding, ConfigurationHolder, Plan and RoutingTable.
#include "FakeMesh.h"
#include "godwitlift/configuration/ConfigurationCodec.h"
#include "godwitlift/configuration/ConfigurationHolder.h"
#include "godwitlift/configuration/Plan.h"
#include "godwitlift/serving/RoutingTable.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace godwitlift;
using godwitlift::test::serviceDelta;

namespace {

std::string problemOf(std::string_view text)
{
    std::string problem;
    valueOrErrorText([&] { return decodeDelta(text); }, problem);
    return problem;
}

Configuration configurationOf(const std::vector<int> &numbers)
{
    Configuration configuration;
    for (const int number : numbers)
        configuration =
                serviceDelta(absl::StrCat("s", number % 12), number).appliedTo(configuration);
    return configuration;
}

} // namespace

TEST_CASE("Every input error in a configuration delta is reported with its path")
{
    CHECK(problemOf("{") == "input: not JSON, parsing stopped at byte 2");
    CHECK(problemOf(R"({"routs": {}})") == "routs: unknown key");
    CHECK(problemOf(R"({"ranks": {"a": {}}})") == "ranks.a.urgency: missing");
    CHECK(problemOf(R"({"ranks": {"a": {"urgency": 99}}})")
          == "ranks.a.urgency: expected 0 to 15, found 99");
    CHECK(problemOf(R"({"services": {"a": {"slow_start": 5}}})")
          == "services.a.slow_start: unknown key");
    CHECK(problemOf(R"({"services": {"a b": {}}})") == "services.a b: not an identifier");
    CHECK(problemOf(R"({"routes": {"r": {"path_prefix": "x", "service": "s", "rank": "k"}}})")
          == "routes.r.path_prefix: must start with '/'");
    CHECK(problemOf(R"({"remove": ["thing/x"]})") == "remove: not an object name: thing/x");
    CHECK(problemOf(std::string(100, '[')) == "input: nested deeper than 32 levels");
}

TEST_CASE("A plan with a dangling reference or an unknown removal is rejected")
{
    VersionedConfiguration base;
    ConfigurationDelta dangling = serviceDelta("stock");
    dangling.puts.services.clear();
    std::string problem;
    CHECK_FALSE(valueOrErrorText([&] { return Plan::make(base, dangling); }, problem));
    CHECK(problem == "routes.stock.service: no service stock");
    ConfigurationDelta unknownRemoval;
    unknownRemoval.removals.insert({ ItemKind::Route, "none" });
    CHECK_FALSE(valueOrErrorText([&] { return Plan::make(base, unknownRemoval); }, problem));
    CHECK(problem == "remove: no object route/none");
}

TEST_CASE("Configurations and deltas survive an encode/decode round trip")
{
    const bool holds = rc::check("codec round trip", [](const std::vector<unsigned char> &a,
                                                        const std::vector<unsigned char> &b) {
        const Configuration from = configurationOf({ a.begin(), a.end() });
        const Configuration to = configurationOf({ b.begin(), b.end() });
        std::string problem;
        const auto decoded =
                valueOrErrorText([&] { return decodeConfiguration(encode(from)); }, problem);
        RC_ASSERT(decoded && *decoded == from);
        const ConfigurationDelta delta = ConfigurationDelta::between(from, to);
        const auto decodedDelta =
                valueOrErrorText([&] { return decodeDelta(encode(delta)); }, problem);
        RC_ASSERT(decodedDelta && *decodedDelta == delta);
        RC_ASSERT(delta.appliedTo(from) == to);
    });
    CHECK(holds);
}

TEST_CASE("Decoding a mutated delta returns either a delta or an error")
{
    const std::string valid = encode(serviceDelta("stock"));
    SeededRandom random(7);
    for (int i = 0; i < 3000; ++i) {
        std::string text = valid;
        for (std::uint64_t k = 0; k <= random.uniformBelow(6); ++k) {
            const std::size_t at = random.uniformBelow(text.size());
            if (random.uniformBelow(2) == 0)
                text[at] = static_cast<char>(random.uniformBelow(256));
            else
                text.erase(at, random.uniformBelow(20));
        }
        std::string problem;
        const auto delta = valueOrErrorText([&] { return decodeDelta(text); }, problem);
        REQUIRE(delta.has_value() == problem.empty());
    }
}

TEST_CASE("The holder applies only higher versions with a matching digest")
{
    ConfigurationHolder holder;
    const Configuration one = serviceDelta("stock").appliedTo({});
    CHECK(holder.applySnapshot(Version(5), digestOf(one), encode(one)) == ApplyOutcome::Applied);
    CHECK(holder.applySnapshot(Version(5), digestOf(one), encode(one)) == ApplyOutcome::NotNewer);
    CHECK(holder.applySnapshot(Version(4), digestOf(one), encode(one)) == ApplyOutcome::NotNewer);
    CHECK(holder.applySnapshot(Version(6), Digest("0"), encode(one)) == ApplyOutcome::Refused);
    CHECK(holder.version() == Version(5));
    REQUIRE(holder.latestRefusal());
    const ConfigurationDelta delta = serviceDelta("orders");
    const Configuration two = delta.appliedTo(one);
    CHECK(holder.applyStep({ Version(6), Version(7), digestOf(two), encode(delta) })
          == ApplyOutcome::Gap);
    CHECK(holder.applyStep({ Version(5), Version(6), digestOf(one), encode(delta) })
          == ApplyOutcome::Refused);
    CHECK(holder.applyStep({ Version(5), Version(6), digestOf(two), encode(delta) })
          == ApplyOutcome::Applied);
    CHECK_FALSE(holder.latestRefusal());
    CHECK(holder.stepsSince(Version(5)).size() == 1);
    CHECK(holder.stepsSince(Version(3)).empty());
}

TEST_CASE("The plan digest depends on the base version, the changes digest does not")
{
    VersionedConfiguration base;
    std::string problem;
    const auto plan =
            valueOrErrorText([&] { return Plan::make(base, serviceDelta("stock")); }, problem);
    base.version = Version(1);
    const auto replanned =
            valueOrErrorText([&] { return Plan::make(base, serviceDelta("stock")); }, problem);
    CHECK(plan->changes().size() == 3);
    CHECK(plan->digest() != replanned->digest());
    CHECK(plan->changesDigest() == replanned->changesDigest());
    base.content = plan->target();
    const auto empty =
            valueOrErrorText([&] { return Plan::make(base, serviceDelta("stock")); }, problem);
    CHECK(empty->isEmpty());
}

TEST_CASE("Routes match whole path segments, the longest prefix first")
{
    auto configuration = std::make_shared<VersionedConfiguration>();
    configuration->version = Version(1);
    configuration->content = serviceDelta("a").appliedTo({});
    Route deep = configuration->content.routes.at(RouteId("a"));
    deep.id = RouteId("deep");
    deep.pathPrefix = "/a/b";
    configuration->content.routes[deep.id] = deep;
    const auto table = RoutingTable::compile(configuration, {}, ZoneId("z"), RegionId("r"));
    CHECK(table->route("/a")->route.id == RouteId("a"));
    CHECK(table->route("/a/c")->route.id == RouteId("a"));
    CHECK(table->route("/a/b/c")->route.id == deep.id);
    CHECK(table->route("/ab") == nullptr);
    CHECK(table->route("/") == nullptr);
    CHECK(table->route("") == nullptr);
}
