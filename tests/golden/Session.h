/// \file
/// A whole session of a deployment on the decisions' seam, written as text.
#pragma once

#include "FakeMesh.h"
#include "godwitlift/serving/HostGates.h"
#include "godwitlift/serving/Ingress.h"

#include <map>
#include <memory>
#include <string>

namespace godwitlift::test {

/// Plays a session and records each step as one line. The same deployment gives the same text.
class Session final
{
public:
    /// \p hostsPerZone nodes in each of \p zones.
    Session(const std::vector<std::string> &zones, int hostsPerZone);
    ~Session();
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /// A backend server announces itself on a host.
    void announce(const HostId &host, const std::string &service);
    /// Plans and confirms \p target as the whole wanted state and waits until it is in force.
    void publish(const HostId &host, const Configuration &target);
    void call(const HostId &ingress, const std::string &path, const std::string &key = "");
    void drain(const HostId &host, const std::string &service);
    void shutDown(const HostId &host);

    const std::string &text() const { return m_text; }

private:
    struct Serving;

    void line(const std::string &text);
    /// Lets time pass while the backend servers go on with their heartbeats.
    void advance(absl::Duration duration);
    Serving &serving(const HostId &host);
    void syncServing();
    void carryOut(const HostId &host, const IngressActions &step);
    void forward(const HostId &from, const ForwardAction &order);

    FakeMesh m_mesh;
    std::map<HostId, std::string> m_services; ///< What each host's backend server announces.
    std::map<HostId, std::unique_ptr<Serving>> m_serving;
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_nextOperation = 1;
    std::string m_text;
};

} // namespace godwitlift::test
