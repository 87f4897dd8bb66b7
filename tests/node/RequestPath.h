/// \file
/// Test fixture: ingress, gate, and the sockets of clients and a backend server on one event loop.
#pragma once

#include "gate/BackendServerGate.h"
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

/// A socket of a client or of the backend server that collects the bytes it receives.
struct TestConnection
{
    explicit TestConnection(asio::io_context &loop)
        : socket(loop.get_executor())
    {}

    void startReading()
    {
        socket.async_read_some(asio::buffer(buffer),
                               [this](const boost::system::error_code &error, std::size_t size) {
                                   received.append(buffer, size);
                                   isClosedByPeer = isClosedByPeer || error;
                                   if (!error && received.size() < readLimit)
                                       startReading();
                               });
    }
    void write(const std::string &text) { asio::write(socket, asio::buffer(text)); }
    void closeWithReset()
    {
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }

    TcpSocket socket;
    char buffer[4096] = {};
    std::string received;
    std::size_t readLimit = std::string::npos; ///< Bytes after which it reads no more.
    bool isClosedByPeer = false;
};

/// A node's request path between loopback sockets.
class RequestPath final : private GateListener, private GatewayLookup
{
public:
    explicit RequestPath(double linkMbps = 0, int logDescriptor = -1,
                         std::size_t inputLimit = std::size_t(1) << 30U)
        : protocol(createPlatformProtocol())
        , acceptor(loop.get_executor(), loopback(0))
        , gate(loop, { ServiceId("desk"), acceptor.local_endpoint(), *protocol, crashHistory },
               *this)
        , gateway(gate, 0)
        , log(logDescriptor, "test")
        , ingress(loop,
                  { HostId("self"),
                    ServiceId("desk"),
                    protocol->headerNames(),
                    crashHistory,
                    { 0.2, 50, absl::Seconds(10) },
                    asio::ip::address(),
                    rollouts },
                  selector, *this, log, metrics, random)
        , linkScheduler(loop, linkMbps)
        , inputKeeper(loop, inputLimit, [this](YieldOrder) { ++yields; })
        , httpServer(loop, linkScheduler, inputKeeper, ingress)
    {
        accept();
        clientPort = listen(httpServer);
        selector.addHost(HostId("self"), ZoneId("north"));
    }

    /// An idempotent and a non-idempotent route, and one that splits its requests.
    static std::shared_ptr<const RouteCatalogue> makeCatalogue()
    {
        const auto makeRoute = [](const char *id, const char *prefix, RetrySafety retrySafety) {
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
        TrafficRoute split = *makeRoute("split", "/split/", RetrySafety::Idempotent);
        split.destinations = { { ServiceId("desk"), 3 }, { ServiceId("gone"), 1 } };
        return RouteCatalogue::create(Version(1),
                                      { makeRoute("look", "/look/", RetrySafety::Idempotent),
                                        makeRoute("pay", "/pay/", RetrySafety::AtMostOnce),
                                        std::make_shared<const TrafficRoute>(split) },
                                      {}, {});
    }

    /// Sets the routes and announces a backend server.
    void configure(std::uint32_t slots = 4)
    {
        ingress.setCatalogue(makeCatalogue());
        ServerAnnouncement announcement;
        announcement.id = BackendServerId("i-1");
        announcement.startedUnixMs = 5;
        announcement.sequence = Sequence(1);
        announcement.slots = slots;
        gate.onAnnouncement(announcement);
    }

    /// Listens on a port that is free at the moment; another process may take it before it is used.
    std::uint16_t listen(HttpServer &server)
    {
        TcpAcceptor portProbe(loop.get_executor(), loopback(0));
        const std::uint16_t port = portProbe.local_endpoint().port();
        portProbe.close();
        std::string error;
        REQUIRE(server.listen(loopback(port), error));
        return port;
    }
    GatewayLookup &gateways() { return *this; }

    /// Runs the event loop until \p isDone returns true; fails the test after 10 s.
    void runUntil(const std::function<bool()> &isDone)
    {
        const absl::Time deadline = steadyNow() + absl::Seconds(10);
        while (steadyNow() < deadline && !isDone())
            loop.run_one_for(std::chrono::milliseconds(2));
        REQUIRE(isDone());
    }

    TestConnection &connectClient() { return connectClient(clientPort); }
    TestConnection &connectClient(std::uint16_t port)
    {
        TestConnection &connection = m_clientConnections.emplace_back(loop);
        connection.socket.connect(loopback(port));
        connection.startReading();
        return connection;
    }
    /// Writes a text that may be larger than the socket buffers.
    void sendAll(TestConnection &connection, const std::string &text)
    {
        bool isDone = false;
        asio::async_write(connection.socket, asio::buffer(text),
                          [&](const boost::system::error_code &, std::size_t) { isDone = true; });
        runUntil([&] { return isDone; });
    }
    /// Waits until the backend server has received \p text and returns the connection.
    TestConnection &awaitBackendRequest(const std::string &text)
    {
        TestConnection *found = nullptr;
        runUntil([&] {
            for (TestConnection &connection : backendConnections) {
                if (connection.received.find(text) != std::string::npos)
                    found = &connection;
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
    CrashHistory crashHistory;
    RolloutTraffic rollouts{ 0.1, random };
    BackendServerGate gate;
    LocalGateway gateway;
    RateLimitedLog log;
    NodeMetrics metrics;
    IngressService ingress;
    LinkScheduler linkScheduler;
    InputKeeper inputKeeper;
    HttpServer httpServer;
    int yields = 0;
    std::uint16_t clientPort = 0;
    std::list<TestConnection> backendConnections;
    std::size_t backendReadLimit = std::string::npos; ///< Of connections accepted from now on.
    AttemptGateway *peer = nullptr;                   ///< Used in place of the own gate if set.
    std::vector<Reason> refusals;
    int unreadableLimits = 0;
    int leavingNotices = 0;
    int unchargedCrashes = 0;
    ContentDigest lastContent; ///< Of the request whose run has ended last.

private:
    void accept()
    {
        TestConnection &connection = backendConnections.emplace_back(loop);
        acceptor.async_accept(connection.socket,
                              [this, &connection](const boost::system::error_code &error) {
                                  if (error)
                                      return;
                                  connection.readLimit = backendReadLimit;
                                  connection.startReading();
                                  accept();
                              });
    }
    void onGateStateChanged(bool) override
    {
        selector.onGateReport(HostId("self"), gate.report(), steadyNow());
    }
    void onAttemptRefused(const std::string &, Reason reason) override
    {
        refusals.push_back(reason);
    }
    bool admits(const AttemptRequest &) override { return true; }
    void onServerRunEnded(const AttemptRequest &request, ServerRunEnd, absl::Duration) override
    {
        lastContent = request.content;
    }
    void onServerStateChanged(std::string_view) override {}
    void onRequestLimitChanged() override {}
    void onRequestLimitUnreadable() override { ++unreadableLimits; }
    void onServerCrashed(const ServerCrash &) override {}
    void onCrashNotCharged(const ServerCrash &, absl::Duration) override { ++unchargedCrashes; }
    void onCrashesCleared(ContentDigest) override {}
    void onLeavingNotice(const std::string &, const DrainRecord &) override { ++leavingNotices; }
    AttemptGateway *gatewayTo(const HostId &) override { return peer == nullptr ? &gateway : peer; }
    std::size_t nodeCount() const override { return 1; }
    std::vector<RunInProgress> runsInProgress() const override { return gate.runsInProgress(); }

    std::list<TestConnection> m_clientConnections;
};

inline std::string makeGetRequest(const std::string &target, const std::string &id)
{
    return "GET " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
           + "\r\nX-Deadline-Ms: 15000\r\n\r\n";
}

inline std::string makeResponse(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: s\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline bool contains(const std::string &text, const std::string &substring)
{
    return text.find(substring) != std::string::npos;
}

} // namespace godwitlift
