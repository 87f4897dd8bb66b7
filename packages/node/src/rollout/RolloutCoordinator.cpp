/// \file
/// Exchange of states and evidence, and the conditional writes of the results.
#include "rollout/RolloutCoordinator.h"

#include "peers/PeerMessages.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// The stand-in takes a step that has been due for this long: the one before it may stand still
/// without having been missed yet. A bad version is rolled back by either at once.
constexpr absl::Duration StandInDelay = absl::Milliseconds(200);
/// Part of the roll-back limit over which recent answers are compared, once or twice.
constexpr double BaselinePart = 0.5;
/// From the start of a node until it has read the orders that the store had before.
constexpr absl::Duration MaxStartTime = absl::Seconds(5);
/// Interval between two reports of a gate's evidence without new failures. Those of the new version
/// decide; those of the others are for comparison, and come less often the more nodes there are.
constexpr absl::Duration TargetReportInterval = absl::Milliseconds(200);
constexpr absl::Duration OtherReportInterval = absl::Milliseconds(400);
constexpr absl::Duration ReportIntervalPerNode = absl::Milliseconds(1);

} // namespace

RolloutCoordinator::RolloutCoordinator(Options options, StoreClient &store,
                                       const PlatformProtocol &protocol, BackendServerGate &gate,
                                       FinishTimeSelector &selector, RolloutTraffic &traffic,
                                       RolloutPeers &peers, RateLimitedLog &log,
                                       NodeMetrics &metrics)
    : m_options(std::move(options))
    , m_started(steadyNow())
    , m_decider(m_options.bounds)
    , m_store(store)
    , m_protocol(protocol)
    , m_gate(gate)
    , m_selector(selector)
    , m_traffic(traffic)
    , m_peers(peers)
    , m_log(log)
    , m_metrics(metrics)
{}

void RolloutCoordinator::onRow(const StoreRow &row)
{
    if (row.isDeleted || !m_protocol.isRolloutOrderKey(row.key))
        return;
    std::string problem;
    const auto order =
            valueOrErrorText([&] { return m_protocol.decodeRolloutOrder(row); }, problem);
    if (!order) {
        m_metrics.recordUndecodable("rollout-order");
        m_log.write("rollout-refused",
                    LogLine("rollout-refused").add("key", row.key).add("problem", problem),
                    steadyNow());
        return;
    }
    RolloutState state;
    state.order = *order;
    state.ordered = steadyNow();
    const RolloutState *known = m_traffic.find(order->service);
    if (known != nullptr && known->order.revision >= order->revision)
        return;
    adopt(state, "store");
    broadcastState(state);
}

void RolloutCoordinator::adopt(const RolloutState &state, std::string_view source)
{
    if (!m_traffic.adopt(state, steadyNow()))
        return;
    m_log.write("rollout",
                LogLine("rollout")
                        .add("service", state.order.service.value())
                        .add("target", state.order.target.value())
                        .add("order", state.order.revision)
                        .add("phase", name(state.phase))
                        .add("step", state.step)
                        .add("recorded", state.isRecorded ? "yes" : "no")
                        .add("age_ms", steadyNow() - state.ordered)
                        .add("source", source),
                steadyNow());
    updateServers(state);
}

void RolloutCoordinator::broadcastState(const RolloutState &state)
{
    mesh::Frame frame;
    *frame.mutable_rollout_states()->add_states() = encodeRolloutState(state, steadyNow());
    m_peers.broadcast(frame);
}

void RolloutCoordinator::onPeerState(const HostId &peer, const mesh::RolloutState &message)
{
    if (const auto state = decodeRolloutState(message, steadyNow()))
        adopt(*state, peer.value());
}

void RolloutCoordinator::onPeerEvidence(const HostId &peer, const mesh::RolloutEvidence &message)
{
    const RolloutState *state = m_traffic.find(ServiceId(message.service()));
    if (state != nullptr && state->order.revision == message.order())
        decision(state->order).evidence.onReport(peer, decodeRolloutEvidence(message));
}

bool RolloutCoordinator::admits(const AttemptRequest &request) const
{
    return m_traffic.isEmpty()
           || m_traffic.admits(m_options.ownService, m_gate.lifecycle().version(),
                               request.rolloutOrder);
}

void RolloutCoordinator::onServerRunEnded(const AttemptRequest &request, ServerRunEnd end,
                                          absl::Duration serviceTime)
{
    const RolloutState *state = m_traffic.find(m_options.ownService);
    if (state == nullptr || state->isFinal())
        return;
    const ServerLifecycle &lifecycle = m_gate.lifecycle();
    if (m_ownEvidence.order != state->order.revision
        || m_ownEvidence.processNumber != lifecycle.processNumber()) {
        m_ownEvidence = OwnEvidence();
        m_ownEvidence.order = state->order.revision;
        m_ownEvidence.processNumber = lifecycle.processNumber();
        m_ownEvidence.evidence.server = lifecycle.id();
        m_ownEvidence.evidence.version = lifecycle.version();
    }
    RouteEvidence &counts = m_ownEvidence.evidence.routes[request.route];
    if (end == ServerRunEnd::Failed) {
        counts.recordFailure();
        ++m_ownEvidence.unreportedFailures;
    } else {
        counts.recordAnswer(serviceTime);
    }
}

void RolloutCoordinator::addStates(mesh::GateState &message) const
{
    for (const RolloutState &state : m_traffic.states())
        *message.add_rollouts() = encodeRolloutState(state, steadyNow());
}

void RolloutCoordinator::updateServers(const RolloutState &state)
{
    std::vector<RolloutServer> servers;
    m_selector.visitHosts(state.order.service, [&](const HostId &host, const GateReport &report) {
        servers.push_back(
                { host, report.server, report.version, report.acceptsRequests, report.slots });
    });
    m_traffic.setServers(state.order.service, servers);
}

void RolloutCoordinator::tick()
{
    const absl::Time now = steadyNow();
    for (const RolloutState &state : m_traffic.states()) {
        const ServiceId &service = state.order.service;
        if (state.isFinal() && state.isRecorded
            && now - m_traffic.stepTime(service) > RolloutTraffic::CompletionSpread) {
            m_decisions.erase(service);
            continue;
        }
        updateServers(state);
        const std::vector<HostId> recipients =
                rolloutDeciders(service, m_peers.deciderCandidates());
        reportEvidence(state, recipients);
        const auto rank = std::find(recipients.begin(), recipients.end(), m_options.ownHost);
        if (rank != recipients.end())
            decide(state, rank == recipients.begin() ? absl::ZeroDuration() : StandInDelay);
    }
}

void RolloutCoordinator::reportEvidence(const RolloutState &state,
                                        const std::vector<HostId> &deciders)
{
    if (state.order.service != m_options.ownService || state.isFinal())
        return;
    const absl::Time now = steadyNow();
    const ServerLifecycle &lifecycle = m_gate.lifecycle();
    const bool isTarget = lifecycle.version() == state.order.target;
    const absl::Duration interval =
            isTarget ? TargetReportInterval
                     : std::max(OtherReportInterval,
                                ReportIntervalPerNode
                                        * static_cast<double>(m_peers.deciderCandidates().size()));
    const bool hasNewFailures = isTarget && m_ownEvidence.unreportedFailures > 0;
    if (lifecycle.state() == ServerState::Absent
        || (now - m_ownEvidence.reported < interval && !hasNewFailures))
        return;
    m_ownEvidence.reported = now;
    m_ownEvidence.unreportedFailures = 0;
    ServerEvidence evidence;
    if (m_ownEvidence.order == state.order.revision
        && m_ownEvidence.processNumber == lifecycle.processNumber())
        evidence = m_ownEvidence.evidence;
    evidence.server = lifecycle.id();
    evidence.version = lifecycle.version();
    const GateReport report = m_gate.report();
    evidence.busy = report.running + report.queued;
    mesh::Frame frame;
    *frame.mutable_rollout_evidence() = encodeRolloutEvidence(state.order, evidence);
    for (const HostId &host : deciders) {
        if (host == m_options.ownHost)
            decision(state.order).evidence.onReport(host, evidence);
        else
            m_peers.sendTo(host, frame);
    }
}

RolloutCoordinator::Decision &RolloutCoordinator::decision(const RolloutOrder &order)
{
    Decision &decision = m_decisions[order.service];
    if (decision.order != order.revision) {
        decision = Decision();
        decision.order = order.revision;
        decision.record.emplace(m_options.bounds.rollbackLimit);
    }
    return decision;
}

RolloutRecord *RolloutCoordinator::findRecord(const RolloutOrder &order)
{
    const auto it = m_decisions.find(order.service);
    if (it == m_decisions.end() || it->second.order != order.revision || !it->second.record)
        return nullptr;
    return &*it->second.record;
}

RolloutView RolloutCoordinator::makeView(const RolloutState &state,
                                         const RolloutEvidence &evidence) const
{
    RolloutView view;
    view.comparison = evidence.compare(state.order.target);
    bool haveAllReported = true;
    m_selector.visitHosts(state.order.service, [&](const HostId &host, const GateReport &report) {
        const bool isTarget = report.version == state.order.target;
        const auto busy = evidence.busy(host, report.server);
        if (report.acceptsRequests) {
            (isTarget ? view.targetSlots : view.otherSlots) += report.slots;
            haveAllReported = haveAllReported && busy;
        }
        if (!isTarget)
            view.otherBusy += busy.value_or(report.running + report.queued);
    });
    if (haveAllReported)
        view.allAnswers = evidence.allAnswers();
    return view;
}

void RolloutCoordinator::decide(const RolloutState &state, absl::Duration delay)
{
    const absl::Time now = steadyNow() - delay;
    Decision &own = decision(state.order);
    std::optional<RolloutState> next;
    if (!state.isFinal() && m_catalogue != nullptr
        && m_catalogue->service(state.order.service) == nullptr) {
        m_log.write("rollout-refused",
                    LogLine("rollout-refused")
                            .add("service", state.order.service.value())
                            .add("problem", "the configuration has no such service"),
                    now);
        next = state;
        next->phase = RolloutPhase::RolledBack;
        next->step = 0;
    } else if (!state.isFinal()) {
        own.evidence.keepBaseline(now, m_options.bounds.rollbackLimit * BaselinePart);
        const RolloutView view = makeView(state, own.evidence);
        next = m_decider.decide(state, view, m_traffic.stepTime(state.order.service), now);
        if (next)
            m_log.write("rollout-decided",
                        LogLine("rollout-decided")
                                .add("service", state.order.service.value())
                                .add("order", state.order.revision)
                                .add("phase", name(next->phase))
                                .add("step", next->step)
                                .add("answers", view.comparison.answers)
                                .add("bad_answers", view.comparison.badAnswers)
                                .add("target_slots", view.targetSlots)
                                .add("other_slots", view.otherSlots)
                                .add("other_busy", view.otherBusy)
                                .add("age_ms", now - state.ordered),
                        now);
    }
    // The row of the state that is in force is left to the node which decides first.
    const bool isOwnTask = delay == absl::ZeroDuration() || next
                           || (state.isFinal() && now >= m_traffic.stepTime(state.order.service));
    if (!isOwnTask)
        return;
    if (next && next->phase == RolloutPhase::Completed) {
        record(*next);
        return;
    }
    if (next) {
        adopt(*next, "decided");
        broadcastState(*next);
    }
    record(next.value_or(state));
}

void RolloutCoordinator::record(const RolloutState &state)
{
    if (state.isRecorded)
        return;
    const absl::Time now = steadyNow();
    RolloutRecord &record = *decision(state.order).record;
    const RolloutRecordCall call = record.startCall(state, now);
    if (call == RolloutRecordCall::None)
        return;
    const StoreRow row = m_protocol.encodeRolloutStatus(
            state.order.service, RolloutRecord::statusOf(state, now, absl::Now()));
    StoreRequest request;
    request.table = row.table;
    if (call == RolloutRecordCall::Read) {
        request.kind = StoreRequest::Kind::List;
        request.firstKey = row.key;
        request.endKey = row.key + '!'; // The first possible key after it.
        m_store.call(std::move(request),
                     [this, state](const StoreAnswer &answer) { onRowRead(state, answer); });
        return;
    }
    request.kind = StoreRequest::Kind::Put;
    request.key = row.key;
    request.value = row.value;
    request.expectedRevision = record.revision();
    m_store.call(std::move(request),
                 [this, state](const StoreAnswer &answer) { onRowWritten(state, answer); });
}

void RolloutCoordinator::onRowRead(const RolloutState &state, const StoreAnswer &answer)
{
    RolloutRecord *record = findRecord(state.order);
    if (record == nullptr)
        return;
    const absl::Time now = steadyNow();
    if (answer.outcome != StoreOutcome::Done) {
        record->onReadFailed(now);
        return;
    }
    RolloutStatusRow found;
    const std::string key = m_protocol.encodeRolloutStatus(state.order.service, {}).key;
    for (const StoreRow &row : answer.rows) {
        if (row.key != key || row.isDeleted)
            continue;
        std::string problem;
        found.revision = row.revision;
        found.status = valueOrErrorText([&] { return m_protocol.decodeRolloutStatus(row.value); },
                                        problem);
    }
    // A node that starts learns of the order later than it was given, unless other nodes know it.
    const bool isOrderTimeKnown =
            state.ordered < m_started || state.ordered - m_started > MaxStartTime;
    const auto read = record->onRead(state, found, now,
                                     isOrderTimeKnown ? std::optional<absl::Time>()
                                                      : std::optional(absl::Now()));
    if (!read)
        return;
    adopt(*read, "status");
    if (read->isRecorded)
        broadcastState(*read);
}

void RolloutCoordinator::onRowWritten(const RolloutState &state, const StoreAnswer &answer)
{
    const absl::Time now = steadyNow();
    m_log.write("rollout-status",
                LogLine("rollout-status")
                        .add("service", state.order.service.value())
                        .add("order", state.order.revision)
                        .add("phase", name(state.phase))
                        .add("outcome", name(answer.outcome)),
                now);
    RolloutRecord *record = findRecord(state.order);
    if (record == nullptr)
        return;
    if (answer.outcome != StoreOutcome::Done) {
        record->onWriteFailed(answer.outcome == StoreOutcome::Conflict, now);
        return;
    }
    const auto recorded = record->onWritten(state, answer.revision, now);
    if (!recorded)
        return;
    adopt(*recorded, "recorded");
    broadcastState(*recorded);
}

} // namespace godwitlift
