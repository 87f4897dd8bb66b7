/// \file
/// Backend servers that say in their answers that they leave.
#include "RequestPath.h"

using namespace godwitlift;

namespace {

/// Adds the notice to a response of makeResponse().
std::string leavingResponse(const std::string &id)
{
    std::string response = makeResponse(id, "ok");
    return response.insert(response.find("X-Response-Seal"), "Server-Leaving: 1\r\n");
}

ServerAnnouncement announcement(const char *id, std::int64_t started, std::uint64_t sequence)
{
    ServerAnnouncement result;
    result.id = BackendServerId(id);
    result.startedUnixMs = started;
    result.sequence = Sequence(sequence);
    result.slots = 4;
    return result;
}

std::ptrdiff_t arrivalCount(const RequestPath &path, const std::string &id)
{
    return std::count_if(path.backendConnections.begin(), path.backendConnections.end(),
                         [&](const TestConnection &connection) {
                             return contains(connection.received, "X-Attempt-Id: " + id + "\r\n");
                         });
}

/// Sends a request and answers it with the notice.
void leaveByAnswer(RequestPath &path, TestConnection &client)
{
    client.write(makeGetRequest("/look/x", "r1"));
    path.awaitBackendRequest("X-Attempt-Id: r1\r\n").write(leavingResponse("r1"));
    path.runUntil([&] { return contains(client.received, "200 OK"); });
}

} // namespace

// Guards against requests at a backend server whose answers say that it leaves (incident
// request-limit-ignored).
TEST_CASE("a backend server that says in an answer that it leaves gets no more requests")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    leaveByAnswer(path, client);
    client.write(makeGetRequest("/look/x", "r2"));
    path.runUntil([&] { return contains(client.received, "HTTP/1.1 503"); });
    CHECK(arrivalCount(path, "r2") == 0);
    CHECK(path.leavingNotices == 1);
    SECTION("a late announcement does not undo it")
    {
        path.gate.onAnnouncement(announcement("i-1", 5, 9));
        client.write(makeGetRequest("/look/x", "r3"));
        path.runUntil([&] { return path.ingress.callCount() == 0; });
        CHECK(arrivalCount(path, "r3") == 0);
    }
    SECTION("another process of the same id is served")
    {
        path.gate.onAnnouncement(announcement("i-1", 6, 1));
        client.write(makeGetRequest("/look/x", "r3"));
        path.awaitBackendRequest("X-Attempt-Id: r3\r\n");
    }
}

TEST_CASE("a refusal that says that the server leaves closes the gate for queued requests too")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    for (int i = 1; i <= 6; ++i)
        client.write(makeGetRequest("/look/x", "r" + std::to_string(i)));
    TestConnection &running = path.awaitBackendRequest("X-Attempt-Id: r1\r\n");
    path.runUntil([&] { return path.gate.attemptCount() == 6; });
    running.write("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nServer-Leaving: 1\r\n"
                  "Content-Length: 0\r\n\r\n");
    path.runUntil([&] { return path.gate.attemptCount() == 3; });
    CHECK(arrivalCount(path, "r5") + arrivalCount(path, "r6") == 0);
}

// Guards against an answer of an earlier process that closes the gate on its successor.
TEST_CASE("the successor of a backend server is served after a late answer of its predecessor")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    client.write(makeGetRequest("/look/x", "r1"));
    TestConnection &server = path.awaitBackendRequest("X-Attempt-Id: r1\r\n");
    path.gate.onAnnouncement(announcement("i-2", 6, 1));
    server.write(leavingResponse("r1"));
    path.runUntil([&] { return contains(client.received, "200 OK"); });
    client.write(makeGetRequest("/look/x", "r2"));
    path.awaitBackendRequest("X-Expect-Instance: i-2\r\n");
}
