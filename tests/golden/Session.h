/// \file
/// Scripted session of a simulated deployment, recorded as a text transcript.
#pragma once

#include "FakeMesh.h"
#include "godwitlift/serving/HostGates.h"
#include "godwitlift/serving/Ingress.h"

#include <map>
#include <memory>
#include <string>

namespace godwitlift::test {

/// Runs the steps of a session and records inputs and decisions line by line. The transcript is
/// deterministic.
class Session final
{
public:
    /// Starts \p hostsPerZone nodes in each of \p zones.
    Session(const std::vector<std::string> &zones, int hostsPerZone);
    ~Session();
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /// Announces a backend server on \p host and keeps sending its heartbeats.
    void announceBackendServer(const HostId &host, const std::string &service);
    /// Plans and confirms the replacement of the configuration by \p target and waits until it is
    /// in force.
    void publish(const HostId &host, const Configuration &target);
    void call(const HostId &ingress, const std::string &path, const std::string &key = "");
    void drain(const HostId &host, const std::string &service);
    void shutDown(const HostId &host);

    const std::string &transcript() const { return m_transcript; }

private:
    struct ServingState;

    void appendLine(const std::string &text);
    /// Advances the time and sends the heartbeats of the backend servers.
    void advanceTime(absl::Duration duration);
    ServingState &servingState(const HostId &host);
    /// Passes the current routing table and backend servers of every node to its ingress and gates.
    void updateServingStates();
    void execute(const HostId &host, const IngressActions &actions);
    void forward(const HostId &from, const ForwardAction &action);

    FakeMesh m_mesh;
    std::map<HostId, std::string> m_serviceByHost; ///< Service of each announced backend server.
    std::map<HostId, std::unique_ptr<ServingState>> m_servingStates;
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_nextLocalAttempt = 1;
    std::uint64_t m_nextOperation = 1;
    std::string m_transcript;
};

} // namespace godwitlift::test
