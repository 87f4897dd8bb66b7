/// \file
/// The control plane behind its lock, with the adapters that execute its effects.
#pragma once

#include "PlatformWorkers.h"
#include "godwitlift/adapters/Metrics.h"
#include "godwitlift/adapters/PeerTransport.h"
#include "godwitlift/node/ControlPlane.h"
#include "godwitlift/serving/MemberLookup.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <optional>

namespace godwitlift {

/// A routing table, numbered in the order of compilation so that a late callback cannot replace a
/// newer table.
struct CompiledTable
{
    std::uint64_t generation = 0;
    std::shared_ptr<const RoutingTable> table;
    /// The backend servers of this host when the table was compiled.
    std::vector<BackendServer> ownBackendServers;
};

/// Status of this node for operators, available without requests to peers.
struct NodeStatus
{
    Version version;
    bool isReady = false;
    bool isPollingPlatform = false; ///< True only for a root of the relay tree.
    bool isPlatformReachable = false;
    bool isIsolated = false;
    std::string relayLevel;
    HostId parent;
    std::size_t hostCount = 0;
    std::optional<RefusedVersion> refusedVersion;
};

/// Runs the control plane. Thread-safe: each input is processed under the control lock, and its
/// effects are executed after the lock is released.
class ControlRuntime final : public MemberLookup
{
public:
    using TableCallback = std::function<void(const CompiledTable &)>;
    using Input = std::function<ControlEffects(ControlPlane &, absl::Time)>;
    using OperatorRequest =
            std::function<ControlEffects(ControlPlane &, OperatorRequestId, absl::Time)>;

    /// All references must outlive the runtime.
    ControlRuntime(std::unique_ptr<ControlPlane> controlPlane, PeerClient &peers,
                   PlatformWorkers &platform, Metrics &metrics, TableCallback onTableChanged);

    /// Passes one input to the control plane and executes its effects.
    void processInput(const Input &input);
    /// Passes an operator's request to the control plane and waits for the result; empty if there
    /// is none within \p timeout.
    std::optional<OperatorResult> runOperatorRequest(const OperatorRequest &operatorRequest,
                                                     absl::Duration timeout);

    Result<Plan> plan(const ConfigurationDelta &delta) const;
    Result<Plan> planReplacement(const Configuration &target) const;
    SharedConfiguration configuration() const;
    NodeStatus status() const;
    std::optional<MemberHost> find(const HostId &host) const override;

private:
    struct PendingRequest
    {
        std::optional<OperatorResult> result;
    };

    void executeEffects(ControlEffects effects, std::uint64_t generation,
                        std::vector<BackendServer> ownBackendServers);
    void completeRequest(OperatorAnswer answer);

    mutable absl::Mutex m_mutex; ///< The control lock.
    std::unique_ptr<ControlPlane> m_controlPlane ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_tableGeneration ABSL_GUARDED_BY(m_mutex) = 0;
    PeerClient &m_peers;
    PlatformWorkers &m_platform;
    Metrics &m_metrics;
    TableCallback m_onTableChanged;
    absl::Mutex m_requestsMutex; ///< A leaf lock: no other lock is taken while it is held.
    std::map<OperatorRequestId, PendingRequest> m_pendingRequests ABSL_GUARDED_BY(m_requestsMutex);
    std::uint64_t m_nextRequestId ABSL_GUARDED_BY(m_requestsMutex) = 1;
};

} // namespace godwitlift
