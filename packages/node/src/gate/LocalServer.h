/// \file
/// The gate: the only door to this host's backend server.
#pragma once

#include "gate/Attempt.h"
#include "gate/BackendConnection.h"

#include "godwitlift/serving/Gate.h"
#include "godwitlift/traffic/FinishTimeSelector.h"
#include "godwitlift/traffic/ServerLifecycle.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <vector>

namespace godwitlift {

class GateRun;

/// Hears about changes at the gate.
class GateListener
{
public:
    virtual ~GateListener() = default;
    /// Whether the backend server takes work, or how much of it is in use, has changed.
    virtual void gateChanged(bool isUrgent) = 0;
    /// \p reason is why the gate turned an attempt away.
    virtual void gateRefused(const std::string &requestId, Reason reason) = 0;
    virtual void serverStateChanged(std::string_view cause) = 0;
};

/// Owns slots, queue, connections and life cycle of the host's backend server.
///
/// Invariant: requests in progress at the backend server never exceed its slots as announced.
class LocalServer final
{
public:
    struct Options
    {
        ServiceId service;
        asio::ip::tcp::endpoint address;
        const PlatformProtocol &protocol;
    };

    LocalServer(asio::io_context &loop, Options options, GateListener &listener);
    ~LocalServer();

    /// Takes over ranks and the health path of a configuration version.
    void setCatalogue(std::shared_ptr<const RouteCatalogue> catalogue);

    void open(AttemptOrder order, std::weak_ptr<AttemptObserver> observer);
    void cancel(AttemptId id);
    void grant(AttemptId id, std::size_t bytes);

    LifecycleChange announced(const ServerAnnouncement &announcement);
    LifecycleChange deregistered(const BackendServerId &id);
    void recallDrained(const BackendServerId &id, std::int64_t startedUnixMs);
    /// Asks the backend server who it is. Does nothing without a configuration.
    void probe();
    /// The node stops: nothing new is taken, what runs goes on.
    void beginLeaving();

    GateReport report() const;
    const ServerLifecycle &lifecycle() const { return m_lifecycle; }
    std::size_t runningCount() const { return m_runs.size(); }
    /// Refuses hopeless requests and closes idle connections. Call it every 20 ms while requests
    /// wait, otherwise about once a second.
    void tick();
    bool hasWaiting() const;

private:
    friend class GateRun;
    class Probe;

    void carryOut(const GateActions &step);
    void start(AttemptId id);
    void refuse(AttemptId id, Reason reason, absl::Duration retryAfter);
    void runEnded(GateRun &run, RunOutcome end, bool isServerError = false);
    void applyChange(LifecycleChange change, std::string_view cause);
    void serverLost(std::string_view cause);
    void updateSlots();
    std::shared_ptr<BackendConnection> connectionFor(const AttemptOrder &order);
    void release(const std::shared_ptr<BackendConnection> &connection);
    std::string requestText(const AttemptOrder &order) const;

    asio::io_context &m_loop;
    Options m_options;
    GateListener &m_listener;
    std::shared_ptr<const RouteCatalogue> m_catalogue;
    ServerLifecycle m_lifecycle;
    Gate m_gate;
    FailureShare m_failures; ///< Of the backend server, over the attempts of all nodes.
    absl::flat_hash_map<AttemptId, std::shared_ptr<GateRun>> m_runs; ///< Waiting and running.
    std::vector<std::shared_ptr<BackendConnection>> m_idle;          ///< The last used one last.
    std::shared_ptr<Probe> m_probe;
    bool m_isLeaving = false;
};

/// The way from one source of attempts to the gate of the same host. Keeps the ids of different
/// sources apart.
class GateDoor final : public AttemptGateway
{
public:
    /// \p source is unique among the doors of \p server during the life of the process.
    GateDoor(LocalServer &server, std::uint32_t source)
        : m_server(server)
        , m_source(source)
    {}

    void open(AttemptOrder order, std::weak_ptr<AttemptObserver> observer) override;
    void cancel(AttemptId id) override;
    void grant(AttemptId id, std::size_t bytes) override;

    /// The source's own id within an id of the gate.
    static AttemptId sourceId(AttemptId id);

private:
    /// Bits of an id that belong to the source.
    static constexpr unsigned SourceShift = 40;

    AttemptId gateId(AttemptId id) const;

    LocalServer &m_server;
    std::uint32_t m_source;
};

} // namespace godwitlift
