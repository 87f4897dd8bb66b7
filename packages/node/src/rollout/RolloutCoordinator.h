/// \file
/// Carries the orders, states, evidence and results of roll-outs between store, peers and gate.
#pragma once

#include "gate/BackendServerGate.h"
#include "mesh.pb.h"
#include "report/NodeMetrics.h"
#include "report/RateLimitedLog.h"
#include "store/StoreClient.h"

#include "godwitlift/rollout/RolloutDecider.h"
#include "godwitlift/rollout/RolloutRecord.h"
#include "godwitlift/rollout/RolloutTraffic.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace godwitlift {

/// The other nodes, as the roll-outs use them.
class RolloutPeers
{
public:
    virtual ~RolloutPeers() = default;
    virtual void broadcast(const mesh::Frame &frame) = 0;
    virtual void sendTo(const HostId &host, const mesh::Frame &frame) = 0;
    /// This node and the others that it reaches.
    virtual std::vector<DeciderCandidate> deciderCandidates() const = 0;
};

/// Runs the roll-outs on one node. Every node divides its own requests by the state that it knows.
/// One node of those that reach each other, the same for all of them, collects the evidence and
/// decides; its results hold once the store has them.
///
/// Invariants: a completion is acted upon only once the store has recorded it; a roll-back is acted
/// upon at once, and recorded as soon as the store answers. See RolloutRecord for the row.
class RolloutCoordinator final
{
public:
    struct Options
    {
        HostId ownHost;
        ServiceId ownService; ///< Of the backend server on this host.
        RolloutBounds bounds;
    };

    RolloutCoordinator(Options options, StoreClient &store, const PlatformProtocol &protocol,
                       BackendServerGate &gate, FinishTimeSelector &selector,
                       RolloutTraffic &traffic, RolloutPeers &peers, RateLimitedLog &log,
                       NodeMetrics &metrics);

    void setCatalogue(std::shared_ptr<const RouteCatalogue> catalogue)
    {
        m_catalogue = std::move(catalogue);
    }
    /// A row of the configuration's table other than the configuration.
    void onRow(const StoreRow &row);
    void onPeerState(const HostId &peer, const mesh::RolloutState &message);
    void onPeerEvidence(const HostId &peer, const mesh::RolloutEvidence &message);
    /// See GateListener.
    bool admits(const AttemptRequest &request) const;
    void onServerRunEnded(const AttemptRequest &request, ServerRunEnd end,
                          absl::Duration serviceTime);
    void addStates(mesh::GateState &message) const;
    /// To be called about ten times a second.
    void tick();

private:
    /// Evidence of this host's own backend server, for the latest order of its service.
    struct OwnEvidence
    {
        std::uint64_t order = 0;
        std::uint64_t processNumber = 0;
        ServerEvidence evidence;
        std::uint32_t unreportedFailures = 0;
        absl::Time reported = absl::InfinitePast();
    };
    /// What a node that decides knows about one roll-out beyond its state.
    struct Decision
    {
        std::uint64_t order = 0;
        RolloutEvidence evidence;
        std::optional<RolloutRecord> record;
    };

    void adopt(const RolloutState &state, std::string_view source);
    void updateServers(const RolloutState &state);
    void reportEvidence(const RolloutState &state, const std::vector<HostId> &deciders);
    /// Takes the steps that have been due for \p delay.
    void decide(const RolloutState &state, absl::Duration delay);
    RolloutView makeView(const RolloutState &state, const RolloutEvidence &evidence) const;
    /// Brings the status row to \p state.
    void record(const RolloutState &state);
    void onRowRead(const RolloutState &state, const StoreAnswer &answer);
    void onRowWritten(const RolloutState &state, const StoreAnswer &answer);
    Decision &decision(const RolloutOrder &order);
    /// Of \p order; null if a later one has replaced it, or it is forgotten.
    RolloutRecord *findRecord(const RolloutOrder &order);
    void broadcastState(const RolloutState &state);

    Options m_options;
    absl::Time m_started;
    RolloutDecider m_decider;
    StoreClient &m_store;
    const PlatformProtocol &m_protocol;
    BackendServerGate &m_gate;
    FinishTimeSelector &m_selector;
    RolloutTraffic &m_traffic;
    RolloutPeers &m_peers;
    RateLimitedLog &m_log;
    NodeMetrics &m_metrics;
    std::shared_ptr<const RouteCatalogue> m_catalogue;
    OwnEvidence m_ownEvidence;
    std::map<ServiceId, Decision> m_decisions;
};

} // namespace godwitlift
