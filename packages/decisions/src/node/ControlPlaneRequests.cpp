/// \file
/// Requests from operators and backend servers, and the shutdown of the node.
#include "godwitlift/node/ControlPlane.h"

namespace godwitlift {

Result<Plan> ControlPlane::plan(const ConfigurationDelta &delta) const
{
    return Plan::make(*configuration().current(), delta);
}

Result<Plan> ControlPlane::planReplacement(const Configuration &target) const
{
    return plan(ConfigurationDelta::between(configuration().current()->content, target));
}

ControlEffects ControlPlane::confirm(OperatorRequestId request, Confirmation confirmation,
                                     absl::Time now)
{
    ControlEffects effects;
    m_configuration.publish(request, std::move(confirmation), now, effects);
    return effects;
}

ControlEffects ControlPlane::queryHistory(OperatorRequestId request, Version after,
                                          std::size_t limit, absl::Time now)
{
    ControlEffects effects;
    m_configuration.listHistory(request, after, limit, now, effects);
    return effects;
}

ControlEffects ControlPlane::queryVersionContent(OperatorRequestId request, Version version,
                                                 absl::Time now)
{
    ControlEffects effects;
    m_configuration.readVersion(request, version, now, effects);
    return effects;
}

ControlEffects ControlPlane::queryStatus(OperatorRequestId request, absl::Time now)
{
    ControlEffects effects;
    const auto roots = RelayTopology::rootsOf(directory(), m_identity.zone,
                                              m_relayTreeNode.unreachableHosts());
    if (roots.empty() || roots.front() == m_identity.host) {
        effects.answers.push_back({ request, FleetStatus{ zoneReports(now), {} } });
        return effects;
    }
    const std::uint64_t number = m_nextStatusNumber++;
    m_pendingStatusRequests[number] = { request, now };
    send(roots.front(), StatusRequest{ number }, effects);
    return effects;
}

void ControlPlane::expireStatusRequests(absl::Time now, ControlEffects &effects)
{
    std::erase_if(m_pendingStatusRequests, [&](const auto &entry) {
        if (now - entry.second.sentAt < m_policy.statusTimeout)
            return false;
        effects.answers.push_back(
                { entry.second.request,
                  FleetStatus{ zoneReports(now), "the root of the zone did not answer in time" } });
        return true;
    });
}

ControlEffects ControlPlane::announceBackendServer(const Announcement &announcement, absl::Time now)
{
    ControlEffects effects;
    if (!m_presence.backendServers().announce(announcement, now))
        return effects;
    effects.logs.push_back({ "backend_server_announced",
                             { { "backend_server", announcement.id.value() },
                               { "service", announcement.service.value() },
                               { "draining", announcement.isDraining ? "true" : "false" } } });
    onOwnRecordChange(m_presence.reissueOwnRecord(now));
    rebuildRoutingTableIfDirty(effects);
    return effects;
}

ControlEffects ControlPlane::drainBackendServer(const BackendServerId &id, absl::Time now)
{
    ControlEffects effects;
    if (!m_presence.backendServers().drain(id, now))
        return effects;
    effects.logs.push_back({ "backend_server_draining", { { "backend_server", id.value() } } });
    onOwnRecordChange(m_presence.reissueOwnRecord(now));
    rebuildRoutingTableIfDirty(effects);
    return effects;
}

ControlEffects ControlPlane::beginShutdown(absl::Time now)
{
    ControlEffects effects;
    m_presence.backendServers().drainAll();
    effects.logs.push_back({ "node_draining", { { "host", m_identity.host.value() } } });
    onOwnRecordChange(m_presence.setState(HostState::Draining, now));
    rebuildRoutingTableIfDirty(effects);
    return effects;
}

ControlEffects ControlPlane::leave(absl::Time now)
{
    ControlEffects effects;
    effects.logs.push_back({ "node_left", { { "host", m_identity.host.value() } } });
    onOwnRecordChange(m_presence.setState(HostState::Left, now));
    flushPendingRecords(effects); // There may be no further tick before the process exits.
    return effects;
}

} // namespace godwitlift
