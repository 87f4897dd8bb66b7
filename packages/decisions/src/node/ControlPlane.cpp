/// \file
/// Timers, dissemination of host records and distribution of the configuration.
#include "godwitlift/node/ControlPlane.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace godwitlift {

namespace {

constexpr absl::Duration MinSeedBackoff = absl::Milliseconds(500);
constexpr absl::Duration MaxSeedBackoff = absl::Seconds(10);
constexpr absl::Duration ZoneSeedContactPeriod = absl::Seconds(5);
constexpr absl::Duration RecordExpiryPeriod = absl::Minutes(1);

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
    , m_relayTreeNode(m_identity.host, m_identity.zone, policy.relayTree)
    , m_snapshotBucket(policy.snapshotBytesPerSecond, policy.snapshotBurstBytes)
    , m_seedBackoff(MinSeedBackoff, MaxSeedBackoff)
    , m_startTime(now)
    , m_firstPollTime(m_identity.seeds.empty()
                              ? now
                              : now + policy.initialPollDelay
                                        + policy.initialPollDelay * random.uniformReal())
    , m_nextAntiEntropy(now + policy.antiEntropyPeriod * random.uniformReal())
    , m_nextRootAntiEntropy(now + policy.rootAntiEntropyPeriod * random.uniformReal())
    , m_nextRecordExpiry(now + RecordExpiryPeriod)
{}

std::vector<BackendServer> ControlPlane::ownBackendServers() const
{
    return m_presence.ownRecord().backendServers;
}

void ControlPlane::send(const HostId &to, PeerMessage message, ControlEffects &effects) const
{
    const HostRecord *record = directory().find(to);
    if (record != nullptr && to != m_identity.host)
        effects.messages.push_back({ record->address, std::move(message) });
}

std::vector<HostId> ControlPlane::rootsOfOtherZones() const
{
    const std::set<HostId> unreachable = m_relayTreeNode.unreachableHosts();
    std::vector<HostId> firstRoots;
    for (const ZoneId &zone : directory().zones()) {
        if (zone == m_identity.zone)
            continue;
        const auto roots = RelayTopology::rootsOf(directory(), zone, unreachable);
        if (!roots.empty())
            firstRoots.push_back(roots.front());
    }
    return firstRoots;
}

void ControlPlane::queueForDissemination(const std::vector<HostRecord> &records, const HostId &from)
{
    const HostRecord *sender = directory().find(from);
    const bool isFromOwnZone = sender == nullptr || sender->zone == m_identity.zone;
    for (const HostRecord &record : records)
        m_pendingRecords.insert_or_assign(record.host,
                                          PendingRecord{ record, from, isFromOwnZone });
    m_routingTableDirty = m_routingTableDirty || !records.empty();
}

void ControlPlane::sendPendingRecords(const HostId &to, bool isOwnZoneOnly,
                                      ControlEffects &effects) const
{
    std::vector<HostRecord> records;
    for (const auto &entry : m_pendingRecords) {
        const PendingRecord &pending = entry.second;
        if (pending.from != to && (pending.isFromOwnZone || !isOwnZoneOnly))
            records.push_back(pending.record);
    }
    for (PeerMessage &offer : makeRecordsOffers(records))
        send(to, std::move(offer), effects);
}

void ControlPlane::flushPendingRecords(ControlEffects &effects)
{
    if (m_pendingRecords.empty())
        return;
    std::set<HostId> neighbours;
    for (const auto &entry : m_relayTreeNode.followers())
        neighbours.insert(entry.first);
    neighbours.insert(m_relayTreeNode.parent());
    for (const HostId &neighbour : neighbours)
        sendPendingRecords(neighbour, false, effects);
    if (isRoot()) {
        for (const HostId &root : rootsOfOtherZones())
            sendPendingRecords(root, true, effects);
    }
    m_pendingRecords.clear();
}

void ControlPlane::onOwnRecordChange(const HostRecord &record)
{
    queueForDissemination({ record }, m_identity.host);
}

LaggingHost ControlPlane::ownVersionStatus() const
{
    LaggingHost own;
    own.host = m_identity.host;
    own.heldVersion = configuration().version();
    if (const auto &refused = configuration().latestRefusal()) {
        own.refusedVersion = refused->version;
        own.problem = refused->problem.substr(0, 200);
    }
    return own;
}

std::vector<ZoneReport> ControlPlane::zoneReports(absl::Time now) const
{
    FleetReports merged = m_fleetReports;
    // Only the first root, which has no parent, receives reports from the whole zone.
    if (m_relayTreeNode.parent().isEmpty())
        merged.merge(FleetReports::aggregateSubtree(m_identity.zone, ownVersionStatus(),
                                                    m_relayTreeNode.followers(), now));
    return merged.newestReports();
}

FollowRequest ControlPlane::makeFollowRequest(bool isFollower, absl::Time now) const
{
    FollowRequest request;
    request.isFollower = isFollower;
    request.heldVersion = configuration().version();
    request.refusedVersion = m_configuration.refusedVersion();
    request.presenceDigest = directory().digest();
    if (isFollower)
        request.reports = { FleetReports::aggregateSubtree(m_identity.zone, ownVersionStatus(),
                                                           m_relayTreeNode.followers(), now) };
    return request;
}

ControlEffects ControlPlane::tick(absl::Time now)
{
    ControlEffects effects;
    if (m_presence.backendServers().expire(now))
        onOwnRecordChange(m_presence.reissueOwnRecord(now));
    if (now >= m_nextRecordExpiry) {
        m_nextRecordExpiry = now + RecordExpiryPeriod;
        m_presence.removeExpiredTombstones(now);
    }
    runFailureDetector(now, effects);
    sendHeartbeat(now, effects);
    runAntiEntropy(now, effects);
    contactSeeds(now, effects);
    pollPlatformIfRoot(now, effects);
    const Version previousVersion = configuration().version();
    onConfigurationChange(m_configuration.expireRequests(now, effects), previousVersion, {}, now,
                          effects);
    expireStatusRequests(now, effects);
    updateReadiness(now, effects);
    flushPendingRecords(effects);
    rebuildRoutingTableIfDirty(effects);
    return effects;
}

void ControlPlane::runFailureDetector(absl::Time now, ControlEffects &effects)
{
    const FailureDetectorActions actions = m_detector.tick(directory(), now, m_random);
    for (const OutgoingProbe &probe : actions.probes)
        send(probe.to, Probe{ probe.number, probe.target, m_identity.host }, effects);
    for (const HostRecord &update : actions.livenessUpdates) {
        const bool isDead = update.stamp.liveness == Liveness::Dead;
        effects.logs.push_back(
                { isDead ? "host_dead" : "host_suspect", { { "host", update.host.value() } } });
        queueForDissemination(m_presence.merge({ update }, now), m_identity.host);
    }
}

void ControlPlane::sendHeartbeat(absl::Time now, ControlEffects &effects)
{
    const HostId previousParent = m_relayTreeNode.parent();
    const RelayTreeActions actions = m_relayTreeNode.tick(directory(), now);
    for (const HostId &host : actions.connectionsToReplace) {
        if (const HostRecord *record = directory().find(host))
            effects.connectionsToReplace.push_back(record->address);
    }
    if (!actions.unreachableParent.isEmpty())
        effects.logs.push_back(
                { "parent_silent", { { "host", actions.unreachableParent.value() } } });
    if (m_relayTreeNode.parent() != previousParent)
        effects.logs.push_back({ "parent_changed",
                                 { { "parent", m_relayTreeNode.parent().value() },
                                   { "level", std::string(name(m_relayTreeNode.level())) } } });
    if (!actions.heartbeatTo.isEmpty())
        send(actions.heartbeatTo, makeFollowRequest(true, now), effects);
}

void ControlPlane::runAntiEntropy(absl::Time now, ControlEffects &effects)
{
    if (now >= m_nextAntiEntropy) {
        m_nextAntiEntropy = now + m_policy.antiEntropyPeriod;
        const auto members = directory().members(m_identity.zone);
        if (!members.empty())
            send(members[m_random.uniformBelow(members.size())]->host,
                 makeFollowRequest(false, now), effects);
    }
    if (!isRoot() || now < m_nextRootAntiEntropy)
        return;
    m_nextRootAntiEntropy = now + m_policy.rootAntiEntropyPeriod;
    std::vector<ZoneId> zones = directory().zones();
    std::erase(zones, m_identity.zone);
    if (zones.empty())
        return;
    const ZoneId &zone = zones[m_random.uniformBelow(zones.size())];
    const auto roots = RelayTopology::rootsOf(directory(), zone, {});
    if (roots.empty())
        return;
    FollowRequest request = makeFollowRequest(false, now);
    request.reports = zoneReports(now);
    send(roots[m_random.uniformBelow(roots.size())], std::move(request), effects);
}

void ControlPlane::contactSeeds(absl::Time now, ControlEffects &effects)
{
    if (m_identity.seeds.empty() || now < m_nextSeedContact)
        return;
    const bool isAlone =
            directory().memberCount(m_identity.zone) <= 1 && directory().zones().size() <= 1;
    if (!isAlone)
        m_seedBackoff.reset();
    // Nodes on the other side of a healed partition are found by contacting seeds. The nodes of a
    // zone share this task: together they contact a seed about once per ZoneSeedContactPeriod.
    const auto zoneMemberCount = static_cast<double>(directory().memberCount(m_identity.zone));
    m_nextSeedContact =
            now
            + (isAlone ? MinSeedBackoff + m_seedBackoff.delayAfterFailure(m_random)
                       : ZoneSeedContactPeriod * zoneMemberCount * (0.5 + m_random.uniformReal()));
    const auto contact = [&](const Address &seed) {
        if (seed == m_identity.address)
            return;
        effects.messages.push_back({ seed, RecordsOffer{ { m_presence.ownRecord() } } });
        effects.messages.push_back({ seed, makeFollowRequest(false, now) });
    };
    if (!isAlone) {
        contact(m_identity.seeds[m_random.uniformBelow(m_identity.seeds.size())]);
        return;
    }
    for (const Address &seed : m_identity.seeds)
        contact(seed);
}

void ControlPlane::pollPlatformIfRoot(absl::Time now, ControlEffects &effects)
{
    if (!isRoot() || (!m_hasPeerAnswered && now < m_firstPollTime))
        return;
    m_configuration.pollIfDue(now, effects);
}

void ControlPlane::updateReadiness(absl::Time now, ControlEffects &effects)
{
    if (m_isReady || configuration().version() < m_configuration.newestKnownVersion())
        return;
    const bool hasRequiredAnswers = (m_identity.seeds.empty() || m_hasPeerAnswered)
                                    && (m_configuration.poller().hasCompletedPoll()
                                        || configuration().version() > Version());
    if (!hasRequiredAnswers && now - m_startTime < m_policy.joinTimeout)
        return;
    m_isReady = true;
    effects.logs.push_back({ "node_ready",
                             { { "version", absl::StrCat(configuration().version().value()) },
                               { "asked", hasRequiredAnswers ? "all" : "timeout" } } });
}

void ControlPlane::rebuildRoutingTableIfDirty(ControlEffects &effects)
{
    if (!m_routingTableDirty)
        return;
    m_routingTableDirty = false;
    effects.routingTable = RoutingTable::compile(configuration().current(), directory(),
                                                 m_identity.zone, m_identity.region);
}

void ControlPlane::onConfigurationChange(const ConfigurationChange &change, Version previousVersion,
                                         const Peer &from, absl::Time now, ControlEffects &effects)
{
    if (change.needsSnapshot && !from.address.isEmpty())
        effects.messages.push_back({ from.address, SnapshotRequest{ configuration().version() } });
    if (change.publishedLocally && change.step) {
        // The publisher sends the step to a root of every other zone and to all roots of its own
        // zone, which relay it through the tree.
        const StepsOffer offer{ { *change.step } };
        for (const HostId &root : rootsOfOtherZones())
            send(root, offer, effects);
        for (const HostId &root : RelayTopology::rootsOf(directory(), m_identity.zone,
                                                         m_relayTreeNode.unreachableHosts()))
            send(root, offer, effects);
    }
    if (!change.applied)
        return;
    m_routingTableDirty = true;
    effects.logs.push_back({ "version_applied",
                             { { "version", absl::StrCat(configuration().version().value()) },
                               { "from", absl::StrCat(previousVersion.value()) } } });
    for (auto &[host, follower] : m_relayTreeNode.followers()) {
        if (host != from.host)
            offerConfiguration(follower.address, follower.heldVersion, follower.refusedVersion, now,
                               effects, nullptr);
    }
    m_relayTreeNode.makeHeartbeatDue();
    updateReadiness(now, effects);
    rebuildRoutingTableIfDirty(effects);
}

bool ControlPlane::offerSnapshot(const Address &address, Version aboveVersion, absl::Time now,
                                 ControlEffects &effects)
{
    const Version currentVersion = configuration().version();
    if (aboveVersion >= currentVersion)
        return true;
    const std::string &text = configuration().snapshotText();
    if (!m_snapshotBucket.tryConsume(now, snapshotTokenCost()))
        return false;
    effects.messages.push_back(
            { address,
              SnapshotOffer{ { currentVersion, configuration().current()->digest, text } } });
    return true;
}

double ControlPlane::snapshotTokenCost() const
{
    return std::min(static_cast<double>(configuration().snapshotText().size()),
                    m_policy.snapshotBurstBytes);
}

void ControlPlane::offerConfiguration(const Address &address, Version heldVersion,
                                      Version refusedVersion, absl::Time now,
                                      ControlEffects &effects, FollowAnswer *answer)
{
    const Version currentVersion = configuration().version();
    if (heldVersion >= currentVersion || refusedVersion == currentVersion)
        return;
    std::vector<DeltaStep> steps = configuration().stepsSince(heldVersion);
    if (!steps.empty()) {
        effects.messages.push_back({ address, StepsOffer{ std::move(steps) } });
        return;
    }
    if (offerSnapshot(address, heldVersion, now, effects) || answer == nullptr)
        return;
    answer->isAdmitted = false;
    answer->retryAfter = m_snapshotBucket.timeUntilAvailable(snapshotTokenCost())
                         + m_policy.relayTree.heartbeatPeriod * m_random.uniformReal();
}

} // namespace godwitlift
