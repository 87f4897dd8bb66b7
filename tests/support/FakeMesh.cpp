/// \file
/// Simulated network and checks of the invariants.
#include "FakeMesh.h"

#include "godwitlift/configuration/ConfigurationCodec.h"

#include <absl/strings/str_cat.h>

namespace godwitlift::test {

namespace {

constexpr absl::Duration TickPeriod = absl::Milliseconds(100);
constexpr absl::Duration SameZoneDelay = absl::Microseconds(300);
constexpr absl::Duration CrossZoneDelay = absl::Microseconds(1500);
constexpr absl::Duration MaxExtraDelay = absl::Seconds(2);
constexpr std::size_t SeedNodeCount = 3;

std::pair<std::string, std::string> orderedPair(const std::string &a, const std::string &b)
{
    return a < b ? std::make_pair(a, b) : std::make_pair(b, a);
}

} // namespace

FakeMesh::FakeMesh(std::uint64_t seed, ControlPolicy policy)
    : m_policy(policy)
    , m_random(seed)
{}

HostId FakeMesh::addNode(const std::string &zone)
{
    const std::size_t number = m_nodes.size();
    const HostId host(absl::StrCat("host-", number));
    FakeNode &node = m_nodes[host];
    node.identity.host = host;
    node.identity.zone = ZoneId(zone);
    node.identity.region = RegionId("region");
    node.identity.address = Address(absl::StrCat("10.0.0.", number, ":7400"));
    if (m_seedAddresses.size() < SeedNodeCount)
        m_seedAddresses.push_back(node.identity.address);
    m_hostByAddress[node.identity.address] = host;
    start(host);
    return host;
}

void FakeMesh::addNodes(const std::vector<std::string> &zones, int countPerZone)
{
    for (int i = 0; i < countPerZone; ++i) {
        for (const std::string &zone : zones)
            addNode(zone);
    }
}

void FakeMesh::start(const HostId &host)
{
    FakeNode &node = m_nodes.at(host);
    node.identity.seeds = m_seedAddresses;
    node.identity.incarnation =
            Incarnation(static_cast<std::uint64_t>(absl::ToUnixMillis(time.now())));
    node.random = std::make_unique<SeededRandom>(m_random.next());
    node.highestVersion = Version();
    node.routingTable.reset();
    node.isPaused = false;
    node.deferredInputs.clear();
    ++node.generation;
    std::string problem;
    auto plane = valueOrErrorText(
            [&] { return ControlPlane::create(node.identity, m_policy, time.now(), *node.random); },
            problem);
    node.plane = std::move(*plane);
    scheduleTick(host, node.generation);
}

void FakeMesh::scheduleTick(const HostId &host, std::uint64_t generation)
{
    time.scheduleAfter(TickPeriod * (0.9 + 0.2 * m_random.uniformReal()), [this, host, generation] {
        FakeNode &node = m_nodes.at(host);
        if (node.generation != generation || node.plane == nullptr)
            return;
        if (!node.isPaused)
            processInput(host, [this](ControlPlane &plane) { return plane.tick(time.now()); });
        scheduleTick(host, generation);
    });
}

void FakeMesh::processInput(const HostId &host,
                            const std::function<ControlEffects(ControlPlane &)> &input)
{
    FakeNode &node = m_nodes.at(host);
    if (node.plane == nullptr)
        return;
    if (node.isPaused) {
        node.deferredInputs.push_back([this, host, input] { processInput(host, input); });
        return;
    }
    ControlEffects effects = input(*node.plane);
    if (effects.routingTable != nullptr)
        node.routingTable = effects.routingTable;
    checkInvariants(host);
    execute(host, std::move(effects));
}

void FakeMesh::checkInvariants(const HostId &host)
{
    FakeNode &node = m_nodes.at(host);
    const Version currentVersion = node.plane->configuration().version();
    if (currentVersion < node.highestVersion)
        violations.push_back(absl::StrCat(host.value(), " went back from version ",
                                          node.highestVersion.value(), " to ",
                                          currentVersion.value()));
    if (currentVersion > node.highestVersion) {
        node.highestVersion = currentVersion;
        node.versionAppliedAt = time.now();
        const auto &current = node.plane->configuration().current();
        if (!current->content.validate().empty() || digestOf(current->content) != current->digest)
            violations.push_back(host.value() + " applied an invalid version");
    }
    if (node.routingTable == nullptr)
        return;
    for (const std::string &violation :
         node.routingTable->invariantViolations(node.plane->directory()))
        violations.push_back(host.value() + " has an inconsistent routing table: " + violation);
    if (node.routingTable->version() > currentVersion)
        violations.push_back(host.value() + " routes by a version that it does not hold");
}

void FakeMesh::execute(const HostId &host, ControlEffects effects)
{
    const FakeNode &node = m_nodes.at(host);
    for (const Address &address : effects.connectionsToReplace)
        m_droppingConnections.erase({ node.identity.address, address });
    for (const OutgoingMessage &message : effects.messages)
        send(node, message);
    for (const PlatformRequest &request : effects.platformRequests)
        sendToPlatform(node, request);
    for (OperatorAnswer &answer : effects.answers)
        operatorResults[answer.request] = std::move(answer.result);
}

void FakeMesh::send(const FakeNode &from, const OutgoingMessage &message)
{
    ++messageCountByKind[std::string(kindName(message.message))];
    const auto receiver = m_hostByAddress.find(message.to);
    if (receiver == m_hostByAddress.end() || m_random.uniformReal() < faults.lossProbability
        || m_droppingConnections.contains({ from.identity.address, message.to }))
        return;
    const FakeNode &target = m_nodes.at(receiver->second);
    const std::string fromZone = from.identity.zone.value();
    const std::string toZone = target.identity.zone.value();
    if (isPartitioned(fromZone, toZone))
        return;
    const int copies = m_random.uniformReal() < faults.duplicationProbability ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        absl::Duration delay = fromZone == toZone ? SameZoneDelay : CrossZoneDelay;
        delay += delay * m_random.uniformReal();
        if (m_random.uniformReal() < faults.extraDelayProbability)
            delay += MaxExtraDelay * m_random.uniformReal();
        const Peer peer{ from.identity.host, from.identity.address };
        time.scheduleAfter(delay, [this, peer, host = receiver->second, content = message.message] {
            processInput(host, [this, peer, content](ControlPlane &plane) {
                return plane.receive(peer, content, time.now());
            });
        });
    }
}

void FakeMesh::sendToPlatform(const FakeNode &from, const PlatformRequest &request)
{
    const HostId host = from.identity.host;
    const std::uint64_t generation = from.generation;
    if (isPartitioned(from.identity.zone.value(), "platform"))
        return;
    time.scheduleAfter(platform.latency / 2, [this, host, generation, request] {
        const auto answer = platform.execute(request, m_random);
        if (!answer)
            return;
        time.scheduleAfter(platform.latency / 2, [this, host, generation, answer = *answer] {
            if (m_nodes.at(host).generation == generation)
                processInput(host, [this, answer](ControlPlane &plane) {
                    return plane.onPlatformAnswer(answer, time.now());
                });
        });
    });
}

void FakeMesh::kill(const HostId &host)
{
    FakeNode &node = m_nodes.at(host);
    node.plane.reset();
    node.routingTable.reset();
    ++node.generation;
}

void FakeMesh::restart(const HostId &host)
{
    kill(host);
    start(host);
}

void FakeMesh::pause(const HostId &host)
{
    m_nodes.at(host).isPaused = true;
}

void FakeMesh::resume(const HostId &host)
{
    FakeNode &node = m_nodes.at(host);
    node.isPaused = false;
    std::vector<std::function<void()>> inputs;
    std::swap(inputs, node.deferredInputs);
    for (const auto &input : inputs)
        input();
}

void FakeMesh::partition(const std::string &a, const std::string &b)
{
    m_partitions.insert(orderedPair(a, b));
}

void FakeMesh::clearFaults()
{
    m_partitions.clear();
    m_droppingConnections.clear();
    faults = NetworkFaults();
    platform.isDown = false;
    platform.answerLossProbability = 0;
    platform.requestLossProbability = 0;
    platform.latency = absl::Milliseconds(5);
    for (const HostId &host : hosts()) {
        if (m_nodes.at(host).plane == nullptr)
            restart(host);
        if (m_nodes.at(host).isPaused)
            resume(host);
    }
}

bool FakeMesh::isPartitioned(const std::string &a, const std::string &b) const
{
    return m_partitions.contains(orderedPair(a, b));
}

void FakeMesh::dropMessages(const HostId &from, const HostId &to)
{
    m_droppingConnections.insert(
            { m_nodes.at(from).identity.address, m_nodes.at(to).identity.address });
}

void FakeMesh::announceBackendServer(const HostId &host, const std::string &service,
                                     bool isDraining)
{
    Announcement announcement;
    announcement.id = BackendServerId(service + "-1");
    announcement.service = ServiceId(service);
    announcement.address = Address("127.0.0.1:8080");
    announcement.slots = 20;
    announcement.isDraining = isDraining;
    processInput(host, [this, announcement](ControlPlane &plane) {
        return plane.announceBackendServer(announcement, time.now());
    });
}

OperatorRequestId FakeMesh::publish(const HostId &host, const ConfigurationDelta &delta,
                                    const std::string &author)
{
    const auto current = m_nodes.at(host).plane->configuration().current();
    std::string problem;
    const auto plan = valueOrErrorText([&] { return Plan::make(*current, delta); }, problem);
    if (!plan) {
        operatorResults[OperatorRequestId(m_nextRequest)] =
                PublicationOutcome(PlanRejected{ problem });
        return OperatorRequestId(m_nextRequest++);
    }
    Confirmation confirmation;
    confirmation.operation = OperationId(absl::StrCat("op-", m_nextRequest));
    confirmation.author = author;
    confirmation.note = "-";
    confirmation.baseVersion = plan->baseVersion();
    confirmation.delta = delta;
    confirmation.changesDigest = plan->changesDigest();
    return confirm(host, std::move(confirmation));
}

OperatorRequestId FakeMesh::confirm(const HostId &host, Confirmation confirmation)
{
    const OperatorRequestId request(m_nextRequest++);
    processInput(host, [this, request, confirmation](ControlPlane &plane) {
        return plane.confirm(request, confirmation, time.now());
    });
    return request;
}

std::vector<HostId> FakeMesh::hosts() const
{
    std::vector<HostId> all;
    for (const auto &entry : m_nodes)
        all.push_back(entry.first);
    return all;
}

std::vector<HostId> FakeMesh::hostsInZone(const std::string &zone) const
{
    std::vector<HostId> found;
    for (const auto &[host, node] : m_nodes) {
        if (node.identity.zone.value() == zone)
            found.push_back(host);
    }
    return found;
}

bool FakeMesh::allNodesHold(Version version) const
{
    for (const auto &entry : m_nodes) {
        const auto &plane = entry.second.plane;
        if (plane != nullptr && plane->configuration().version() != version)
            return false;
    }
    return true;
}

bool FakeMesh::allAgreeOnHostRecords() const
{
    std::set<std::uint64_t> digests;
    for (const auto &entry : m_nodes) {
        if (entry.second.plane != nullptr)
            digests.insert(entry.second.plane->directory().digest());
    }
    return digests.size() <= 1;
}

ConfigurationDelta serviceDelta(const std::string &service, int variant)
{
    ConfigurationDelta delta;
    Rank rank;
    rank.id = RankId("lookups");
    rank.floorShare = 0.2;
    delta.puts.ranks[rank.id] = rank;
    Service object;
    object.id = ServiceId(service);
    object.slowStart = absl::Milliseconds(variant);
    delta.puts.services[object.id] = object;
    Route route;
    route.id = RouteId(service);
    route.pathPrefix = "/" + service;
    route.service = object.id;
    route.rank = rank.id;
    route.deadline = absl::Seconds(1);
    route.stallTimeout = absl::Seconds(1);
    route.requestLimitBytes = 1024;
    delta.puts.routes[route.id] = route;
    return delta;
}

} // namespace godwitlift::test
