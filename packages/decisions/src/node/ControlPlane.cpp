/// \file
/// Timers, operator requests and spreading of the control plane.
#include "godwitlift/node/ControlPlane.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace godwitlift {

namespace {

constexpr absl::Duration SeedBackoffBase = absl::Milliseconds(500);
constexpr absl::Duration SeedBackoffCeiling = absl::Seconds(10);
constexpr absl::Duration SettledSeedPeriod = absl::Seconds(5);
constexpr absl::Duration ExpiryPeriod = absl::Minutes(1);

} // namespace

Result<std::unique_ptr<ControlPlane>> ControlPlane::create(NodeIdentity identity,
                                                           ControlPolicy policy, absl::Time now,
                                                           RandomSource &random)
{
    if (identity.host.isEmpty())
        return makeInputError("host", "missing");
    if (identity.zone.isEmpty())
        return makeInputError("zone", "missing");
    if (identity.address.isEmpty())
        return makeInputError("address", "missing");
    return std::unique_ptr<ControlPlane>(
            new ControlPlane(std::move(identity), policy, now, random));
}

ControlPlane::ControlPlane(NodeIdentity identity, ControlPolicy policy, absl::Time now,
                           RandomSource &random)
    : m_identity(std::move(identity))
    , m_policy(policy)
    , m_random(random)
    , m_configuration(policy.publishing)
    , m_presence(m_identity, now)
    , m_detector(m_identity.host, m_identity.zone, policy.detector)
    , m_tree(m_identity.host, m_identity.zone, policy.follow)
    , m_snapshotBytes(policy.snapshotBytesPerSecond, policy.snapshotBurstBytes)
    , m_seedBackoff(SeedBackoffBase, SeedBackoffCeiling)
    , m_started(now)
    , m_pollFrom(m_identity.seeds.empty()
                         ? now
                         : now + policy.joinQuiet + policy.joinQuiet * random.uniformReal())
    , m_nextCompare(now + policy.comparePeriod * random.uniformReal())
    , m_nextRootCompare(now + policy.rootPeriod * random.uniformReal())
    , m_nextExpiry(now + ExpiryPeriod)
{}

std::vector<BackendServer> ControlPlane::ownBackendServers() const
{
    return m_presence.self().backendServers;
}

void ControlPlane::send(const HostId &to, PeerMessage message, ControlEffects &effects) const
{
    const HostRecord *record = directory().find(to);
    if (record != nullptr && to != m_identity.host)
        effects.sends.push_back({ record->address, std::move(message) });
}

std::vector<HostId> ControlPlane::rootsOfOtherZones() const
{
    const std::set<HostId> unreachable = m_tree.unreachable();
    std::vector<HostId> found;
    for (const ZoneId &zone : directory().zones()) {
        if (zone == m_identity.zone)
            continue;
        const auto roots = RelayTopology::rootsOf(directory(), zone, unreachable);
        if (!roots.empty())
            found.push_back(roots.front());
    }
    return found;
}

void ControlPlane::spread(const std::vector<HostRecord> &records, const HostId &from)
{
    const HostRecord *sender = directory().find(from);
    const bool isFromOwnZone = sender == nullptr || sender->zone == m_identity.zone;
    for (const HostRecord &record : records)
        m_spreading.insert_or_assign(record.host, SpreadingRecord{ record, from, isFromOwnZone });
    m_tableDirty = m_tableDirty || !records.empty();
}

void ControlPlane::offerRecords(const HostId &to, bool isOwnZoneOnly, ControlEffects &effects) const
{
    std::vector<HostRecord> records;
    for (const auto &entry : m_spreading) {
        const SpreadingRecord &spreading = entry.second;
        if (spreading.from != to && (spreading.isFromOwnZone || !isOwnZoneOnly))
            records.push_back(spreading.record);
    }
    for (PeerMessage &offer : recordOffers(records))
        send(to, std::move(offer), effects);
}

void ControlPlane::flushSpreading(ControlEffects &effects)
{
    if (m_spreading.empty())
        return;
    std::set<HostId> neighbours;
    for (const auto &entry : m_tree.followers())
        neighbours.insert(entry.first);
    neighbours.insert(m_tree.parent());
    for (const HostId &neighbour : neighbours)
        offerRecords(neighbour, false, effects);
    if (isRoot()) {
        for (const HostId &root : rootsOfOtherZones())
            offerRecords(root, true, effects);
    }
    m_spreading.clear();
}

void ControlPlane::ownStateChanged(const HostRecord &record)
{
    spread({ record }, m_identity.host);
}

LaggingHost ControlPlane::ownLag() const
{
    LaggingHost own;
    own.host = m_identity.host;
    own.held = configuration().version();
    if (const auto &refused = configuration().latestRefusal()) {
        own.refused = refused->version;
        own.problem = refused->problem.substr(0, 200);
    }
    return own;
}

std::vector<ZoneReport> ControlPlane::reports(absl::Time now) const
{
    FleetReports merged = m_fleet;
    // Only the first root sees its whole zone; the second one follows it.
    if (m_tree.parent().isEmpty())
        merged.merge(FleetReports::subtree(m_identity.zone, ownLag(), m_tree.followers(), now));
    return merged.all();
}

FollowRequest ControlPlane::followRequest(bool isFollower, absl::Time now) const
{
    FollowRequest request;
    request.isFollower = isFollower;
    request.held = configuration().version();
    request.refused = m_configuration.refusedVersion();
    request.presenceDigest = directory().digest();
    if (isFollower)
        request.reports = { FleetReports::subtree(m_identity.zone, ownLag(), m_tree.followers(),
                                                  now) };
    return request;
}

ControlEffects ControlPlane::tick(absl::Time now)
{
    ControlEffects effects;
    if (m_presence.backendServers().expire(now))
        ownStateChanged(m_presence.restate(now));
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + ExpiryPeriod;
        m_presence.expire(now);
    }
    detect(now, effects);
    heartbeat(now, effects);
    compareWithOthers(now, effects);
    contactSeeds(now, effects);
    maybePoll(now, effects);
    const Version before = configuration().version();
    configurationChanged(m_configuration.expireRequests(now, effects), before, {}, now, effects);
    expireStatusRequests(now, effects);
    updateReadiness(now, effects);
    flushSpreading(effects);
    compileIfDirty(effects);
    return effects;
}

void ControlPlane::detect(absl::Time now, ControlEffects &effects)
{
    const DetectorStep step = m_detector.tick(directory(), now, m_random);
    for (const ProbeOrder &order : step.probes)
        send(order.to, Probe{ order.number, order.target, m_identity.host }, effects);
    for (const HostRecord &belief : step.beliefs) {
        const bool dead = belief.stamp.liveness == Liveness::Dead;
        effects.logs.push_back(
                { dead ? "host_dead" : "host_suspect", { { "host", belief.host.value() } } });
        spread(m_presence.merge({ belief }, now), m_identity.host);
    }
}

void ControlPlane::heartbeat(absl::Time now, ControlEffects &effects)
{
    const HostId before = m_tree.parent();
    const FollowStep step = m_tree.tick(directory(), now);
    for (const HostId &host : step.connectionsToReplace) {
        if (const HostRecord *record = directory().find(host))
            effects.connectionsToReplace.push_back(record->address);
    }
    if (!step.abandoned.isEmpty())
        effects.logs.push_back({ "parent_silent", { { "host", step.abandoned.value() } } });
    if (m_tree.parent() != before)
        effects.logs.push_back({ "parent_changed",
                                 { { "parent", m_tree.parent().value() },
                                   { "level", std::string(name(m_tree.level())) } } });
    if (!step.heartbeatTo.isEmpty())
        send(step.heartbeatTo, followRequest(true, now), effects);
}

void ControlPlane::compareWithOthers(absl::Time now, ControlEffects &effects)
{
    if (now >= m_nextCompare) {
        m_nextCompare = now + m_policy.comparePeriod;
        const auto members = directory().members(m_identity.zone);
        if (!members.empty())
            send(members[m_random.uniformBelow(members.size())]->host, followRequest(false, now),
                 effects);
    }
    if (!isRoot() || now < m_nextRootCompare)
        return;
    m_nextRootCompare = now + m_policy.rootPeriod;
    std::vector<ZoneId> zones = directory().zones();
    std::erase(zones, m_identity.zone);
    if (zones.empty())
        return;
    const ZoneId &zone = zones[m_random.uniformBelow(zones.size())];
    const auto roots = RelayTopology::rootsOf(directory(), zone, {});
    if (roots.empty())
        return;
    FollowRequest request = followRequest(false, now);
    request.reports = reports(now);
    send(roots[m_random.uniformBelow(roots.size())], std::move(request), effects);
}

void ControlPlane::contactSeeds(absl::Time now, ControlEffects &effects)
{
    if (m_identity.seeds.empty() || now < m_nextSeeds)
        return;
    const bool alone =
            directory().memberCount(m_identity.zone) <= 1 && directory().zones().size() <= 1;
    if (!alone)
        m_seedBackoff.succeeded();
    // Settled zones share the work of looking for nodes beyond a healed cut: together the nodes of
    // one zone contact a seed about once per SettledSeedPeriod.
    const auto sharers = static_cast<double>(directory().memberCount(m_identity.zone));
    m_nextSeeds = now
                  + (alone ? SeedBackoffBase + m_seedBackoff.failed(m_random)
                           : SettledSeedPeriod * sharers * (0.5 + m_random.uniformReal()));
    const auto contact = [&](const Address &seed) {
        if (seed == m_identity.address)
            return;
        effects.sends.push_back({ seed, RecordsOffer{ { m_presence.self() } } });
        effects.sends.push_back({ seed, followRequest(false, now) });
    };
    if (!alone) {
        contact(m_identity.seeds[m_random.uniformBelow(m_identity.seeds.size())]);
        return;
    }
    for (const Address &seed : m_identity.seeds)
        contact(seed);
}

void ControlPlane::maybePoll(absl::Time now, ControlEffects &effects)
{
    if (!isRoot() || (!m_peerAnswered && now < m_pollFrom))
        return;
    m_configuration.poll(now, effects);
}

void ControlPlane::updateReadiness(absl::Time now, ControlEffects &effects)
{
    if (m_ready || configuration().version() < m_configuration.newestKnown())
        return;
    const bool asked =
            (m_identity.seeds.empty() || m_peerAnswered)
            && (m_configuration.watcher().hasPolled() || configuration().version() > Version());
    if (!asked && now - m_started < m_policy.joinTimeout)
        return;
    m_ready = true;
    effects.logs.push_back({ "node_ready",
                             { { "version", absl::StrCat(configuration().version().value()) },
                               { "asked", asked ? "all" : "timeout" } } });
}

void ControlPlane::compileIfDirty(ControlEffects &effects)
{
    if (!m_tableDirty)
        return;
    m_tableDirty = false;
    effects.table = RoutingTable::compile(configuration().current(), directory(), m_identity.zone,
                                          m_identity.region);
}

void ControlPlane::configurationChanged(const ConfigurationChange &change, Version before,
                                        const Peer &from, absl::Time now, ControlEffects &effects)
{
    if (change.wantsSnapshot && !from.address.isEmpty())
        effects.sends.push_back({ from.address, SnapshotRequest{ configuration().version() } });
    if (change.publishedHere && change.step) {
        // The publisher tells every zone itself; its own zone hears it through the tree.
        const StepsOffer offer{ { *change.step } };
        for (const HostId &root : rootsOfOtherZones())
            send(root, offer, effects);
        for (const HostId &root :
             RelayTopology::rootsOf(directory(), m_identity.zone, m_tree.unreachable()))
            send(root, offer, effects);
    }
    if (!change.applied)
        return;
    m_tableDirty = true;
    effects.logs.push_back({ "version_applied",
                             { { "version", absl::StrCat(configuration().version().value()) },
                               { "from", absl::StrCat(before.value()) } } });
    for (auto &[host, follower] : m_tree.followers()) {
        if (host != from.host)
            offerTo(follower.address, follower.held, follower.refused, now, effects, nullptr);
    }
    m_tree.hurry();
    updateReadiness(now, effects);
    compileIfDirty(effects);
}

bool ControlPlane::offerSnapshot(const Address &address, Version above, absl::Time now,
                                 ControlEffects &effects)
{
    const Version own = configuration().version();
    if (above >= own)
        return true;
    const std::string &text = configuration().snapshotText();
    if (!m_snapshotBytes.tryTake(now, snapshotPrice()))
        return false;
    effects.sends.push_back(
            { address, SnapshotOffer{ { own, configuration().current()->digest, text } } });
    return true;
}

double ControlPlane::snapshotPrice() const
{
    return std::min(static_cast<double>(configuration().snapshotText().size()),
                    m_policy.snapshotBurstBytes);
}

void ControlPlane::offerTo(const Address &address, Version held, Version refused, absl::Time now,
                           ControlEffects &effects, FollowAnswer *answer)
{
    const Version own = configuration().version();
    if (held >= own || refused == own)
        return;
    std::vector<DeltaStep> steps = configuration().stepsSince(held);
    if (!steps.empty()) {
        effects.sends.push_back({ address, StepsOffer{ std::move(steps) } });
        return;
    }
    if (offerSnapshot(address, held, now, effects) || answer == nullptr)
        return;
    answer->isAdmitted = false;
    answer->retryAfter = m_snapshotBytes.waitFor(snapshotPrice())
                         + m_policy.follow.heartbeatPeriod * m_random.uniformReal();
}

} // namespace godwitlift
