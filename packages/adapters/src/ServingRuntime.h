/// \file
/// Calls of callers and of peers: ingress and gates with their lock and adapters.
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

/// Thread-safe. Decisions are made under the serving lock; their effects are carried out after it
/// is released. The serving lock may be held while the control lock is taken, never the other way.
class ServingRuntime final : public HttpHandler
{
public:
    /// All references must outlive the runtime.
    ServingRuntime(const NodeIdentity &identity, IngressPolicy policy, RandomSource &random,
                   const MemberLookup &owners, PeerClient &peers, PlatformWorkers &platform,
                   BackendClient &backends, Metrics &metrics);

    /// Takes over a routing table unless a later one is in use.
    void setTable(const CompiledTable &compiled);
    /// Until then callers are refused as "not run".
    void setReady() { m_ready = true; }
    /// A caller's call.
    void handle(std::shared_ptr<HttpExchange> exchange) override;
    /// A call from a peer, for a gate or for the owner of its key.
    void callArrived(ForwardedCall call, std::shared_ptr<AnswerSink> sink);
    IdempotencyKey issueKey();
    void tick();
    /// Refuses new work at the gates and at the ingress.
    void drain();
    /// Calls and requests at the gates that have not ended.
    std::size_t inProgress() const;

private:
    class AttemptSink;
    class RelaySink;

    /// A call of a caller from arrival to end.
    struct ActiveCall
    {
        ForwardedCall request; ///< What is sent on, but for the attempt's own fields.
        std::shared_ptr<CallAnswer> answer;
        absl::Time arrived;
        std::string rank; ///< For the metrics; empty until an attempt is made.
    };
    /// An attempt that another node or a gate of this host works on.
    struct ActiveAttempt
    {
        CallId call;
        std::shared_ptr<CallAnswer> answer;
        Address address;                       ///< Empty for a gate of this host.
        std::shared_ptr<ForwardHandle> handle; ///< Null for a gate of this host.
        std::shared_ptr<std::atomic<bool>> cancelled;
    };
    /// A request at a gate of this host.
    struct GateTicket
    {
        std::shared_ptr<ForwardedCall> call;
        std::shared_ptr<AnswerSink> sink;
        absl::Time deadline;
        bool isRunning = false;
    };

    CallId begin(CallHead head, ActiveCall call);
    void callerGone(CallId call);
    void carryOut(IngressActions step);
    void carryOut(const HostGateActions &step);
    void forward(const ForwardAction &order);
    void relay(const RelayAction &order);
    void refuse(const CallRefusal &refusal);
    void replay(const ReplayAction &order);
    void complete(CallId call);
    void cancelAttempt(AttemptId attempt, bool isSilent);
    void attemptEnded(const AttemptReport &report);
    void startAtGate(const AdmittedRequest &start);
    void gateEnded(AttemptId ticket, RunOutcome end, Reason reason, std::uint64_t received);
    void refuseAtGate(const GateRefusal &refusal);
    void arriveAtGate(ForwardedCall call, std::shared_ptr<AnswerSink> sink);
    void cancelAbandonedTickets();
    void cancelStalledAttempts();
    std::shared_ptr<ActiveCall> takeCall(CallId call);
    std::shared_ptr<ActiveCall> activeCall(CallId call) const;

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
    std::uint64_t m_tableSerial ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_nextCall ABSL_GUARDED_BY(m_mutex) = 1;
    std::uint64_t m_nextTicket ABSL_GUARDED_BY(m_mutex) = 1;
    std::map<CallId, std::shared_ptr<ActiveCall>> m_calls ABSL_GUARDED_BY(m_mutex);
    std::map<AttemptId, ActiveAttempt> m_attempts ABSL_GUARDED_BY(m_mutex);
    std::map<AttemptId, GateTicket> m_tickets ABSL_GUARDED_BY(m_mutex);
};

} // namespace godwitlift
