/// \file
/// Ingress, gate and the sockets of clients and a backend server on one event loop, for tests.
#pragma once

#include "gate/LocalServer.h"
#include "godwitlift/platform_binding/PlatformBinding.h"
#include "http/HttpServer.h"
#include "ingress/IngressService.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <list>

namespace godwitlift {

inline asio::ip::tcp::endpoint loopback(std::uint16_t port)
{
    return { asio::ip::address_v4::loopback(), port };
}

/// A socket that collects what it reads.
struct Peer
{
    explicit Peer(asio::io_context &loop)
        : socket(loop.get_executor())
    {}

    void read()
    {
        socket.async_read_some(asio::buffer(buffer),
                               [this](const boost::system::error_code &error, std::size_t size) {
                                   received.append(buffer, size);
                                   isEnded = isEnded || error;
                                   if (!error)
                                       read();
                               });
    }
    void write(const std::string &text) { asio::write(socket, asio::buffer(text)); }
    void reset()
    {
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }

    TcpSocket socket;
    char buffer[4096] = {};
    std::string received;
    bool isEnded = false;
};

class Path final : private GateListener, private GatewayLookup
{
public:
    explicit Path(double linkMegabits = 0)
        : protocol(createPlatformProtocol())
        , acceptor(loop.get_executor(), loopback(0))
        , server(loop, { ServiceId("desk"), acceptor.local_endpoint(), *protocol }, *this)
        , door(server, 0)
        , log(-1, "test")
        , ingress(loop,
                  { HostId("self"),
                    ServiceId("desk"),
                    protocol->fieldNames(),
                    { 0.2, 50, absl::Seconds(10) } },
                  selector, *this, log, metrics)
        , link(loop, linkMegabits)
        , front(loop, link, ingress)
    {
        accept();
        // A port that was free a moment ago.
        TcpAcceptor probe(loop.get_executor(), loopback(0));
        clientPort = probe.local_endpoint().port();
        probe.close();
        std::string error;
        REQUIRE(front.listen(loopback(clientPort), error));
        selector.addHost(HostId("self"), ZoneId("north"));
    }

    void configure()
    {
        const auto routeTo = [](const char *id, const char *prefix, RetrySafety retrySafety) {
            TrafficRoute route;
            route.id = RouteId(id);
            route.hostName = "a.example";
            route.prefix = prefix;
            route.destinations = { { ServiceId("desk"), 1 } };
            route.retrySafety = retrySafety;
            route.timeout = absl::Seconds(20);
            route.latencyObjective = absl::Seconds(10);
            route.attemptLimit = 2;
            return std::make_shared<const TrafficRoute>(route);
        };
        ingress.setCatalogue(
                RouteCatalogue::create(Version(1),
                                       { routeTo("look", "/look/", RetrySafety::Idempotent),
                                         routeTo("pay", "/pay/", RetrySafety::AtMostOnce) },
                                       {}, {}));
        ServerAnnouncement announcement;
        announcement.id = BackendServerId("i-1");
        announcement.startedUnixMs = 5;
        announcement.sequence = Sequence(1);
        announcement.slots = 4;
        server.announced(announcement);
    }

    /// Runs the loop until \p isDone; a test that waits in vain fails.
    void until(const std::function<bool()> &isDone)
    {
        for (int i = 0; i < 5000 && !isDone(); ++i)
            loop.run_one_for(std::chrono::milliseconds(2));
        REQUIRE(isDone());
    }

    Peer &client()
    {
        Peer &peer = m_peers.emplace_back(loop);
        peer.socket.connect(loopback(clientPort));
        peer.read();
        return peer;
    }
    /// The connection on which the backend server has got \p text.
    Peer &serverWith(const std::string &text)
    {
        Peer *found = nullptr;
        until([&] {
            for (Peer &peer : backend) {
                if (peer.received.find(text) != std::string::npos)
                    found = &peer;
            }
            return found != nullptr;
        });
        return *found;
    }

    asio::io_context loop;
    std::unique_ptr<PlatformProtocol> protocol;
    TcpAcceptor acceptor;
    SeededRandom random{ 3 };
    FinishTimeSelector selector{ random };
    LocalServer server;
    GateDoor door;
    RateLimitedLog log;
    NodeMetrics metrics;
    IngressService ingress;
    LinkScheduler link;
    HttpServer front;
    std::uint16_t clientPort = 0;
    std::list<Peer> backend;
    std::vector<Reason> refusals;

private:
    void accept()
    {
        Peer &peer = backend.emplace_back(loop);
        acceptor.async_accept(peer.socket, [this, &peer](const boost::system::error_code &error) {
            if (error)
                return;
            peer.read();
            accept();
        });
    }
    void gateChanged(bool) override
    {
        selector.onGateReport(HostId("self"), server.report(), steadyNow());
    }
    void gateRefused(const std::string &, Reason reason) override { refusals.push_back(reason); }
    void serverStateChanged(std::string_view) override {}
    AttemptGateway *gatewayTo(const HostId &) override { return &door; }
    std::size_t nodeCount() const override { return 1; }

    std::list<Peer> m_peers;
};

inline std::string get(const std::string &target, const std::string &id)
{
    return "GET " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
           + "\r\nX-Deadline-Ms: 15000\r\n\r\n";
}

inline std::string answer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: s\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace godwitlift
