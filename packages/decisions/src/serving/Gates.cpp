/// \file
/// Life of the gates on one host.
#include "godwitlift/serving/Gates.h"

namespace godwitlift {

namespace {

SlotLimit limitFor(const BackendServer &server, const RoutingTable &table)
{
    const ServiceTargets *targets = table.targets(server.service);
    const absl::Duration slowStart =
            targets == nullptr ? absl::ZeroDuration() : targets->service.slowStart;
    return SlotLimit(server.slots, absl::FromUnixMillis(server.startedUnixMs), slowStart);
}

} // namespace

void Gates::collect(const BackendServerId &server, Entry &entry, const GateStep &step,
                    GatesStep &all)
{
    for (const AttemptId ticket : step.starts)
        all.starts.push_back({ ticket, entry.address });
    for (const GateRefusal &refusal : step.refusals) {
        m_tickets.erase(refusal.attempt);
        all.refusals.push_back(refusal);
    }
    if (!entry.isAnnounced && entry.gate.inUse() == 0)
        m_entries.erase(server);
}

GatesStep Gates::sync(const std::vector<BackendServer> &servers, const RoutingTable &table,
                      absl::Time now)
{
    GatesStep all;
    std::map<BackendServerId, const BackendServer *> announced;
    for (const BackendServer &server : servers)
        announced[server.id] = &server;
    const auto &ranks = table.configuration().ranks;
    for (const auto &[id, server] : announced) {
        const SlotLimit limit = limitFor(*server, table);
        const auto it = m_entries
                                .try_emplace(id, Entry{ Gate(limit, ranks, m_discipline),
                                                        server->address, true })
                                .first;
        Entry &entry = it->second;
        if (entry.address != server->address || !entry.isAnnounced) {
            // A new process under the same name: its gate starts anew, the old one's calls end.
            entry.address = server->address;
            entry.isAnnounced = true;
        }
        entry.gate.setRanks(ranks);
        const ServiceTargets *targets = table.targets(server->service);
        entry.gate.limit().update(server->slots, absl::FromUnixMillis(server->startedUnixMs),
                                  targets == nullptr ? absl::ZeroDuration()
                                                     : targets->service.slowStart);
        const bool draining = server->state == BackendServerState::Draining || m_draining;
        if (draining && !entry.gate.isDraining())
            collect(id, entry, entry.gate.drain(now), all);
        else if (!draining && entry.gate.isDraining())
            entry.gate.reopen();
    }
    std::vector<BackendServerId> gone;
    for (const auto &entry : m_entries) {
        if (!announced.contains(entry.first))
            gone.push_back(entry.first);
    }
    for (const BackendServerId &id : gone) {
        Entry &entry = m_entries.at(id);
        entry.isAnnounced = false;
        collect(id, entry, entry.gate.drain(now), all);
    }
    return all;
}

GatesStep Gates::arrive(const GateArrival &arrival, absl::Time now)
{
    GatesStep all;
    const auto it = m_entries.find(arrival.server);
    if (it == m_entries.end()) {
        const Reason reason = m_draining ? Reason::Draining : Reason::NoBackendServer;
        all.refusals.push_back({ arrival.ticket, reason, absl::ZeroDuration() });
        return all;
    }
    m_tickets[arrival.ticket] = arrival.server;
    const GateCall call{ arrival.ticket, arrival.rank, arrival.caller, arrival.deadline };
    collect(it->first, it->second, it->second.gate.arrive(call, now), all);
    return all;
}

GatesStep Gates::finished(AttemptId ticket, RunEnd end, absl::Time now)
{
    GatesStep all;
    const auto it = m_tickets.find(ticket);
    if (it == m_tickets.end())
        return all;
    const BackendServerId server = it->second;
    m_tickets.erase(it);
    Entry &entry = m_entries.at(server);
    collect(server, entry, entry.gate.finished(ticket, end, now), all);
    return all;
}

bool Gates::cancel(AttemptId ticket)
{
    const auto it = m_tickets.find(ticket);
    if (it == m_tickets.end() || !m_entries.at(it->second).gate.cancel(ticket))
        return false;
    m_tickets.erase(it);
    return true;
}

GatesStep Gates::drainAll(absl::Time now)
{
    GatesStep all;
    m_draining = true;
    std::vector<BackendServerId> ids;
    for (const auto &entry : m_entries)
        ids.push_back(entry.first);
    for (const BackendServerId &id : ids) {
        Entry &entry = m_entries.at(id);
        collect(id, entry, entry.gate.drain(now), all);
    }
    return all;
}

GatesStep Gates::tick(absl::Time now)
{
    GatesStep all;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto &[id, entry] = *it++; // collect() may erase the entry.
        collect(id, entry, entry.gate.tick(now), all);
    }
    return all;
}

GateLoad Gates::load(const BackendServerId &server, absl::Time now) const
{
    const auto it = m_entries.find(server);
    return it == m_entries.end() ? GateLoad() : it->second.gate.load(now);
}

std::size_t Gates::inUse() const
{
    std::size_t count = 0;
    for (const auto &entry : m_entries)
        count += entry.second.gate.inUse();
    return count;
}

} // namespace godwitlift
