/// \file
/// Processes inputs under the control lock and executes their effects without it.
#include "ControlRuntime.h"

#include "godwitlift/adapters/EventLog.h"

#include <absl/time/clock.h>

namespace godwitlift {

ControlRuntime::ControlRuntime(std::unique_ptr<ControlPlane> controlPlane, PeerClient &peers,
                               PlatformWorkers &platform, Metrics &metrics,
                               TableCallback onTableChanged)
    : m_controlPlane(std::move(controlPlane))
    , m_peers(peers)
    , m_platform(platform)
    , m_metrics(metrics)
    , m_onTableChanged(std::move(onTableChanged))
{}

void ControlRuntime::processInput(const Input &input)
{
    ControlEffects effects;
    std::uint64_t generation = 0;
    std::vector<BackendServer> ownBackendServers;
    {
        const absl::MutexLock lock(&m_mutex);
        effects = input(*m_controlPlane, absl::Now());
        if (effects.routingTable != nullptr) {
            generation = ++m_tableGeneration;
            ownBackendServers = m_controlPlane->ownBackendServers();
        }
    }
    executeEffects(std::move(effects), generation, std::move(ownBackendServers));
}

void ControlRuntime::executeEffects(ControlEffects effects, std::uint64_t generation,
                                    std::vector<BackendServer> ownBackendServers)
{
    if (effects.routingTable != nullptr) {
        m_metrics.setVersionInForce(effects.routingTable->version());
        m_onTableChanged({ generation, effects.routingTable, std::move(ownBackendServers) });
    }
    for (const Address &address : effects.connectionsToReplace) {
        m_peers.replaceConnection(address);
        m_metrics.recordConnectionReplacement();
    }
    for (const OutgoingMessage &outgoing : effects.messages)
        m_peers.sendMessage(outgoing.to, outgoing.message);
    for (PlatformRequest &request : effects.platformRequests) {
        m_platform.submit(std::move(request), [this](const PlatformAnswer &answer) {
            m_metrics.recordPlatformRequest(name(answer.outcome));
            processInput([&](ControlPlane &plane, absl::Time now) {
                return plane.onPlatformAnswer(answer, now);
            });
        });
    }
    for (OperatorAnswer &answer : effects.answers)
        completeRequest(std::move(answer));
    for (const LogEvent &event : effects.logs)
        logEvent(event);
}

void ControlRuntime::completeRequest(OperatorAnswer answer)
{
    const absl::MutexLock lock(&m_requestsMutex);
    const auto it = m_pendingRequests.find(answer.request);
    if (it != m_pendingRequests.end())
        it->second.result = std::move(answer.result);
}

std::optional<OperatorResult>
ControlRuntime::runOperatorRequest(const OperatorRequest &operatorRequest, absl::Duration timeout)
{
    OperatorRequestId request;
    {
        const absl::MutexLock lock(&m_requestsMutex);
        request = OperatorRequestId(m_nextRequestId++);
        m_pendingRequests[request] = {};
    }
    processInput([&](ControlPlane &plane, absl::Time now) {
        return operatorRequest(plane, request, now);
    });
    const absl::MutexLock lock(&m_requestsMutex);
    const auto hasResult = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_requestsMutex) {
        return m_pendingRequests[request].result.has_value();
    };
    m_requestsMutex.AwaitWithTimeout(absl::Condition(&hasResult), timeout);
    std::optional<OperatorResult> result = std::move(m_pendingRequests[request].result);
    m_pendingRequests.erase(request);
    return result;
}

Result<Plan> ControlRuntime::plan(const ConfigurationDelta &delta) const
{
    const absl::MutexLock lock(&m_mutex);
    return m_controlPlane->plan(delta);
}

Result<Plan> ControlRuntime::planReplacement(const Configuration &target) const
{
    const absl::MutexLock lock(&m_mutex);
    return m_controlPlane->planReplacement(target);
}

SharedConfiguration ControlRuntime::configuration() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_controlPlane->configuration().current();
}

NodeStatus ControlRuntime::status() const
{
    const absl::MutexLock lock(&m_mutex);
    NodeStatus status;
    status.version = m_controlPlane->configuration().version();
    status.isReady = m_controlPlane->isReady();
    status.isPollingPlatform = m_controlPlane->relayTreeNode().level() == RelayLevel::Root;
    status.isPlatformReachable = m_controlPlane->isPlatformReachable();
    status.isIsolated = m_controlPlane->isIsolated();
    status.relayLevel = std::string(name(m_controlPlane->relayTreeNode().level()));
    status.parent = m_controlPlane->relayTreeNode().parent();
    status.hostCount = m_controlPlane->directory().records().size();
    status.refusedVersion = m_controlPlane->configuration().latestRefusal();
    return status;
}

std::optional<MemberHost> ControlRuntime::find(const HostId &host) const
{
    const absl::MutexLock lock(&m_mutex);
    const HostRecord *record = m_controlPlane->directory().find(host);
    if (record == nullptr || !record->isMember())
        return std::nullopt;
    return MemberHost{ record->address, record->stamp.incarnation };
}

} // namespace godwitlift
