/// \file
/// The control plane with its lock and the adapters that carry out its effects.
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

/// A routing table with its place in the order of compilation.
struct CompiledTable
{
    std::uint64_t serial = 0;
    std::shared_ptr<const RoutingTable> table;
    std::vector<BackendServer> ownBackendServers; ///< Of the same moment.
};

/// What an operator sees of this node without asking others.
struct NodeView
{
    Version version;
    bool isReady = false;
    bool isWatchingPlatform = false; ///< Only roots do.
    bool isPlatformReachable = false;
    bool isDoubtingItself = false;
    std::string level;
    HostId parent;
    std::size_t hosts = 0;
    std::optional<RefusedVersion> refused;
};

/// Thread-safe. Every input is handled under the control lock, its effects are carried out after it
/// is released.
class ControlRuntime final : public MemberLookup
{
public:
    using TableCallback = std::function<void(const CompiledTable &)>;
    using Input = std::function<ControlEffects(ControlPlane &, absl::Time)>;
    using Question = std::function<ControlEffects(ControlPlane &, OperatorRequestId, absl::Time)>;

    /// All references must outlive the runtime.
    ControlRuntime(std::unique_ptr<ControlPlane> plane, PeerClient &peers,
                   PlatformWorkers &platform, Metrics &metrics, TableCallback tableChanged);

    /// Feeds one input and carries out its effects.
    void feed(const Input &input);
    /// Feeds an operator's request and waits for its answer; empty after \p timeout.
    std::optional<OperatorResult> ask(const Question &question, absl::Duration timeout);

    Result<Plan> plan(const ConfigurationDelta &delta) const;
    Result<Plan> planWhole(const Configuration &target) const;
    SharedConfiguration configuration() const;
    NodeView view() const;
    std::optional<MemberHost> find(const HostId &host) const override;

private:
    struct Waiting
    {
        std::optional<OperatorResult> reply;
    };

    void carryOut(ControlEffects effects, std::uint64_t serial,
                  std::vector<BackendServer> ownBackendServers);
    void answer(OperatorAnswer answer);

    mutable absl::Mutex m_mutex; ///< The control lock.
    std::unique_ptr<ControlPlane> m_plane ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_tableSerial ABSL_GUARDED_BY(m_mutex) = 0;
    PeerClient &m_peers;
    PlatformWorkers &m_platform;
    Metrics &m_metrics;
    TableCallback m_tableChanged;
    absl::Mutex m_answersMutex; ///< A leaf.
    std::map<OperatorRequestId, Waiting> m_waiting ABSL_GUARDED_BY(m_answersMutex);
    std::uint64_t m_nextRequest ABSL_GUARDED_BY(m_answersMutex) = 1;
};

} // namespace godwitlift
