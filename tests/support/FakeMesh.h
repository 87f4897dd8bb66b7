/// \file
/// Control planes of many nodes in one process, connected by a simulated network in virtual time.
#pragma once

#include "FakePlatform.h"
#include "VirtualTime.h"
#include "godwitlift/node/ControlPlane.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace godwitlift::test {

/// Faults of the simulated network.
struct NetworkFaults
{
    double lossProbability = 0;
    double duplicationProbability = 0;
    /// Probability that a message is delayed by up to two more seconds.
    double extraDelayProbability = 0;
};

/// One node of the simulated mesh.
struct FakeNode
{
    NodeIdentity identity;
    std::unique_ptr<SeededRandom> random;
    std::unique_ptr<ControlPlane> plane; ///< Null while the node is down.
    /// Incremented at each start and kill; platform answers and timers of earlier generations are
    /// dropped.
    std::uint64_t generation = 0;
    bool isPaused = false;
    std::vector<std::function<void()>> deferredInputs; ///< Inputs that arrived during a pause.
    Version highestVersion;                            ///< Highest version since the last start.
    std::shared_ptr<const RoutingTable> routingTable;
    absl::Time versionAppliedAt; ///< When `highestVersion` was applied.
};

/// Simulates the control planes of a fleet and checks the invariants of their configuration and
/// routing tables after every input.
class FakeMesh final
{
public:
    explicit FakeMesh(std::uint64_t seed, ControlPolicy policy = {});

    VirtualTime time;
    FakePlatform platform;
    NetworkFaults faults;
    std::vector<std::string> violations; ///< Violated invariants; must stay empty.
    std::map<std::string, std::uint64_t> messageCountByKind;
    std::map<OperatorRequestId, OperatorResult> operatorResults;

    /// Adds and starts a node. The first three nodes are the seed nodes of all others.
    HostId addNode(const std::string &zone);
    /// Adds \p countPerZone nodes to each of \p zones.
    void addNodes(const std::vector<std::string> &zones, int countPerZone);
    void kill(const HostId &host);
    void restart(const HostId &host);
    void pause(const HostId &host);
    void resume(const HostId &host);
    /// Drops all messages between two zones; "platform" stands for the platform.
    void partition(const std::string &a, const std::string &b);
    /// Removes all faults, restarts killed nodes and resumes paused ones.
    void clearFaults();
    /// Drops all messages from \p from to \p to until \p from replaces the connection.
    void dropMessages(const HostId &from, const HostId &to);

    void announceBackendServer(const HostId &host, const std::string &service,
                               bool isDraining = false);
    /// Plans \p delta at \p host and confirms it. The result appears in `operatorResults`.
    OperatorRequestId publish(const HostId &host, const ConfigurationDelta &delta,
                              const std::string &author = "dispatcher");
    OperatorRequestId confirm(const HostId &host, Confirmation confirmation);
    /// Passes any input to the control plane of \p host and executes the effects. If the node is
    /// paused, the input is deferred; if it is down, the input is dropped.
    void processInput(const HostId &host,
                      const std::function<ControlEffects(ControlPlane &)> &input);

    FakeNode &node(const HostId &host) { return m_nodes.at(host); }
    const std::map<HostId, FakeNode> &nodes() const { return m_nodes; }
    std::vector<HostId> hosts() const;
    std::vector<HostId> hostsInZone(const std::string &zone) const;
    /// Whether every running node holds \p version.
    bool allNodesHold(Version version) const;
    /// Whether all running nodes agree on all host records.
    bool allAgreeOnHostRecords() const;
    RandomSource &random() { return m_random; }

private:
    void start(const HostId &host);
    void scheduleTick(const HostId &host, std::uint64_t generation);
    void execute(const HostId &host, ControlEffects effects);
    void send(const FakeNode &from, const OutgoingMessage &message);
    void sendToPlatform(const FakeNode &from, const PlatformRequest &request);
    void checkInvariants(const HostId &host);
    bool isPartitioned(const std::string &a, const std::string &b) const;

    ControlPolicy m_policy;
    SeededRandom m_random;
    std::map<HostId, FakeNode> m_nodes;
    std::map<Address, HostId> m_hostByAddress;
    std::vector<Address> m_seedAddresses;
    std::set<std::pair<std::string, std::string>> m_partitions;
    std::set<std::pair<Address, Address>> m_droppingConnections; ///< Sender and receiver.
    std::uint64_t m_nextRequest = 1;
};

/// A delta that puts one service with one route and the rank it needs. Deltas of one service
/// differ if their \p variant differs.
ConfigurationDelta serviceDelta(const std::string &service, int variant = 0);

} // namespace godwitlift::test
