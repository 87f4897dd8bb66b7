/// \file
/// The gates of all backend servers on one host.
#pragma once

#include "godwitlift/membership/HostRecord.h"
#include "godwitlift/serving/Gate.h"
#include "godwitlift/serving/RoutingTable.h"

#include <map>
#include <vector>

namespace godwitlift {

/// A forwarded request as it reaches the host.
struct GateArrival
{
    AttemptId ticket; ///< Unique on this host.
    BackendServerId server;
    RankId rank;
    CallerId caller;
    absl::Time deadline;
};

/// A request that may be sent to its backend server now.
struct GateStart
{
    AttemptId ticket;
    Address address;
};

/// What the gates decided.
struct GatesStep
{
    std::vector<GateStart> starts;
    std::vector<GateRefusal> refusals;
};

/// Keeps one gate per announced backend server. Not thread-safe.
///
/// Invariant: a gate whose backend server is no longer announced refuses everything new and is
/// dropped once its started requests have ended.
class Gates final
{
public:
    explicit Gates(GateDiscipline discipline = GateDiscipline::Ranked)
        : m_discipline(discipline)
    {}

    /// Takes over the announced backend servers and the policy in force.
    GatesStep sync(const std::vector<BackendServer> &servers, const RoutingTable &table,
                   absl::Time now);
    GatesStep arrive(const GateArrival &arrival, absl::Time now);
    GatesStep finished(AttemptId ticket, RunEnd end, absl::Time now);
    /// The caller gave up; true if the request was waiting and now never runs.
    bool cancel(AttemptId ticket);
    GatesStep drainAll(absl::Time now);
    GatesStep tick(absl::Time now);

    /// Load of the gate a request is or was at; a zero limit if there is none.
    GateLoad load(const BackendServerId &server, absl::Time now) const;
    /// Requests that have started and not ended, over all gates.
    std::size_t inUse() const;

private:
    struct Entry
    {
        Gate gate;
        Address address;
        bool isAnnounced = true;
    };

    void collect(const BackendServerId &server, Entry &entry, const GateStep &step, GatesStep &all);

    GateDiscipline m_discipline;
    std::map<BackendServerId, Entry> m_entries;
    std::map<AttemptId, BackendServerId> m_tickets; ///< Requests that wait or run.
    bool m_draining = false;
};

} // namespace godwitlift
