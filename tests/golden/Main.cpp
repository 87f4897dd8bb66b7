/// \file
/// Prints the transcript of the golden session of a deployment: `golden-session EXAMPLES
/// jarvey|cordao`.
#include "Deployments.h"
#include "Session.h"

#include <iostream>

namespace {

using namespace godwitlift;
using namespace godwitlift::test;

std::string runJarvey(const std::string &examples)
{
    Session session({ "liberties", "ringsend", "phibsborough" }, 3);
    for (int i = 0; i < 9; ++i)
        session.announceBackendServer(HostId("host-" + std::to_string(i)),
                                      i < 6 ? "booking-desk" : "stable-ledger");
    Configuration configuration = readDeployment(examples + "/jarvey");
    session.publish(HostId("host-4"), configuration);
    session.publish(HostId("host-7"), configuration);
    session.call(HostId("host-8"), "/rosters/tonight");
    session.call(HostId("host-2"), "/fares/deposit", "deposit-4711");
    session.call(HostId("host-2"), "/fares/deposit", "deposit-4711");
    session.call(HostId("host-5"), "/fares/deposit", "deposit-4711");
    session.call(HostId("host-5"), "/fares/deposit");
    session.call(HostId("host-0"), "/nowhere");
    // Invalid: the service of a route is missing.
    Configuration invalid = configuration;
    invalid.services.erase(ServiceId("stable-ledger"));
    session.publish(HostId("host-1"), invalid);
    configuration.routes.erase(RouteId("photo-packs"));
    session.publish(HostId("host-1"), configuration);
    session.call(HostId("host-3"), "/photo-packs/1");
    session.drain(HostId("host-0"), "booking-desk");
    for (int i = 0; i < 3; ++i)
        session.call(HostId("host-6"), "/rosters/tonight");
    session.shutDown(HostId("host-0"));
    session.call(HostId("host-3"), "/rosters/tonight");
    return session.transcript();
}

std::string runCordao(const std::string &examples)
{
    Session session({ "caruaru", "recife", "campina", "fortaleza" }, 3);
    for (int i = 0; i < 12; ++i)
        session.announceBackendServer(HostId("host-" + std::to_string(i)),
                                      i < 7 ? "order-app" : "artwork");
    Configuration configuration = readDeployment(examples + "/cordao");
    session.publish(HostId("host-0"), configuration);
    session.call(HostId("host-11"), "/stock/cord/red");
    session.call(HostId("host-9"), "/orders/new", "order-77");
    session.call(HostId("host-9"), "/orders/new", "order-77");
    session.call(HostId("host-1"), "/proofs/badge.pdf");
    session.call(HostId("host-1"), "/artwork/checks/1");
    configuration.ranks.at(RankId("proofs")).floorShare = 0.3;
    session.publish(HostId("host-10"), configuration);
    session.drain(HostId("host-8"), "artwork");
    for (int i = 0; i < 3; ++i)
        session.call(HostId("host-2"), "/proofs/badge.pdf");
    session.shutDown(HostId("host-8"));
    session.call(HostId("host-2"), "/proofs/badge.pdf");
    return session.transcript();
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: golden-session EXAMPLES jarvey|cordao\n";
        return 2;
    }
    std::cout << (std::string(argv[2]) == "jarvey" ? runJarvey(argv[1]) : runCordao(argv[1]));
    return 0;
}
