/// \file
/// Requests under which backend servers end, and requests that were only in progress at that time.
#include "RequestPath.h"

#include <absl/time/clock.h>

using namespace godwitlift;

namespace {

ServerAnnouncement process(int number)
{
    ServerAnnouncement announcement;
    announcement.id = BackendServerId("i-" + std::to_string(number));
    announcement.startedUnixMs = 10 + number;
    announcement.sequence = Sequence(1);
    announcement.slots = 4;
    return announcement;
}

/// A backend server that ends and is started again as another process.
class CrashingServer final
{
public:
    explicit CrashingServer(RequestPath &path)
        : m_path(path)
    {}

    /// Sends requests with these targets and ends the server while it runs them.
    void crashUnder(const std::vector<std::string> &targets)
    {
        std::vector<std::string> ids;
        for (const std::string &target : targets) {
            ids.push_back("c" + std::to_string(++m_lastId));
            m_path.connectClient().write(makeGetRequest(target, ids.back()));
        }
        for (const std::string &id : ids)
            m_path.awaitBackendRequest("X-Attempt-Id: " + id + "\r\n").closeWithReset();
        m_path.runUntil([&] { return m_path.ingress.callCount() == 0; });
        m_path.gate.onAnnouncement(process(++m_processNumber));
    }

    /// Sends a request and answers it; false if it was refused without reaching the server.
    bool isServed(const std::string &target) { return isServed(target, m_path.clientPort); }
    bool isServed(const std::string &target, std::uint16_t clientPort)
    {
        const std::string id = "s" + std::to_string(++m_lastId);
        TestConnection &client = m_path.connectClient(clientPort);
        client.write(makeGetRequest(target, id));
        TestConnection *server = nullptr;
        m_path.runUntil([&] {
            for (TestConnection &connection : m_path.backendConnections) {
                if (contains(connection.received, "X-Attempt-Id: " + id + "\r\n"))
                    server = &connection;
            }
            return server != nullptr || contains(client.received, "HTTP/1.1 503");
        });
        if (server == nullptr)
            return false;
        server->write(makeResponse(id, "ok"));
        m_path.runUntil([&] { return contains(client.received, "200 OK"); });
        return true;
    }

private:
    RequestPath &m_path;
    int m_lastId = 0;
    int m_processNumber = 1;
};

/// Clients beside a backend server of another service.
class OtherCaller final
{
public:
    explicit OtherCaller(RequestPath &path)
        : m_ingress(path.loop,
                    { HostId("other"),
                      ServiceId("ledger"),
                      path.protocol->headerNames(),
                      path.crashHistory,
                      { 0.2, 50, absl::Seconds(10) },
                      asio::ip::address(),
                      path.rollouts },
                    path.selector, path.gateways(), path.log, path.metrics, path.random)
        , m_server(path.loop, path.linkScheduler, path.inputKeeper, m_ingress)
        , m_port(path.listen(m_server))
    {
        m_ingress.setCatalogue(RequestPath::makeCatalogue());
    }

    std::uint16_t port() const { return m_port; }

private:
    IngressService m_ingress;
    HttpServer m_server;
    std::uint16_t m_port;
};

} // namespace

// Guards against a request that is sent to servers again after three have ended under it (incident
// crashing-request).
TEST_CASE("a request under which three backend servers ended is refused whatever its id")
{
    RequestPath path;
    path.configure();
    CrashingServer server(path);
    for (int i = 0; i < 3; ++i)
        server.crashUnder({ "/look/crash" });
    CHECK_FALSE(server.isServed("/look/crash"));
    CHECK(server.isServed("/look/other"));
}

// Guards against refusing popular requests because servers ended while they were in progress.
TEST_CASE("a request that is answered is served, though it was in progress when servers ended")
{
    RequestPath path;
    path.configure();
    CrashingServer server(path);
    for (int i = 0; i < 5; ++i) {
        CHECK(server.isServed("/look/popular"));
        server.crashUnder({ "/look/popular", "/look/once-" + std::to_string(i) });
        CHECK(path.unchargedCrashes == i + 1);
    }
    CHECK(server.isServed("/look/popular"));
    for (int i = 0; i < 5; ++i)
        CHECK(server.isServed("/look/once-" + std::to_string(i)));
}

// Guards against a request that ends servers for one caller and is never quarantined, since other
// callers get answers to the same one (review case 8).
TEST_CASE("answers to other callers do not clear a request under which servers ended")
{
    RequestPath path;
    path.configure();
    OtherCaller other(path);
    CrashingServer server(path);
    for (int i = 0; i < 3; ++i) {
        CHECK(server.isServed("/look/crash", other.port()));
        server.crashUnder({ "/look/crash" });
    }
    CHECK(path.unchargedCrashes == 0);
    CHECK_FALSE(server.isServed("/look/crash"));
    CHECK(server.isServed("/look/crash", other.port()));
    CHECK_FALSE(server.isServed("/look/crash"));
}

TEST_CASE("a lost answer of a server that goes on is no crash")
{
    RequestPath path;
    path.configure();
    CrashingServer server(path);
    for (int i = 0; i < 5; ++i) {
        TestConnection &client = path.connectClient();
        client.write(makeGetRequest("/look/lost", "r" + std::to_string(i)));
        path.awaitBackendRequest("X-Attempt-Id: r" + std::to_string(i) + "\r\n").closeWithReset();
        path.runUntil([&] { return contains(client.received, "HTTP/1.1 502"); });
        CHECK(server.isServed("/look/other"));
        path.gate.onAnnouncement(process(i + 2));
    }
    CHECK(server.isServed("/look/lost"));
}

TEST_CASE("requests that a drained server leaves unanswered when it exits are not to blame")
{
    RequestPath path;
    path.configure();
    CrashingServer server(path);
    for (int i = 1; i <= 4; ++i) {
        TestConnection &client = path.connectClient();
        client.write(makeGetRequest("/look/long", "r" + std::to_string(i)));
        TestConnection &running =
                path.awaitBackendRequest("X-Attempt-Id: r" + std::to_string(i) + "\r\n");
        path.gate.onDeregistration(path.gate.lifecycle().id());
        running.closeWithReset();
        path.runUntil([&] { return contains(client.received, "HTTP/1.1 502"); });
        ServerAnnouncement next = process(i + 1);
        next.startedUnixMs = absl::ToUnixMillis(absl::Now()) + 1000 * i;
        path.gate.onAnnouncement(next);
    }
    CHECK(server.isServed("/look/long"));
}
