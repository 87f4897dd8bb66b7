/// \file
/// Control planes of many nodes in one process, joined by a fake network in virtual time.
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

/// How the fake network treats messages.
struct NetworkFaults
{
    double loss = 0;
    double duplication = 0;
    double lateness = 0; ///< Probability that a message is late by up to two seconds.
};

/// One node of the fake mesh.
struct FakeNode
{
    NodeIdentity identity;
    std::unique_ptr<SeededRandom> random;
    std::unique_ptr<ControlPlane> plane; ///< Null while the node is down.
    std::uint64_t life = 0; ///< Counts starts; messages and timers of an earlier life are dropped.
    bool isPaused = false;
    std::vector<std::function<void()>> delayed; ///< Inputs that wait for the end of a pause.
    Version highest;                            ///< Highest version held in this life.
    std::shared_ptr<const RoutingTable> table;
    absl::Time appliedAt; ///< Time of the last rise of the version.
};

/// Drives control planes and checks the invariants of configuration after every input.
class FakeMesh final
{
public:
    explicit FakeMesh(std::uint64_t seed, ControlPolicy policy = {});

    VirtualTime time;
    FakePlatform platform;
    NetworkFaults faults;
    std::vector<std::string> violations; ///< Broken invariants; must stay empty.
    std::map<std::string, std::uint64_t> messagesByKind;
    std::map<OperatorRequestId, OperatorResult> replies;

    /// Adds and starts a node. The first three nodes are the seeds of all others.
    HostId add(const std::string &zone);
    /// Adds \p count nodes to each of \p zones.
    void addZones(const std::vector<std::string> &zones, int count);
    void kill(const HostId &host);
    void restart(const HostId &host);
    void pause(const HostId &host);
    void resume(const HostId &host);
    /// Cuts two zones off from each other; "platform" stands for the platform.
    void cut(const std::string &a, const std::string &b);
    void heal();
    /// Loses everything that \p from sends to \p to until it opens a new connection.
    void silence(const HostId &from, const HostId &to);

    void announce(const HostId &host, const std::string &service, bool draining = false);
    /// Plans \p delta at \p host and confirms it; the reply appears in `replies`.
    OperatorRequestId publish(const HostId &host, const ConfigurationDelta &delta,
                              const std::string &author = "dispatcher");
    OperatorRequestId confirm(const HostId &host, Confirmation confirmation);
    /// Feeds any input to a node.
    void feed(const HostId &host, const std::function<ControlEffects(ControlPlane &)> &input);

    FakeNode &node(const HostId &host) { return m_nodes.at(host); }
    const std::map<HostId, FakeNode> &nodes() const { return m_nodes; }
    std::vector<HostId> hosts() const;
    std::vector<HostId> hostsOf(const std::string &zone) const;
    /// Whether every running node holds \p version.
    bool allHold(Version version) const;
    /// Whether all running nodes agree on all host records.
    bool allAgreeOnPresence() const;
    RandomSource &random() { return m_random; }

private:
    void start(const HostId &host);
    void scheduleTick(const HostId &host, std::uint64_t life);
    void carryOut(const HostId &host, ControlEffects effects);
    void send(const FakeNode &from, const OutgoingMessage &message);
    void ask(const FakeNode &from, const PlatformRequest &request);
    void check(const HostId &host);
    bool isCut(const std::string &a, const std::string &b) const;

    ControlPolicy m_policy;
    SeededRandom m_random;
    std::map<HostId, FakeNode> m_nodes;
    std::map<Address, HostId> m_byAddress;
    std::vector<Address> m_seeds;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<std::pair<Address, Address>> m_silent;
    std::uint64_t m_nextRequest = 1;
};

/// A delta that puts one service with one route, and the ranks they need.
ConfigurationDelta serviceDelta(const std::string &service, int variant = 0);

} // namespace godwitlift::test
