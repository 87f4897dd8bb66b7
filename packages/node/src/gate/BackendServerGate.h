/// \file
/// Admission and forwarding of all requests to this host's backend server.
#pragma once

#include "gate/Attempt.h"
#include "gate/BackendConnection.h"

#include "godwitlift/serving/Gate.h"
#include "godwitlift/traffic/CallAttribution.h"
#include "godwitlift/traffic/CrashDetector.h"
#include "godwitlift/traffic/FinishTimeSelector.h"
#include "godwitlift/traffic/ServerLifecycle.h"
#include "godwitlift/traffic/SmoothedSlowdown.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace godwitlift {

class GateAttempt;

/// How a request that was sent to the backend server ended.
enum class ServerRunEnd : std::uint8_t {
    Answered, ///< With a complete answer that is no server error.
    Failed,   ///< A server error, an incomplete answer, or none.
    GivenUp   ///< The sender gave it up.
};

/// Receives the events of a gate.
class GateListener
{
public:
    virtual ~GateListener() = default;
    /// Whether the backend server takes work, or how much of it is in use, has changed.
    virtual void onGateStateChanged(bool isUrgent) = 0;
    /// \p reason is why the gate refused an attempt.
    virtual void onAttemptRefused(const std::string &requestId, Reason reason) = 0;
    /// Whether the backend server may run \p request.
    virtual bool admits(const AttemptRequest &request) = 0;
    /// \p serviceTime is since the request was sent to the backend server.
    virtual void onServerRunEnded(const AttemptRequest &request, ServerRunEnd end,
                                  absl::Duration serviceTime) = 0;
    virtual void onServerStateChanged(std::string_view cause) = 0;
    /// The backend server states another request limit than before, or none.
    virtual void onRequestLimitChanged() = 0;
    /// The backend server states a request limit that cannot be read.
    virtual void onRequestLimitUnreadable() = 0;
    /// The backend server ended while it ran a request. Called for each request that it ran.
    virtual void onServerCrashed(const ServerCrash &crash) = 0;
    /// As onServerCrashed(), for a request that was answered \p answerAge before and is therefore
    /// not held to be the cause.
    virtual void onCrashNotCharged(const ServerCrash &crash, absl::Duration answerAge) = 0;
    /// The backend server has answered a request under which servers had ended.
    virtual void onCrashesCleared(ContentDigest content) = 0;
    /// An answer to \p requestId says that the backend server leaves, which was not known. The gate
    /// obeys \p record, which has no copy yet.
    virtual void onLeavingNotice(const std::string &requestId, const DrainRecord &record) = 0;
};

/// Owns slots, queue, connections and life cycle of the host's backend server.
///
/// Invariants: requests in progress at the backend server never exceed its slots as announced;
/// those sent to it never exceed the request limit that its latest answer states.
class BackendServerGate final
{
public:
    struct Options
    {
        ServiceId service;
        asio::ip::tcp::endpoint address;
        const PlatformProtocol &protocol;
        CrashHistory &crashHistory; ///< Of the node.
    };

    BackendServerGate(asio::io_context &loop, Options options, GateListener &listener);
    ~BackendServerGate();

    /// Sets the configuration, which defines the health path; the first one triggers a probe.
    void setCatalogue(std::shared_ptr<const RouteCatalogue> catalogue);

    void open(AttemptRequest request, std::weak_ptr<AttemptObserver> observer);
    /// True if the attempt is known not to have run.
    bool cancel(AttemptId id);
    void grantCredit(AttemptId id, std::size_t bytes);
    /// Why open() would refuse \p request, as far as its place in the queue does not matter.
    std::optional<Reason> reasonToRefuse(const AttemptRequest &request) const;
    /// Time by which the body of \p request must have arrived for the request to be admitted.
    absl::Time latestArrival(const AttemptRequest &request) const;
    /// Reports that \p request was refused before it was opened.
    void recordRefusal(const AttemptRequest &request, Reason reason)
    {
        m_listener.onAttemptRefused(request.requestId, reason);
    }

    LifecycleChange onAnnouncement(const ServerAnnouncement &announcement);
    LifecycleChange onDeregistration(const BackendServerId &id);
    void markDrained(const BackendServerId &id, std::int64_t startedUnixMs);
    /// See ServerLifecycle::awaitDrainRecall().
    void awaitDrainRecall() { m_lifecycle.awaitDrainRecall(); }
    void onDrainsRecalled();
    /// See ServerLifecycle::onFirstStart().
    void onFirstStart();
    /// A peer was told by an earlier process of this node that the backend server \p id states a
    /// request limit. It holds until the first answer of the server to this node.
    void recallRequestLimit(const BackendServerId &id, double requestsPerSecond);
    /// Starts a health probe. Does nothing without a configuration or while a probe is in progress.
    void probe();
    /// The node stops: refuses new attempts that are not expected to end by \p time.
    void setLatestCompletion(absl::Time time) { m_latestCompletion = time; }
    /// Refuses queued and new attempts; running ones continue.
    void beginShutdown();

    GateReport report() const;
    /// Requests per second that the backend server takes, by its latest answer; none if unlimited.
    std::optional<double> requestLimit() const { return m_gate.rateLimit().limit(); }
    /// Requests that were sent to the backend server since the node started.
    std::uint64_t startedRequestCount() const { return m_startedRequestCount; }
    const ServerLifecycle &lifecycle() const { return m_lifecycle; }
    std::size_t attemptCount() const { return m_attempts.size(); }
    std::vector<RunInProgress> runsInProgress() const;
    /// Refuses requests that would miss their deadline; closes idle connections. To be called every
    /// 20 ms while requests are queued, otherwise every second.
    void tick();
    bool hasQueuedAttempts() const;

private:
    friend class GateAttempt;
    class Probe;

    GateRequest gateRequestOf(const AttemptRequest &request) const;
    void applyGateActions(const GateActions &step);
    void startAttempt(AttemptId id);
    void refuseAttempt(AttemptId id, Reason reason, absl::Duration retryAfter);
    void onAttemptEnded(GateAttempt &attempt, RunOutcome outcome, bool isServerError = false);
    void applyLifecycleChange(LifecycleChange change, std::string_view cause);
    void onServerLost(std::string_view cause);
    /// Evaluates what an answer to \p requestId says about the backend server. \p processNumber is
    /// of the process to which the request was sent.
    void onServerNotice(const ResponseHead &head, const std::string &requestId,
                        std::uint64_t processNumber);
    /// Forgets what the gate knows about an earlier process than the current one.
    void resetForNewProcess();
    void applyRecalledLimit();
    ServerProcess currentProcess() const;
    void onAnswerLost(const GateAttempt &attempt);
    /// The process that has run requests until now accepts no connections or has been replaced.
    void reportCrashes();
    void updateSlots();
    std::shared_ptr<BackendConnection> acquireConnection(const AttemptRequest &request);
    void releaseConnection(const std::shared_ptr<BackendConnection> &connection);
    std::string encodeHead(const AttemptRequest &request) const;

    asio::io_context &m_loop;
    Options m_options;
    GateListener &m_listener;
    std::shared_ptr<const RouteCatalogue> m_catalogue;
    ServerLifecycle m_lifecycle;
    Gate m_gate;
    CrashDetector m_crashDetector;
    FailureShare m_failures; ///< Over the attempts of all nodes at this backend server.
    SmoothedSlowdown m_slowdown;
    /// Queued and running.
    absl::flat_hash_map<AttemptId, std::shared_ptr<GateAttempt>> m_attempts;
    /// Most recently used last.
    std::vector<std::shared_ptr<BackendConnection>> m_idleConnections;
    std::shared_ptr<Probe> m_probe;
    absl::Time m_latestCompletion = absl::InfiniteFuture();
    bool m_isShuttingDown = false;
    std::uint64_t m_gateProcessNumber = 0; ///< Of the process whose request limit the gate keeps.
    std::uint64_t m_startedRequestCount = 0;
    /// The lowest recalled request limit of each server; empty once the current process answers.
    std::map<BackendServerId, double> m_recalledLimits;
    /// The current process has stated its request limit, or that it has none.
    bool m_hasServerNotice = false;
};

/// Passes the attempts of one source, such as the ingress or a peer's session, to the gate of the
/// same host. Adds the source's number to the attempt ids so that they are unique at the gate.
class LocalGateway final : public AttemptGateway
{
public:
    /// \p sourceNumber is unique among the sources of \p gate for the life of the process.
    LocalGateway(BackendServerGate &gate, std::uint32_t sourceNumber)
        : m_gate(gate)
        , m_sourceNumber(sourceNumber)
    {}

    void open(AttemptRequest request, std::weak_ptr<AttemptObserver> observer) override;
    bool cancel(AttemptId id) override;
    void grantCredit(AttemptId id, std::size_t bytes) override;

    /// Returns the gate's id of the attempt with the source's id \p id.
    AttemptId gateAttemptId(AttemptId id) const;
    /// Returns the source's id of the attempt with the gate's id \p id.
    static AttemptId sourceAttemptId(AttemptId id);

private:
    /// Low bits of the gate's id, which hold the source's id.
    static constexpr unsigned SourceAttemptIdBits = 40;

    BackendServerGate &m_gate;
    std::uint32_t m_sourceNumber;
};

} // namespace godwitlift
