/// \file
/// Steps of the scripted session.
#include "Session.h"

#include "godwitlift/configuration/ConfigurationCodec.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace godwitlift::test {

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr absl::Duration ConvergenceTime = absl::Seconds(15);
constexpr absl::Duration PropagationTime = absl::Seconds(2);
constexpr absl::Duration PropagationBound = absl::Seconds(4);
constexpr absl::Duration HeartbeatPeriod = absl::Seconds(1);
constexpr absl::Duration TimeStep = absl::Milliseconds(10);

} // namespace

/// Ingress and gates of one host.
struct Session::ServingState final : public MemberLookup
{
    const FakeNode &node;
    SeededRandom random;
    Ingress ingress;
    HostGates gates;

    ServingState(const FakeNode &fakeNode, std::uint64_t seed)
        : node(fakeNode)
        , random(seed)
        , ingress(fakeNode.identity.host, fakeNode.identity.incarnation, {}, *this, random)
    {}
    std::optional<MemberHost> find(const HostId &host) const override
    {
        const HostRecord *record = node.plane->directory().find(host);
        if (record == nullptr || !record->isMember())
            return std::nullopt;
        return MemberHost{ record->address, record->stamp.incarnation };
    }
};

Session::Session(const std::vector<std::string> &zones, int hostsPerZone)
    : m_mesh(Seed)
{
    m_mesh.addNodes(zones, hostsPerZone);
    m_mesh.time.runFor(ConvergenceTime);
    for (const HostId &host : m_mesh.hosts()) {
        const FakeNode &node = m_mesh.node(host);
        appendLine(absl::StrFormat("node host=%s zone=%s ready=%d level=%s parent=%s knows=%d",
                                   host.value(), node.identity.zone.value(), node.plane->isReady(),
                                   std::string(name(node.plane->relayTreeNode().level())),
                                   node.plane->relayTreeNode().parent().value(),
                                   node.plane->directory().records().size()));
    }
}

Session::~Session() = default;

void Session::appendLine(const std::string &text)
{
    absl::StrAppend(&m_transcript, text, "\n");
}

void Session::advanceTime(absl::Duration duration)
{
    const absl::Time end = m_mesh.time.now() + duration;
    while (m_mesh.time.now() < end) {
        m_mesh.time.runFor(std::min(HeartbeatPeriod, end - m_mesh.time.now()));
        for (const auto &[host, service] : m_serviceByHost)
            m_mesh.announceBackendServer(host, service);
    }
}

Session::ServingState &Session::servingState(const HostId &host)
{
    auto &entry = m_servingStates[host];
    if (entry == nullptr)
        entry = std::make_unique<ServingState>(m_mesh.node(host), Seed + m_servingStates.size());
    return *entry;
}

void Session::updateServingStates()
{
    for (const HostId &host : m_mesh.hosts()) {
        const FakeNode &node = m_mesh.node(host);
        if (node.plane == nullptr || node.routingTable == nullptr)
            continue;
        ServingState &local = servingState(host);
        local.ingress.setRoutingTable(node.routingTable);
        local.gates.updateServers(node.plane->ownBackendServers(), *node.routingTable,
                                  m_mesh.time.now());
    }
}

void Session::announceBackendServer(const HostId &host, const std::string &service)
{
    m_mesh.announceBackendServer(host, service);
    m_serviceByHost[host] = service;
    appendLine(absl::StrFormat("announce host=%s service=%s", host.value(), service));
}

void Session::publish(const HostId &host, const Configuration &target)
{
    advanceTime(PropagationTime); // Until earlier announcements have reached all nodes.
    const ControlPlane &plane = *m_mesh.node(host).plane;
    std::string problem;
    const auto plan = valueOrErrorText([&] { return plane.planReplacement(target); }, problem);
    if (!plan) {
        appendLine(absl::StrFormat("plan refused problem=%s", problem));
        return;
    }
    appendLine(absl::StrFormat("plan base=%d digest=%s changes=%d", plan->baseVersion().value(),
                               plan->digest().value(), plan->changes().size()));
    for (const PlannedChange &change : plan->changes())
        appendLine(absl::StrFormat("  %s %s", std::string(name(change.kind)), change.item.text()));
    if (plan->isEmpty())
        return;
    Confirmation confirmation;
    confirmation.operation = OperationId(absl::StrCat("session-", m_nextOperation++));
    confirmation.author = "dispatcher";
    confirmation.note = "session";
    confirmation.baseVersion = plan->baseVersion();
    confirmation.delta = plan->delta();
    confirmation.changesDigest = plan->changesDigest();
    const absl::Time startTime = m_mesh.time.now();
    const OperatorRequestId request = m_mesh.confirm(host, confirmation);
    const Version newVersion = plan->baseVersion().next();
    while (!m_mesh.allNodesHold(newVersion) && m_mesh.time.now() - startTime < PropagationBound)
        m_mesh.time.runFor(TimeStep);
    const auto &outcome = std::get<PublicationOutcome>(m_mesh.operatorResults.at(request));
    const auto *published = std::get_if<Published>(&outcome);
    appendLine(absl::StrFormat("confirm published=%d digest=%s in_force_everywhere=%d after_ms=%d",
                               published == nullptr ? 0 : published->record.version.value(),
                               published == nullptr ? "-" : published->record.digest.value(),
                               m_mesh.allNodesHold(newVersion),
                               absl::ToInt64Milliseconds(m_mesh.time.now() - startTime)));
}

void Session::call(const HostId &ingress, const std::string &path, const std::string &key)
{
    updateServingStates();
    CallHead head;
    head.call = CallId(m_nextCall++);
    head.path = path;
    head.caller = CallerId("caller");
    head.key = IdempotencyKey(key);
    head.fingerprint = 1;
    head.retriesLeft = ChainRetryLimit;
    appendLine(absl::StrFormat("call %d via=%s path=%s%s", head.call.value(), ingress.value(), path,
                               key.empty() ? "" : " key=" + key));
    execute(ingress, servingState(ingress).ingress.onCall(head, m_mesh.time.now()));
    m_mesh.time.runFor(TimeStep);
}

void Session::execute(const HostId &host, const IngressActions &actions)
{
    for (const CallRefusal &refusal : actions.refusals)
        appendLine(absl::StrFormat("  call %d refused verdict=%s reason=%s", refusal.call.value(),
                                   std::string(name(refusal.verdict)),
                                   std::string(name(refusal.reason))));
    for (const ReplayAction &action : actions.replays)
        appendLine(absl::StrFormat("  call %d answered from the ledger status=%d",
                                   action.call.value(), action.answer.status));
    for (const CallId call : actions.completions)
        appendLine(absl::StrFormat("  call %d answered", call.value()));
    for (const PlatformRequest &request : actions.platformRequests) {
        const auto answer = m_mesh.platform.execute(request, m_mesh.random());
        appendLine(absl::StrFormat("  platform %s", std::string(name(answer->outcome))));
        execute(host, servingState(host).ingress.onPlatformAnswer(*answer, m_mesh.time.now()));
    }
    for (const RelayAction &action : actions.relays)
        appendLine(absl::StrFormat("  call %d relayed to the key's owner %s", action.call.value(),
                                   action.owner.value()));
    for (const ForwardAction &action : actions.forwards)
        forward(host, action);
}

void Session::forward(const HostId &from, const ForwardAction &action)
{
    appendLine(absl::StrFormat("  call %d forwarded to=%s rank=%s", action.call.value(),
                               action.target.host.value(), action.rank.value()));
    HostGates &gates = servingState(action.target.host).gates;
    const AttemptId localAttempt(m_nextLocalAttempt++);
    const absl::Time now = m_mesh.time.now();
    const HostGateActions gateActions = gates.submit(
            { localAttempt, action.target.server, action.rank, action.caller, action.deadline },
            now);
    AttemptReport report;
    report.attempt = action.attempt;
    if (!gateActions.starts.empty()) {
        gates.onRunEnded(localAttempt, RunOutcome::Answered, now);
        report.verdict = Verdict::Ran;
        report.answer.status = 200;
    } else {
        report.verdict = Verdict::NotRun;
        report.reason = gateActions.refusals.front().reason;
        appendLine(absl::StrFormat("  gate refused reason=%s", std::string(name(report.reason))));
    }
    execute(from, servingState(from).ingress.onAttemptEnded(report, now));
}

void Session::drain(const HostId &host, const std::string &service)
{
    updateServingStates();
    m_mesh.announceBackendServer(host, service, true);
    appendLine(absl::StrFormat("drain host=%s service=%s", host.value(), service));
    advanceTime(PropagationTime);
    std::size_t targetCount = 0;
    for (const auto &entry : m_mesh.nodes()) {
        const ServiceTargets *targets = entry.second.routingTable->targets(ServiceId(service));
        for (const auto &list : targets->byProximity)
            targetCount += std::count_if(list.begin(), list.end(),
                                         [&](const Target &target) { return target.host == host; });
    }
    appendLine(absl::StrFormat("  tables that still name it: %d", targetCount));
}

void Session::shutDown(const HostId &host)
{
    m_mesh.processInput(
            host, [&](ControlPlane &plane) { return plane.beginShutdown(m_mesh.time.now()); });
    advanceTime(PropagationTime);
    m_mesh.processInput(host, [&](ControlPlane &plane) { return plane.leave(m_mesh.time.now()); });
    advanceTime(PropagationTime);
    m_mesh.kill(host);
    m_serviceByHost.erase(host);
    std::size_t members = 0;
    for (const auto &entry : m_mesh.nodes()) {
        if (entry.second.plane != nullptr && entry.second.plane->directory().find(host)->isMember())
            ++members;
    }
    appendLine(absl::StrFormat("shutdown host=%s, nodes that still take it for a member: %d",
                               host.value(), members));
    if (!m_mesh.violations.empty())
        appendLine("violation " + m_mesh.violations.front());
}

} // namespace godwitlift::test
