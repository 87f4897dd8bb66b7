/// \file
/// Speed and size of single decisions, by default at the target size: one line per case with its
/// seed and a digest of the result, which must not depend on the machine.
#include "godwitlift/base/Hashing.h"
#include "godwitlift/configuration/ConfigurationCodec.h"
#include "godwitlift/configuration/ConfigurationHolder.h"
#include "godwitlift/distribution/RelayTopology.h"
#include "godwitlift/membership/HostDirectory.h"
#include "godwitlift/serving/BackendPicker.h"
#include "godwitlift/serving/Gate.h"
#include "godwitlift/serving/IdempotencyLedger.h"

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include <fstream>
#include <functional>
#include <iostream>

#include <unistd.h>

namespace {

using namespace godwitlift;

/// Size of the modelled fleet.
struct Fleet
{
    int services = 1300;
    int hosts = 24000;
    int zones = 36;
    int regions = 11;
    std::uint64_t seed = 1;
};

const absl::Time Now = absl::FromUnixSeconds(1'700'000'000);

double residentMegabytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

/// Runs \p work \p rounds times and prints the time of one round.
void measure(const Fleet &fleet, const std::string &name, int rounds,
             const std::function<std::string()> &work)
{
    std::string digest;
    const absl::Time started = absl::Now();
    for (int i = 0; i < rounds; ++i)
        digest = work();
    const double microseconds = absl::ToDoubleMicroseconds(absl::Now() - started) / rounds;
    std::cout << absl::StrFormat(
            "case=%s services=%d hosts=%d seed=%d us=%.3f resident_mb=%.1f digest=%s\n", name,
            fleet.services, fleet.hosts, fleet.seed, microseconds, residentMegabytes(), digest)
              << std::flush;
}

std::string digestText(std::uint64_t value)
{
    return digestOf(absl::StrCat(value)).value().substr(0, 12);
}

Configuration configurationOf(const Fleet &fleet)
{
    Configuration whole;
    for (int i = 0; i < 4; ++i) {
        Rank rank;
        rank.id = RankId(absl::StrCat("rank-", i));
        rank.urgency = i;
        rank.floorShare = 0.1;
        whole.ranks[rank.id] = rank;
    }
    for (int i = 0; i < fleet.services; ++i) {
        Service service;
        service.id = ServiceId(absl::StrCat("service-", i));
        service.slowStart = absl::Seconds(5);
        whole.services[service.id] = service;
        Route route;
        route.id = RouteId(absl::StrCat("route-", i));
        route.pathPrefix = absl::StrCat("/service-", i);
        route.service = service.id;
        route.rank = RankId(absl::StrCat("rank-", i % 4));
        route.deadline = absl::Seconds(2);
        route.stallTimeout = absl::Seconds(1);
        route.requestLimitBytes = 1 << 20;
        whole.routes[route.id] = route;
    }
    return whole;
}

HostRecord recordOf(const Fleet &fleet, int number, std::uint64_t sequence)
{
    HostRecord record;
    record.host = HostId(absl::StrCat("host-", number));
    record.zone = ZoneId(absl::StrCat("zone-", number % fleet.zones));
    record.region = RegionId(absl::StrCat("region-", number % fleet.zones % fleet.regions));
    record.address = Address(
            absl::StrFormat("10.%d.%d.%d:7400", number >> 16, (number >> 8) & 255, number & 255));
    record.stamp = { Incarnation(1), Sequence(sequence), Liveness::Alive };
    BackendServer server;
    server.id = BackendServerId("server");
    server.service = ServiceId(absl::StrCat("service-", number % fleet.services));
    server.address = Address("127.0.0.1:8080");
    server.slots = 20;
    record.backendServers = { server };
    return record;
}

void runControl(const Fleet &fleet)
{
    const Configuration whole = configurationOf(fleet);
    const std::string text = encode(whole);
    ConfigurationDelta one;
    one.puts.services[ServiceId("service-7")] = whole.services.at(ServiceId("service-7"));
    one.puts.services[ServiceId("service-7")].slowStart = absl::Seconds(9);
    const std::string delta = encode(one);
    std::cout << absl::StrFormat("bytes snapshot=%d delta_of_one_service=%d\n", text.size(),
                                 delta.size());

    HostDirectory directory;
    measure(fleet, "presence-first-merge-per-host", 1, [&] {
        for (int i = 0; i < fleet.hosts; ++i)
            directory.merge(recordOf(fleet, i, 1), Now);
        return digestText(directory.digest());
    });
    std::uint64_t sequence = 2;
    measure(fleet, "presence-merge-one", 2000, [&] {
        directory.merge(recordOf(fleet, 17, sequence++), Now);
        return digestText(directory.digest());
    });
    auto held = std::make_shared<VersionedConfiguration>();
    held->version = Version(1);
    held->content = whole;
    held->digest = digestOf(whole);
    std::shared_ptr<const RoutingTable> table;
    measure(fleet, "table-compile", 20, [&] {
        table = RoutingTable::compile(held, directory, ZoneId("zone-1"), RegionId("region-1"));
        return digestText(table->targetCount());
    });
    ConfigurationHolder holder;
    measure(fleet, "snapshot-apply", 1, [&] {
        holder.applySnapshot(Version(1), digestOf(whole), text);
        return holder.current()->digest.value().substr(0, 12);
    });
    Configuration next = whole;
    std::uint64_t version = 1;
    measure(fleet, "delta-apply", 20, [&] {
        one.puts.services[ServiceId("service-7")].slowStart = absl::Milliseconds(version);
        next = one.appliedTo(next);
        holder.applyStep({ Version(version), Version(version + 1), digestOf(next), encode(one) });
        ++version;
        return holder.current()->digest.value().substr(0, 12);
    });
    measure(fleet, "tree-placement", 50, [&] {
        const RelayTopology topology(directory, ZoneId("zone-1"), {});
        return digestText(hashOf(topology.parent(HostId("host-1")).value()));
    });
    measure(fleet, "route-lookup", 200'000,
            [&] { return table->route("/service-77/some/path")->route.id.value(); });
    SeededRandom random(fleet.seed);
    BackendPicker picker(random);
    const ServiceTargets &targets = *table->targets(ServiceId("service-7"));
    measure(fleet, "target-choice", 100'000, [&] {
        const Target *target = picker.pick(targets, {}, Now);
        return std::string(target->host.value());
    });
}

void runServing(const Fleet &fleet)
{
    std::map<RankId, Rank> ranks = configurationOf(fleet).ranks;
    Gate gate(SlotLimit(20, Now - absl::Hours(1), absl::ZeroDuration()), ranks);
    std::uint64_t number = 1;
    absl::Time now = Now;
    measure(fleet, "gate-admission", 200'000, [&] {
        const AttemptId attempt(number++);
        now += absl::Microseconds(100);
        gate.submit({ attempt, RankId("rank-1"), CallerId("c"), now + absl::Seconds(1) }, now);
        gate.onRunEnded(attempt, RunOutcome::Answered, now + absl::Milliseconds(1));
        return digestText(gate.inUse());
    });
    LedgerPolicy policy;
    policy.keyLimit = 1'000'000;
    IdempotencyLedger ledger(HostId("h"), Incarnation(1), fleet.seed, policy);
    const double before = residentMegabytes();
    constexpr int Keys = 100'000;
    measure(fleet, "ledger-key", Keys, [&] {
        const IdempotencyKey key = ledger.issue();
        ledger.beginIssued(*IssuedKey::parse(key), 1, Now);
        ledger.finish(key, Verdict::Ran, { 200, "text/plain", "ok", true });
        return digestText(ledger.size());
    });
    std::cout << absl::StrFormat("bytes ledger_per_key=%.0f\n",
                                 1e6 * (residentMegabytes() - before) / Keys);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("decision-bench: speed and size of single decisions");
    Fleet fleet;
    app.add_option("--services", fleet.services);
    app.add_option("--hosts", fleet.hosts);
    app.add_option("--seed", fleet.seed);
    CLI11_PARSE(app, argc, argv);
    runControl(fleet);
    runServing(fleet);
    return 0;
}
