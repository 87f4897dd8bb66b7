/// \file
/// Backend servers that name in their answers how many requests per second they take.
#include "RequestPath.h"

using namespace godwitlift;

namespace {

/// Answers every request at the backend server with \p fields in the head.
class AnsweringServer final
{
public:
    explicit AnsweringServer(RequestPath &path)
        : m_path(path)
    {}

    void answerRequests()
    {
        for (TestConnection &connection : m_path.backendConnections) {
            const std::size_t at = connection.received.find("X-Attempt-Id: ");
            if (at == std::string::npos || !contains(connection.received, "\r\n\r\n"))
                continue;
            const std::size_t begin = at + std::string("X-Attempt-Id: ").size();
            const std::string id = connection.received.substr(
                    begin, connection.received.find('\r', begin) - begin);
            connection.received.clear();
            arrivals.push_back(steadyNow());
            std::string response = makeResponse(id, "ok");
            response.insert(response.find("X-Response-Seal"), fields);
            connection.write(response);
        }
    }
    /// Runs the request path for \p duration.
    void run(absl::Duration duration)
    {
        const absl::Time end = steadyNow() + duration;
        while (steadyNow() < end) {
            m_path.loop.run_one_for(std::chrono::milliseconds(2));
            m_path.gate.tick();
            answerRequests();
        }
    }
    std::string fields;
    std::vector<absl::Time> arrivals;

private:
    RequestPath &m_path;
};

void sendRequests(RequestPath &path, int count)
{
    for (int i = 0; i < count; ++i)
        path.connectClient().write(makeGetRequest("/look/x", "r" + std::to_string(i)));
}

} // namespace

// Guards against requests above the limit that a backend server names (incident
// request-limit-ignored).
TEST_CASE("a backend server gets no more requests per second than it says that it takes")
{
    RequestPath path;
    path.configure();
    AnsweringServer server(path);
    server.fields = "Server-Limit: 10\r\n";
    sendRequests(path, 100);
    server.run(absl::Seconds(2));
    // The users' bound for four seconds, one and a half times the limit and 5 requests, for two.
    CHECK(server.arrivals.size() <= 1.5 * 10 * 2 + 5);
    CHECK(server.arrivals.size() >= 10 * 2); // And it is used.
}

// Guards against holding back a backend server that has recovered.
TEST_CASE("a backend server that no longer names a limit gets all waiting requests")
{
    RequestPath path;
    path.configure();
    AnsweringServer server(path);
    server.fields = "Server-Limit: 2\r\n";
    sendRequests(path, 20);
    server.run(absl::Milliseconds(300));
    CHECK(server.arrivals.size() < 10);
    server.fields.clear();
    server.run(absl::Seconds(1));
    CHECK(server.arrivals.size() == 20);
}

TEST_CASE("a limit that cannot be read changes nothing and is reported")
{
    RequestPath path;
    path.configure();
    AnsweringServer server(path);
    server.fields = "Server-Limit: many\r\n";
    sendRequests(path, 30);
    server.run(absl::Milliseconds(500));
    CHECK(server.arrivals.size() == 30);
    CHECK(path.unreadableLimits == 30);
}

// Guards against a limit that outlives the backend server that named it.
TEST_CASE("the successor of a limited backend server is not limited")
{
    RequestPath path;
    path.configure();
    AnsweringServer server(path);
    server.fields = "Server-Limit: 1\r\n";
    sendRequests(path, 12);
    server.run(absl::Milliseconds(300));
    CHECK(server.arrivals.size() < 10);
    ServerAnnouncement successor;
    successor.id = BackendServerId("i-2");
    successor.startedUnixMs = 6;
    successor.slots = 4;
    path.gate.onAnnouncement(successor);
    server.fields.clear();
    server.run(absl::Seconds(1));
    CHECK(server.arrivals.size() == 12);
}
