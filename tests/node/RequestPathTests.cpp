/// \file
/// Client, ingress, gate and backend server over loopback sockets on one event loop.
#include "gate/LocalServer.h"
#include "http/HttpServer.h"
#include "ingress/IngressService.h"

#include "godwitlift/platform_binding/PlatformBinding.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <list>

using namespace godwitlift;

namespace {

using asio::ip::tcp;

tcp::endpoint loopback(std::uint16_t port)
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
        selector.hostSeen(HostId("self"), ZoneId("north"));
    }

    void configure()
    {
        const auto routeTo = [](const char *id, const char *prefix, Replay replay) {
            TrafficRoute route;
            route.id = RouteId(id);
            route.hostName = "a.example";
            route.prefix = prefix;
            route.destinations = { { ServiceId("desk"), 1 } };
            route.replay = replay;
            route.timeout = absl::Seconds(20);
            route.objective = absl::Seconds(10);
            route.attemptLimit = 2;
            return std::make_shared<const TrafficRoute>(route);
        };
        ingress.setCatalogue(RouteCatalogue::create(Version(1),
                                                    { routeTo("look", "/look/", Replay::Idempotent),
                                                      routeTo("pay", "/pay/", Replay::AtMostOnce) },
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
    DecisionLog log;
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
        selector.report(HostId("self"), server.report(), steadyNow());
    }
    void gateRefused(const std::string &, Reason reason) override { refusals.push_back(reason); }
    void serverStateChanged(std::string_view) override {}
    AttemptGateway *gatewayTo(const HostId &) override { return &door; }
    std::size_t nodeCount() const override { return 1; }

    std::list<Peer> m_peers;
};

std::string get(const std::string &target, const std::string &id)
{
    return "GET " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
           + "\r\nX-Deadline-Ms: 15000\r\n\r\n";
}

std::string answer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: s\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a node without configuration answers 503, never 404")
{
    Path path;
    Peer &client = path.client();
    client.write(get("/look/x", "r1"));
    path.until([&] { return contains(client.received, "\r\n\r\n"); });
    CHECK(contains(client.received, "HTTP/1.1 503"));
    CHECK(contains(client.received, "Retry-After: "));
}

TEST_CASE("a request reaches the backend server unchanged, with the fields that the node sets")
{
    Path path;
    path.configure();
    Peer &client = path.client();
    client.write("POST /pay/%2e%2E/a?b=%20+c&&d HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
                 "X-Deadline-Ms: 15000\r\nX-Caller-Service: forged\r\nX-Own: 1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    Peer &server = path.serverWith("abcde");
    const std::string &text = server.received;
    CHECK(contains(text, "POST /pay/%2e%2E/a?b=%20+c&&d HTTP/1.1\r\n"));
    CHECK(contains(text, "X-Own: 1\r\n"));
    CHECK(contains(text, "X-Caller-Service: desk\r\n"));
    CHECK_FALSE(contains(text, "forged"));
    CHECK(contains(text, "X-Expect-Instance: i-1\r\n"));
    CHECK(contains(text, "Content-Length: 5\r\n"));
    CHECK_FALSE(contains(text, "chunked"));
    const std::size_t at = text.find("X-Deadline-Ms: ");
    REQUIRE(at != std::string::npos);
    CHECK(std::stoi(text.substr(at + 15)) <= 15000);
    server.write(answer("r1", "done"));
    path.until([&] { return contains(client.received, "done"); });
    CHECK(contains(client.received, "HTTP/1.1 200 OK"));
    CHECK(contains(client.received, "X-Response-Seal: s"));
}

TEST_CASE("a client that leaves ends the work at the backend server")
{
    Path path;
    path.configure();
    Peer &client = path.client();
    client.write(get("/look/x", "r1"));
    Peer &server = path.serverWith("r1");
    client.socket.close();
    path.until([&] { return server.isEnded; });
    CHECK(path.server.runningCount() == 0);
}

TEST_CASE("pipelined requests run together and are answered in order")
{
    Path path;
    path.configure();
    Peer &client = path.client();
    client.write(get("/look/1", "r1") + get("/look/2", "r2"));
    Peer &first = path.serverWith("r1");
    Peer &second = path.serverWith("r2");
    second.write(answer("r2", "two"));
    path.until([&] { return path.server.runningCount() == 1; });
    CHECK(client.received.empty());
    first.write(answer("r1", "one"));
    path.until([&] { return contains(client.received, "two"); });
    CHECK(client.received.find("one") < client.received.find("two"));
}

TEST_CASE("a request that may have run is never sent again")
{
    Path path;
    path.configure();
    Peer &client = path.client();
    client.write("POST /pay/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
                 "Content-Length: 3\r\n\r\nabc");
    path.serverWith("abc").reset();
    path.until([&] { return contains(client.received, "\r\n\r\n"); });
    CHECK(contains(client.received, "HTTP/1.1 502"));
    const auto sends =
            std::count_if(path.backend.begin(), path.backend.end(),
                          [](const Peer &peer) { return contains(peer.received, "r1"); });
    CHECK(sends == 1);
}

TEST_CASE("a request that the backend server did not run is refused as such")
{
    Path path;
    path.configure();
    Peer &client = path.client();
    client.write("POST /pay/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
                 "Content-Length: 3\r\n\r\nabc");
    path.serverWith("abc").write(
            "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    path.until([&] { return contains(client.received, "\r\n\r\n"); });
    CHECK(contains(client.received, "HTTP/1.1 503"));
}

TEST_CASE("an answer without length that ends in a reset is not complete")
{
    Path path;
    path.configure();
    Peer &client = path.client();
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
                             "Connection: close\r\n\r\npart";
    client.write(get("/look/x", "r1"));
    Peer &server = path.serverWith("r1");
    server.write(head);
    SECTION("reset")
    {
        for (int i = 0; i < 20; ++i)
            path.loop.run_one_for(std::chrono::milliseconds(2));
        server.reset();
        path.until([&] { return contains(client.received, "\r\n\r\n"); });
        CHECK(contains(client.received, "HTTP/1.1 502"));
    }
    SECTION("orderly end")
    {
        server.socket.shutdown(TcpSocket::shutdown_send);
        path.until([&] { return contains(client.received, "part"); });
        CHECK(contains(client.received, "HTTP/1.1 200"));
    }
}

TEST_CASE("a late answer to another request is dropped; the own one is awaited")
{
    Path path;
    path.configure();
    Peer &client = path.client();
    client.write(get("/look/x", "r1"));
    path.serverWith("r1").write(answer("r0", "stranger") + answer("r1", "own"));
    path.until([&] { return contains(client.received, "own"); });
    CHECK_FALSE(contains(client.received, "stranger"));
}

TEST_CASE("bytes after a complete answer belong to nobody")
{
    Path path;
    path.configure();
    Peer &client = path.client();
    client.write(get("/look/1", "r1"));
    Peer &server = path.serverWith("r1");
    server.write(answer("r1", "one") + "HTTP/1.1 200 OK\r\n");
    path.until([&] { return contains(client.received, "one"); });
    path.until([&] { return server.isEnded; });
    client.write(get("/look/2", "r2"));
    path.serverWith("r2").write(answer("r2", "two"));
    path.until([&] { return contains(client.received, "two"); });
    CHECK(client.received.find("HTTP/1.1 200") != client.received.rfind("HTTP/1.1 200"));
}

TEST_CASE("an answer that begins before the request was read is passed on")
{
    Path path;
    path.configure();
    Peer &client = path.client();
    const std::string body(600'000, 'b');
    client.write("POST /pay/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\nContent-Length: "
                 + std::to_string(body.size()) + "\r\n\r\n");
    asio::async_write(client.socket, asio::buffer(body), [](auto, auto) {});
    path.serverWith("r1").write("HTTP/1.1 413 Large\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
                                "Content-Length: 0\r\n\r\n");
    path.until([&] { return contains(client.received, "\r\n\r\n"); });
    CHECK(contains(client.received, "HTTP/1.1 413 Large"));
}

TEST_CASE("an answer that lacks the backend server's seal is not passed on")
{
    Path path;
    path.configure();
    Peer &client = path.client();
    client.write(get("/look/x", "r1"));
    path.serverWith("r1").write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake");
    path.until([&] { return contains(client.received, "\r\n\r\n"); });
    CHECK(contains(client.received, "HTTP/1.1 502"));
    CHECK_FALSE(contains(client.received, "fake"));
}

TEST_CASE("a drain sends what waits elsewhere and lets finish what runs")
{
    Path path;
    path.configure();
    Peer &client = path.client();
    for (int i = 1; i <= 5; ++i)
        client.write(get("/look/x", "r" + std::to_string(i)));
    Peer &running = path.serverWith("X-Attempt-Id: r1\r\n");
    path.until([&] { return path.server.runningCount() == 5; });
    path.server.deregistered(BackendServerId("i-1"));
    CHECK(path.server.runningCount() == 4);
    CHECK(path.refusals == std::vector<Reason>{ Reason::Draining });
    running.write(answer("r1", "one"));
    path.until([&] { return contains(client.received, "one"); });
}

TEST_CASE("calls that are open when the node must stop get a final answer")
{
    Path path;
    path.configure();
    Peer &kept = path.client();
    Peer &paying = path.client();
    kept.write(get("/look/x", "r1"));
    path.serverWith("r1");
    paying.write("POST /pay/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r2\r\n"
                 "Content-Length: 3\r\n\r\nabc");
    path.serverWith("abc");
    path.front.beginClosing();
    path.ingress.concludeOpenCalls();
    path.until([&] { return kept.isEnded && paying.isEnded; });
    // Both were at work: a refusal would claim that they have not run.
    CHECK(contains(kept.received, "HTTP/1.1 502"));
    CHECK(contains(paying.received, "HTTP/1.1 502"));
    CHECK(path.ingress.callCount() == 0);
    CHECK(path.server.runningCount() == 0);
}

TEST_CASE("a small answer overtakes a large one to another client on a thin link")
{
    constexpr double ThinLinkMegabits = 1;
    Path path(ThinLinkMegabits);
    path.configure();
    Peer &large = path.client();
    Peer &small = path.client();
    large.write(get("/look/large", "r1"));
    small.write(get("/look/small", "r2"));
    Peer &first = path.serverWith("r1");
    Peer &second = path.serverWith("r2");
    const std::string body(60'000, 'b');
    asio::async_write(first.socket, asio::buffer(answer("r1", body)), [](auto, auto) {});
    path.until([&] { return large.received.size() > 4096; });
    second.write(answer("r2", "little"));
    path.until([&] { return contains(small.received, "little"); });
    CHECK(large.received.size() < body.size());
    path.until([&] { return contains(large.received, "\r\n\r\n" + body); });
}

TEST_CASE("a backend server that sheds without being full keeps all of its slots")
{
    Path path;
    path.configure();
    Peer &client = path.client();
    client.write(get("/look/x", "r0"));
    path.serverWith("r0").write(
            "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    path.until([&] { return contains(client.received, "HTTP/1.1 503"); });
    for (int i = 1; i <= 4; ++i)
        client.write(get("/look/x", "r" + std::to_string(i)));
    for (int i = 1; i <= 4; ++i)
        path.serverWith("X-Attempt-Id: r" + std::to_string(i) + "\r\n");
}

TEST_CASE("an answer that waits for its turn on the link is still delivered when the node stops")
{
    constexpr double ThinLinkMegabits = 1;
    Path path(ThinLinkMegabits);
    path.configure();
    Peer &client = path.client();
    client.write(get("/look/large", "r1"));
    const std::string body(60'000, 'b');
    asio::async_write(path.serverWith("r1").socket, asio::buffer(answer("r1", body)),
                      [](auto, auto) {});
    path.until([&] { return client.received.size() > 4096; });
    path.until([&] { return path.ingress.callCount() == 0; });
    path.front.stopAccepting();
    path.until([&] { return client.isEnded; });
    CHECK(contains(client.received, "\r\n\r\n" + body));
}
