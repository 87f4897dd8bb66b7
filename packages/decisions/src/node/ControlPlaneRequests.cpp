/// \file
/// Requests of operators and of backend servers, and the node's own departure.
#include "godwitlift/node/ControlPlane.h"

namespace godwitlift {

Result<Plan> ControlPlane::plan(const ConfigurationDelta &delta) const
{
    return Plan::make(*configuration().current(), delta);
}

Result<Plan> ControlPlane::planWhole(const Configuration &target) const
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

ControlEffects ControlPlane::history(OperatorRequestId request, Version after, std::size_t limit,
                                     absl::Time now)
{
    ControlEffects effects;
    m_configuration.listHistory(request, after, limit, now, effects);
    return effects;
}

ControlEffects ControlPlane::versionContent(OperatorRequestId request, Version version,
                                            absl::Time now)
{
    ControlEffects effects;
    m_configuration.readVersion(request, version, now, effects);
    return effects;
}

ControlEffects ControlPlane::status(OperatorRequestId request, absl::Time now)
{
    ControlEffects effects;
    const auto roots =
            RelayTopology::rootsOf(directory(), m_identity.zone, m_tree.unreachableHosts());
    if (roots.empty() || roots.front() == m_identity.host) {
        effects.answers.push_back({ request, FleetStatus{ reports(now), {} } });
        return effects;
    }
    const std::uint64_t number = m_nextStatus++;
    m_statusRequests[number] = { request, now };
    send(roots.front(), StatusRequest{ number }, effects);
    return effects;
}

void ControlPlane::expireStatusRequests(absl::Time now, ControlEffects &effects)
{
    std::erase_if(m_statusRequests, [&](const auto &entry) {
        if (now - entry.second.sent < m_policy.statusTimeout)
            return false;
        effects.answers.push_back(
                { entry.second.request, FleetStatus{ reports(now), "the zone's root is silent" } });
        return true;
    });
}

ControlEffects ControlPlane::announce(const Announcement &announcement, absl::Time now)
{
    ControlEffects effects;
    if (!m_presence.backendServers().announce(announcement, now))
        return effects;
    effects.logs.push_back({ "backend_server_announced",
                             { { "backend_server", announcement.id.value() },
                               { "service", announcement.service.value() },
                               { "draining", announcement.isDraining ? "true" : "false" } } });
    ownStateChanged(m_presence.reissueOwnRecord(now));
    compileIfDirty(effects);
    return effects;
}

ControlEffects ControlPlane::drainBackendServer(const BackendServerId &id, absl::Time now)
{
    ControlEffects effects;
    if (!m_presence.backendServers().drain(id))
        return effects;
    effects.logs.push_back({ "backend_server_draining", { { "backend_server", id.value() } } });
    ownStateChanged(m_presence.reissueOwnRecord(now));
    compileIfDirty(effects);
    return effects;
}

ControlEffects ControlPlane::beginShutdown(absl::Time now)
{
    ControlEffects effects;
    m_presence.backendServers().drainAll();
    effects.logs.push_back({ "node_draining", { { "host", m_identity.host.value() } } });
    ownStateChanged(m_presence.setState(HostState::Draining, now));
    compileIfDirty(effects);
    return effects;
}

ControlEffects ControlPlane::leave(absl::Time now)
{
    ControlEffects effects;
    effects.logs.push_back({ "node_left", { { "host", m_identity.host.value() } } });
    ownStateChanged(m_presence.setState(HostState::Left, now));
    flushSpreading(effects); // No tick may follow.
    return effects;
}

} // namespace godwitlift
