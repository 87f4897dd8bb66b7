/// \file
/// Fake network and invariants.
#include "FakeMesh.h"

#include "godwitlift/configuration/ConfigurationCodec.h"

#include <absl/strings/str_cat.h>

namespace godwitlift::test {

namespace {

constexpr absl::Duration TickPeriod = absl::Milliseconds(100);
constexpr absl::Duration NearDelay = absl::Microseconds(300);
constexpr absl::Duration FarDelay = absl::Microseconds(1500);
constexpr absl::Duration Lateness = absl::Seconds(2);
constexpr std::size_t SeedCount = 3;

std::pair<std::string, std::string> ordered(const std::string &a, const std::string &b)
{
    return a < b ? std::make_pair(a, b) : std::make_pair(b, a);
}

} // namespace

FakeMesh::FakeMesh(std::uint64_t seed, ControlPolicy policy)
    : m_policy(policy)
    , m_random(seed)
{}

HostId FakeMesh::add(const std::string &zone)
{
    const std::size_t number = m_nodes.size();
    const HostId host(absl::StrCat("host-", number));
    FakeNode &node = m_nodes[host];
    node.identity.host = host;
    node.identity.zone = ZoneId(zone);
    node.identity.region = RegionId("region");
    node.identity.address = Address(absl::StrCat("10.0.0.", number, ":7400"));
    if (m_seeds.size() < SeedCount)
        m_seeds.push_back(node.identity.address);
    m_byAddress[node.identity.address] = host;
    start(host);
    return host;
}

void FakeMesh::addZones(const std::vector<std::string> &zones, int count)
{
    for (int i = 0; i < count; ++i) {
        for (const std::string &zone : zones)
            add(zone);
    }
}

void FakeMesh::start(const HostId &host)
{
    FakeNode &node = m_nodes.at(host);
    node.identity.seeds = m_seeds;
    node.identity.incarnation =
            Incarnation(static_cast<std::uint64_t>(absl::ToUnixMillis(time.now())));
    node.random = std::make_unique<SeededRandom>(m_random.next());
    node.highest = Version();
    node.table.reset();
    node.isPaused = false;
    node.delayed.clear();
    ++node.life;
    std::string problem;
    auto plane = valueOrErrorText(
            [&] { return ControlPlane::create(node.identity, m_policy, time.now(), *node.random); },
            problem);
    node.plane = std::move(*plane);
    scheduleTick(host, node.life);
}

void FakeMesh::scheduleTick(const HostId &host, std::uint64_t life)
{
    time.scheduleAfter(TickPeriod * (0.9 + 0.2 * m_random.uniformReal()), [this, host, life] {
        FakeNode &node = m_nodes.at(host);
        if (node.life != life || node.plane == nullptr)
            return;
        if (!node.isPaused)
            feed(host, [this](ControlPlane &plane) { return plane.tick(time.now()); });
        scheduleTick(host, life);
    });
}

void FakeMesh::feed(const HostId &host, const std::function<ControlEffects(ControlPlane &)> &input)
{
    FakeNode &node = m_nodes.at(host);
    if (node.plane == nullptr)
        return;
    if (node.isPaused) {
        node.delayed.push_back([this, host, input] { feed(host, input); });
        return;
    }
    ControlEffects effects = input(*node.plane);
    if (effects.routingTable != nullptr)
        node.table = effects.routingTable;
    check(host);
    carryOut(host, std::move(effects));
}

void FakeMesh::check(const HostId &host)
{
    FakeNode &node = m_nodes.at(host);
    const Version held = node.plane->configuration().version();
    if (held < node.highest)
        violations.push_back(absl::StrCat(host.value(), " fell from ", node.highest.value(), " to ",
                                          held.value()));
    if (held > node.highest) {
        node.highest = held;
        node.appliedAt = time.now();
        const auto &current = node.plane->configuration().current();
        if (!current->content.validate().empty() || digestOf(current->content) != current->digest)
            violations.push_back(host.value() + " applied a bad version");
    }
    if (node.table == nullptr)
        return;
    for (const std::string &end : node.table->invariantViolations(node.plane->directory()))
        violations.push_back(host.value() + " has an open table: " + end);
    if (node.table->version() > held)
        violations.push_back(host.value() + " routes by a version it does not hold");
}

void FakeMesh::carryOut(const HostId &host, ControlEffects effects)
{
    const FakeNode &node = m_nodes.at(host);
    for (const Address &address : effects.connectionsToReplace)
        m_silent.erase({ node.identity.address, address });
    for (const OutgoingMessage &message : effects.messages)
        send(node, message);
    for (const PlatformRequest &request : effects.platformRequests)
        ask(node, request);
    for (OperatorAnswer &answer : effects.answers)
        replies[answer.request] = std::move(answer.result);
}

void FakeMesh::send(const FakeNode &from, const OutgoingMessage &message)
{
    ++messagesByKind[std::string(kindName(message.message))];
    const auto to = m_byAddress.find(message.to);
    if (to == m_byAddress.end() || m_random.uniformReal() < faults.loss
        || m_silent.contains({ from.identity.address, message.to }))
        return;
    const FakeNode &target = m_nodes.at(to->second);
    const std::string fromZone = from.identity.zone.value();
    const std::string toZone = target.identity.zone.value();
    if (isCut(fromZone, toZone))
        return;
    const int copies = m_random.uniformReal() < faults.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        absl::Duration delay = fromZone == toZone ? NearDelay : FarDelay;
        delay += delay * m_random.uniformReal();
        if (m_random.uniformReal() < faults.lateness)
            delay += Lateness * m_random.uniformReal();
        const Peer peer{ from.identity.host, from.identity.address };
        time.scheduleAfter(delay, [this, peer, host = to->second, text = message.message] {
            feed(host, [this, peer, text](ControlPlane &plane) {
                return plane.receive(peer, text, time.now());
            });
        });
    }
}

void FakeMesh::ask(const FakeNode &from, const PlatformRequest &request)
{
    const HostId host = from.identity.host;
    const std::uint64_t life = from.life;
    if (isCut(from.identity.zone.value(), "platform"))
        return;
    time.scheduleAfter(platform.delay / 2, [this, host, life, request] {
        const auto answer = platform.execute(request, m_random);
        if (!answer)
            return;
        time.scheduleAfter(platform.delay / 2, [this, host, life, answer = *answer] {
            if (m_nodes.at(host).life == life)
                feed(host, [this, answer](ControlPlane &plane) {
                    return plane.onPlatformAnswer(answer, time.now());
                });
        });
    });
}

void FakeMesh::kill(const HostId &host)
{
    FakeNode &node = m_nodes.at(host);
    node.plane.reset();
    node.table.reset();
    ++node.life;
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
    std::vector<std::function<void()>> delayed;
    std::swap(delayed, node.delayed);
    for (const auto &input : delayed)
        input();
}

void FakeMesh::cut(const std::string &a, const std::string &b)
{
    m_cuts.insert(ordered(a, b));
}

void FakeMesh::heal()
{
    m_cuts.clear();
    m_silent.clear();
    faults = NetworkFaults();
    platform.isDown = false;
    platform.loseAnswers = 0;
    platform.loseRequests = 0;
    platform.delay = absl::Milliseconds(5);
    for (const HostId &host : hosts()) {
        if (m_nodes.at(host).plane == nullptr)
            restart(host);
        if (m_nodes.at(host).isPaused)
            resume(host);
    }
}

bool FakeMesh::isCut(const std::string &a, const std::string &b) const
{
    return m_cuts.contains(ordered(a, b));
}

void FakeMesh::silence(const HostId &from, const HostId &to)
{
    m_silent.insert({ m_nodes.at(from).identity.address, m_nodes.at(to).identity.address });
}

void FakeMesh::announce(const HostId &host, const std::string &service, bool draining)
{
    Announcement announcement;
    announcement.id = BackendServerId(service + "-1");
    announcement.service = ServiceId(service);
    announcement.address = Address("127.0.0.1:8080");
    announcement.slots = 20;
    announcement.isDraining = draining;
    feed(host, [this, announcement](ControlPlane &plane) {
        return plane.announceBackendServer(announcement, time.now());
    });
}

OperatorRequestId FakeMesh::publish(const HostId &host, const ConfigurationDelta &delta,
                                    const std::string &author)
{
    const auto held = m_nodes.at(host).plane->configuration().current();
    std::string problem;
    const auto plan = valueOrErrorText([&] { return Plan::make(*held, delta); }, problem);
    if (!plan) {
        replies[OperatorRequestId(m_nextRequest)] = PublicationOutcome(PlanRejected{ problem });
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
    feed(host, [this, request, confirmation](ControlPlane &plane) {
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

std::vector<HostId> FakeMesh::hostsOf(const std::string &zone) const
{
    std::vector<HostId> found;
    for (const auto &[host, node] : m_nodes) {
        if (node.identity.zone.value() == zone)
            found.push_back(host);
    }
    return found;
}

bool FakeMesh::allHold(Version version) const
{
    for (const auto &entry : m_nodes) {
        const auto &plane = entry.second.plane;
        if (plane != nullptr && plane->configuration().version() != version)
            return false;
    }
    return true;
}

bool FakeMesh::allAgreeOnPresence() const
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
