/// \file
/// Steps of a session.
#include "Session.h"

#include "godwitlift/configuration/ConfigurationCodec.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace godwitlift::test {

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr absl::Duration SettlingTime = absl::Seconds(15);
constexpr absl::Duration SpreadTime = absl::Seconds(2);
constexpr absl::Duration Bound = absl::Seconds(4);
constexpr absl::Duration Heartbeat = absl::Seconds(1);
constexpr absl::Duration Step = absl::Milliseconds(10);

} // namespace

/// Serving decisions of one host.
struct Session::Serving final : public MemberLookup
{
    const FakeNode &node;
    SeededRandom random;
    Ingress ingress;
    HostGates gates;

    Serving(const FakeNode &owner, std::uint64_t seed)
        : node(owner)
        , random(seed)
        , ingress(owner.identity.host, owner.identity.incarnation, {}, *this, random)
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
    m_mesh.addZones(zones, hostsPerZone);
    m_mesh.time.runFor(SettlingTime);
    for (const HostId &host : m_mesh.hosts()) {
        const FakeNode &node = m_mesh.node(host);
        line(absl::StrFormat("node host=%s zone=%s ready=%d level=%s parent=%s knows=%d",
                             host.value(), node.identity.zone.value(), node.plane->isReady(),
                             std::string(name(node.plane->tree().level())),
                             node.plane->tree().parent().value(),
                             node.plane->directory().records().size()));
    }
}

Session::~Session() = default;

void Session::line(const std::string &text)
{
    absl::StrAppend(&m_text, text, "\n");
}

void Session::advance(absl::Duration duration)
{
    const absl::Time end = m_mesh.time.now() + duration;
    while (m_mesh.time.now() < end) {
        m_mesh.time.runFor(std::min(Heartbeat, end - m_mesh.time.now()));
        for (const auto &[host, service] : m_services)
            m_mesh.announce(host, service);
    }
}

Session::Serving &Session::serving(const HostId &host)
{
    auto &serving = m_serving[host];
    if (serving == nullptr)
        serving = std::make_unique<Serving>(m_mesh.node(host), Seed + m_serving.size());
    return *serving;
}

void Session::syncServing()
{
    for (const HostId &host : m_mesh.hosts()) {
        const FakeNode &node = m_mesh.node(host);
        if (node.plane == nullptr || node.table == nullptr)
            continue;
        Serving &own = serving(host);
        own.ingress.setRoutingTable(node.table);
        own.gates.updateServers(node.plane->ownBackendServers(), *node.table, m_mesh.time.now());
    }
}

void Session::announce(const HostId &host, const std::string &service)
{
    m_mesh.announce(host, service);
    m_services[host] = service;
    line(absl::StrFormat("announce host=%s service=%s", host.value(), service));
}

void Session::publish(const HostId &host, const Configuration &target)
{
    advance(SpreadTime); // What announced itself before is known everywhere.
    const ControlPlane &plane = *m_mesh.node(host).plane;
    std::string problem;
    const auto plan = valueOrErrorText([&] { return plane.planReplacement(target); }, problem);
    if (!plan) {
        line(absl::StrFormat("plan refused problem=%s", problem));
        return;
    }
    line(absl::StrFormat("plan base=%d digest=%s changes=%d", plan->baseVersion().value(),
                         plan->digest().value(), plan->changes().size()));
    for (const PlannedChange &change : plan->changes())
        line(absl::StrFormat("  %s %s", std::string(name(change.kind)), change.item.text()));
    if (plan->isEmpty())
        return;
    Confirmation confirmation;
    confirmation.operation = OperationId(absl::StrCat("session-", m_nextOperation++));
    confirmation.author = "dispatcher";
    confirmation.note = "session";
    confirmation.baseVersion = plan->baseVersion();
    confirmation.delta = plan->delta();
    confirmation.changesDigest = plan->changesDigest();
    const absl::Time started = m_mesh.time.now();
    const OperatorRequestId request = m_mesh.confirm(host, confirmation);
    const Version wanted = plan->baseVersion().next();
    while (!m_mesh.allHold(wanted) && m_mesh.time.now() - started < Bound)
        m_mesh.time.runFor(Step);
    const auto &end = std::get<PublicationOutcome>(m_mesh.replies.at(request));
    const auto *published = std::get_if<Published>(&end);
    line(absl::StrFormat("confirm published=%d digest=%s in_force_everywhere=%d after_ms=%d",
                         published == nullptr ? 0 : published->record.version.value(),
                         published == nullptr ? "-" : published->record.digest.value(),
                         m_mesh.allHold(wanted),
                         absl::ToInt64Milliseconds(m_mesh.time.now() - started)));
}

void Session::call(const HostId &ingress, const std::string &path, const std::string &key)
{
    syncServing();
    CallHead head;
    head.call = CallId(m_nextCall++);
    head.path = path;
    head.caller = CallerId("caller");
    head.key = IdempotencyKey(key);
    head.fingerprint = 1;
    head.retriesLeft = ChainRetryLimit;
    line(absl::StrFormat("call %d via=%s path=%s%s", head.call.value(), ingress.value(), path,
                         key.empty() ? "" : " key=" + key));
    carryOut(ingress, serving(ingress).ingress.onCall(head, m_mesh.time.now()));
    m_mesh.time.runFor(Step);
}

void Session::carryOut(const HostId &host, const IngressActions &step)
{
    for (const CallRefusal &refusal : step.refusals)
        line(absl::StrFormat("  call %d refused verdict=%s reason=%s", refusal.call.value(),
                             std::string(name(refusal.verdict)),
                             std::string(name(refusal.reason))));
    for (const ReplayAction &order : step.replays)
        line(absl::StrFormat("  call %d answered from the ledger status=%d", order.call.value(),
                             order.answer.status));
    for (const CallId call : step.completions)
        line(absl::StrFormat("  call %d answered", call.value()));
    for (const PlatformRequest &request : step.platformRequests) {
        const auto answer = m_mesh.platform.execute(request, m_mesh.random());
        line(absl::StrFormat("  platform %s", std::string(name(answer->outcome))));
        carryOut(host, serving(host).ingress.onPlatformAnswer(*answer, m_mesh.time.now()));
    }
    for (const RelayAction &order : step.relays)
        line(absl::StrFormat("  call %d relayed to the key's owner %s", order.call.value(),
                             order.owner.value()));
    for (const ForwardAction &order : step.forwards)
        forward(host, order);
}

void Session::forward(const HostId &from, const ForwardAction &order)
{
    line(absl::StrFormat("  call %d forwarded to=%s rank=%s", order.call.value(),
                         order.target.host.value(), order.rank.value()));
    HostGates &gates = serving(order.target.host).gates;
    const AttemptId ticket(m_nextTicket++);
    const absl::Time now = m_mesh.time.now();
    const HostGateActions arrived = gates.submit(
            { ticket, order.target.server, order.rank, order.caller, order.deadline }, now);
    AttemptReport report;
    report.attempt = order.attempt;
    if (!arrived.starts.empty()) {
        gates.onRunEnded(ticket, RunOutcome::Answered, now);
        report.verdict = Verdict::Ran;
        report.answer.status = 200;
    } else {
        report.verdict = Verdict::NotRun;
        report.reason = arrived.refusals.front().reason;
        line(absl::StrFormat("  gate refused reason=%s", std::string(name(report.reason))));
    }
    carryOut(from, serving(from).ingress.onAttemptEnded(report, now));
}

void Session::drain(const HostId &host, const std::string &service)
{
    syncServing();
    m_mesh.announce(host, service, true);
    line(absl::StrFormat("drain host=%s service=%s", host.value(), service));
    advance(SpreadTime);
    std::size_t naming = 0;
    for (const auto &entry : m_mesh.nodes()) {
        const ServiceTargets *targets = entry.second.table->targets(ServiceId(service));
        for (const auto &list : targets->byProximity)
            naming += std::count_if(list.begin(), list.end(),
                                    [&](const Target &target) { return target.host == host; });
    }
    line(absl::StrFormat("  tables that still name it: %d", naming));
}

void Session::shutDown(const HostId &host)
{
    m_mesh.feed(host, [&](ControlPlane &plane) { return plane.beginShutdown(m_mesh.time.now()); });
    advance(SpreadTime);
    m_mesh.feed(host, [&](ControlPlane &plane) { return plane.leave(m_mesh.time.now()); });
    advance(SpreadTime);
    m_mesh.kill(host);
    m_services.erase(host);
    std::size_t members = 0;
    for (const auto &entry : m_mesh.nodes()) {
        if (entry.second.plane != nullptr && entry.second.plane->directory().find(host)->isMember())
            ++members;
    }
    line(absl::StrFormat("shutdown host=%s, nodes that still take it for a member: %d",
                         host.value(), members));
    if (!m_mesh.violations.empty())
        line("violation " + m_mesh.violations.front());
}

} // namespace godwitlift::test
