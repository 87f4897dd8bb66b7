/// \file
/// Creation, update and removal of the gates on one host.
#include "godwitlift/serving/HostGates.h"

namespace godwitlift {

namespace {

SlotLimit slotLimitOf(const BackendServer &server, const RoutingTable &table)
{
    const ServiceTargets *targets = table.targets(server.service);
    const absl::Duration slowStart =
            targets == nullptr ? absl::ZeroDuration() : targets->service.slowStart;
    return SlotLimit(server.slots, absl::FromUnixMillis(server.startedUnixMs), slowStart);
}

} // namespace

void HostGates::mergeActions(const BackendServerId &server, Entry &entry,
                             const GateActions &actions, HostGateActions &allActions)
{
    for (const AttemptId localAttempt : actions.starts)
        allActions.starts.push_back({ localAttempt, entry.address });
    for (const GateRefusal &refusal : actions.refusals) {
        m_serverByAttempt.erase(refusal.attempt);
        allActions.refusals.push_back(refusal);
    }
    if (!entry.isAnnounced && entry.gate.inUse() == 0)
        m_entries.erase(server);
}

HostGateActions HostGates::updateServers(const std::vector<BackendServer> &servers,
                                         const RoutingTable &table, absl::Time now)
{
    HostGateActions allActions;
    std::map<BackendServerId, const BackendServer *> announced;
    for (const BackendServer &server : servers)
        announced[server.id] = &server;
    const auto &ranks = table.configuration().ranks;
    for (const auto &[id, server] : announced) {
        const SlotLimit slotLimit = slotLimitOf(*server, table);
        const auto it = m_entries
                                .try_emplace(id, Entry{ Gate(slotLimit, ranks, m_discipline),
                                                        server->address, true })
                                .first;
        Entry &entry = it->second;
        if (entry.address != server->address || !entry.isAnnounced) {
            // A new process with the same id, or the old one announced again. Requests that are
            // still running keep their slots until they end.
            entry.address = server->address;
            entry.isAnnounced = true;
        }
        entry.gate.setRanks(ranks);
        const ServiceTargets *targets = table.targets(server->service);
        entry.gate.slotLimit().update(server->slots, absl::FromUnixMillis(server->startedUnixMs),
                                      targets == nullptr ? absl::ZeroDuration()
                                                         : targets->service.slowStart);
        const bool draining = server->state == BackendServerState::Draining || m_draining;
        if (draining && !entry.gate.isDraining())
            mergeActions(id, entry, entry.gate.drain(now), allActions);
        else if (!draining && entry.gate.isDraining())
            entry.gate.reopen();
    }
    std::vector<BackendServerId> removed;
    for (const auto &entry : m_entries) {
        if (!announced.contains(entry.first))
            removed.push_back(entry.first);
    }
    for (const BackendServerId &id : removed) {
        Entry &entry = m_entries.at(id);
        entry.isAnnounced = false;
        mergeActions(id, entry, entry.gate.drain(now), allActions);
    }
    return allActions;
}

HostGateActions HostGates::submit(const ForwardedRequest &request, absl::Time now)
{
    HostGateActions allActions;
    const auto it = m_entries.find(request.server);
    if (it == m_entries.end()) {
        const Reason reason = m_draining ? Reason::Draining : Reason::NoBackendServer;
        allActions.refusals.push_back({ request.localAttempt, reason, absl::ZeroDuration() });
        return allActions;
    }
    m_serverByAttempt[request.localAttempt] = request.server;
    const GateRequest gateRequest{ request.localAttempt, request.rank, request.caller,
                                   request.deadline };
    mergeActions(it->first, it->second, it->second.gate.submit(gateRequest, now), allActions);
    return allActions;
}

HostGateActions HostGates::onRunEnded(AttemptId localAttempt, RunOutcome outcome, absl::Time now)
{
    HostGateActions allActions;
    const auto it = m_serverByAttempt.find(localAttempt);
    if (it == m_serverByAttempt.end())
        return allActions;
    const BackendServerId server = it->second;
    m_serverByAttempt.erase(it);
    Entry &entry = m_entries.at(server);
    mergeActions(server, entry, entry.gate.onRunEnded(localAttempt, outcome, now), allActions);
    return allActions;
}

bool HostGates::cancel(AttemptId localAttempt)
{
    const auto it = m_serverByAttempt.find(localAttempt);
    if (it == m_serverByAttempt.end() || !m_entries.at(it->second).gate.cancel(localAttempt))
        return false;
    m_serverByAttempt.erase(it);
    return true;
}

HostGateActions HostGates::drainAll(absl::Time now)
{
    HostGateActions allActions;
    m_draining = true;
    std::vector<BackendServerId> ids;
    for (const auto &entry : m_entries)
        ids.push_back(entry.first);
    for (const BackendServerId &id : ids) {
        Entry &entry = m_entries.at(id);
        mergeActions(id, entry, entry.gate.drain(now), allActions);
    }
    return allActions;
}

HostGateActions HostGates::tick(absl::Time now)
{
    HostGateActions allActions;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto &[id, entry] = *it++; // mergeActions() may erase the entry.
        mergeActions(id, entry, entry.gate.tick(now), allActions);
    }
    return allActions;
}

GateLoad HostGates::load(const BackendServerId &server, absl::Time now) const
{
    const auto it = m_entries.find(server);
    return it == m_entries.end() ? GateLoad() : it->second.gate.load(now);
}

std::size_t HostGates::inUse() const
{
    std::size_t count = 0;
    for (const auto &entry : m_entries)
        count += entry.second.gate.inUse();
    return count;
}

} // namespace godwitlift
