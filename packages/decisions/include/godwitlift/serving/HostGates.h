/// \file
/// The gates of all backend servers on one host.
#pragma once

#include "godwitlift/membership/HostRecord.h"
#include "godwitlift/serving/Gate.h"
#include "godwitlift/serving/RoutingTable.h"

#include <map>
#include <vector>

namespace godwitlift {

/// A request that an ingress node forwarded to this host.
struct ForwardedRequest
{
    AttemptId localAttempt; ///< Unique on this host.
    BackendServerId server;
    RankId rank;
    CallerId caller;
    absl::Time deadline;
};

/// A request that may be sent to its backend server now.
struct AdmittedRequest
{
    AttemptId localAttempt;
    Address address;
};

/// Requests to start or to refuse.
struct HostGateActions
{
    std::vector<AdmittedRequest> starts;
    std::vector<GateRefusal> refusals;
};

/// Keeps one gate per announced backend server. Not thread-safe.
///
/// Invariant: a gate whose backend server is no longer announced refuses new requests and is
/// removed when its running requests have ended.
class HostGates final
{
public:
    explicit HostGates(QueueDiscipline discipline = QueueDiscipline::PriorityWithFloors)
        : m_discipline(discipline)
    {}

    /// Applies the announced backend servers and the ranks of the configuration in force.
    HostGateActions updateServers(const std::vector<BackendServer> &servers,
                                  const RoutingTable &table, absl::Time now);
    HostGateActions submit(const ForwardedRequest &request, absl::Time now);
    HostGateActions onRunEnded(AttemptId localAttempt, RunOutcome outcome, absl::Time now);
    /// Removes a queued request. Returns false if the request is unknown or has started.
    bool cancel(AttemptId localAttempt);
    HostGateActions drainAll(absl::Time now);
    HostGateActions tick(absl::Time now);

    /// Load of the gate of \p server; a limit of 0 if there is no such gate.
    GateLoad load(const BackendServerId &server, absl::Time now) const;
    /// Number of running requests over all gates.
    std::size_t inUse() const;

private:
    struct Entry
    {
        Gate gate;
        Address address;
        bool isAnnounced = true;
    };

    /// Adds the actions of one gate to \p allActions. Removes the gate if its backend server is no
    /// longer announced and no request runs.
    void mergeActions(const BackendServerId &server, Entry &entry, const GateActions &actions,
                      HostGateActions &allActions);

    QueueDiscipline m_discipline;
    std::map<BackendServerId, Entry> m_entries;
    std::map<AttemptId, BackendServerId> m_serverByAttempt; ///< Queued and running requests.
    bool m_draining = false;
};

} // namespace godwitlift
