/// \file
/// Connects the ingress and the gates to HTTP, peers, the platform and the backend servers.
#pragma once

#include "CallAnswer.h"
#include "ControlRuntime.h"
#include "godwitlift/adapters/BackendClient.h"
#include "godwitlift/serving/HostGates.h"
#include "godwitlift/serving/Ingress.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <map>
#include <memory>

namespace godwitlift {

/// Runs the ingress and the gates of a node. Thread-safe. Decisions are made with the serving lock
/// held; the resulting actions are executed after it is released. Lock order: the control lock may
/// be acquired while the serving lock is held, never the other way round.
class ServingRuntime final : public HttpHandler
{
public:
    /// All references must outlive the runtime.
    ServingRuntime(const NodeIdentity &identity, IngressPolicy policy, RandomSource &random,
                   const MemberLookup &memberLookup, PeerClient &peers, PlatformWorkers &platform,
                   BackendClient &backends, Metrics &metrics);

    /// Applies a routing table unless a later one is already in use.
    void setRoutingTable(const CompiledTable &compiled);
    /// Until the node is ready, calls are refused: with the verdict MayHaveRun if they have an
    /// idempotency key, otherwise with NotRun.
    void setReady() { m_ready = true; }
    /// Handles a call from an HTTP caller.
    void handle(std::shared_ptr<HttpExchange> exchange) override;
    /// Handles a call from a peer: one for a gate of this host, or one relayed to this node as the
    /// owner of its idempotency key.
    void onForwardedCall(ForwardedCall call, std::shared_ptr<AnswerSink> sink);
    IdempotencyKey issueKey();
    /// Must be called about every 10 ms.
    void tick();
    /// Refuses new and queued requests at the gates and new calls at the ingress.
    void drain();
    /// Number of calls, and of requests at the gates, that have not ended.
    std::size_t activeRequestCount() const;

private:
    class AttemptSink;
    class RelaySink;

    /// A call in progress at the ingress.
    struct ActiveCall
    {
        ForwardedCall request; ///< Copied for each attempt, which then sets its own fields.
        std::shared_ptr<CallAnswer> answer;
        absl::Time arrivalTime;
        std::string rank; ///< For the metrics; empty before the first attempt.
    };
    /// An attempt in progress at another node or at a gate of this host.
    struct ActiveAttempt
    {
        CallId call;
        std::shared_ptr<CallAnswer> answer;
        Address address;                       ///< Empty for a gate of this host.
        std::shared_ptr<ForwardHandle> handle; ///< Null for a gate of this host.
        std::shared_ptr<std::atomic<bool>> cancelled;
    };
    /// A request that is queued or running at a gate of this host.
    struct GateAttempt
    {
        std::shared_ptr<ForwardedCall> call;
        std::shared_ptr<AnswerSink> sink;
        absl::Time deadline;
        bool isRunning = false;
    };

    CallId startCall(CallHead head, ActiveCall call);
    void onCallerDisconnected(CallId call);
    void execute(IngressActions actions);
    void execute(const HostGateActions &actions);
    void forward(const ForwardAction &action);
    void relay(const RelayAction &action);
    void refuse(const CallRefusal &refusal);
    void replay(const ReplayAction &action);
    void complete(CallId call);
    /// Also replaces the connection to the peer if \p isPeerUnresponsive.
    void cancelAttempt(AttemptId attempt, bool isPeerUnresponsive);
    void onAttemptEnded(const AttemptReport &report);
    void sendToBackend(const AdmittedRequest &admitted);
    void onBackendRequestEnded(AttemptId localAttempt, RunOutcome outcome, Reason reason,
                               std::uint64_t receivedBytes);
    void onGateRefusal(const GateRefusal &refusal);
    void submitToGate(ForwardedCall call, std::shared_ptr<AnswerSink> sink);
    void cancelAbandonedGateAttempts();
    void cancelStalledAttempts();
    std::shared_ptr<ActiveCall> removeCall(CallId call);
    std::shared_ptr<ActiveCall> findCall(CallId call) const;

    NodeIdentity m_identity;
    PeerClient &m_peers;
    PlatformWorkers &m_platform;
    BackendClient &m_backends;
    Metrics &m_metrics;
    std::atomic<bool> m_ready = false;
    std::atomic<bool> m_draining = false;

    mutable absl::Mutex m_mutex; ///< The serving lock.
    Ingress m_ingress ABSL_GUARDED_BY(m_mutex);
    HostGates m_gates ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_tableGeneration ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_nextCallId ABSL_GUARDED_BY(m_mutex) = 1;
    std::uint64_t m_nextLocalAttempt ABSL_GUARDED_BY(m_mutex) = 1;
    std::map<CallId, std::shared_ptr<ActiveCall>> m_calls ABSL_GUARDED_BY(m_mutex);
    std::map<AttemptId, ActiveAttempt> m_attempts ABSL_GUARDED_BY(m_mutex);
    /// Keyed by local attempt, because attempt ids of different ingress nodes may be equal.
    std::map<AttemptId, GateAttempt> m_gateAttempts ABSL_GUARDED_BY(m_mutex);
};

} // namespace godwitlift
