/// \file
/// Answers of pipelined requests of which one is broken off.
#include "RequestPath.h"

using namespace godwitlift;

namespace {

/// Larger than what is buffered until an answer is complete, so that it is streamed.
constexpr std::size_t StreamedBytes = 150'000;
/// What a server sends of such an answer before it breaks off; streamed as well.
constexpr std::size_t SentBytes = 100'000;

void writeBeginOfAnswer(RequestPath &path, TestConnection &server, const std::string &id)
{
    const std::string answer = makeResponse(id, std::string(StreamedBytes, 'x'));
    path.sendAll(server, answer.substr(0, SentBytes));
}

std::string makeShortGetRequest(const std::string &target, const std::string &id,
                                const std::string &deadlineMs)
{
    return "GET " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
           + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n\r\n";
}

} // namespace

// Guards against a complete answer that is lost because the answer behind it, of which the client
// has received nothing, is broken off (review case 6).
TEST_CASE("an answer that is broken off behind an unanswered request costs no other answer")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    const bool isDeadline = GENERATE(true, false);
    client.write(makeGetRequest("/look/1", "r1")
                 + makeShortGetRequest("/look/2", "r2", isDeadline ? "700" : "15000"));
    TestConnection &first = path.awaitBackendRequest("X-Attempt-Id: r1");
    TestConnection &second = path.awaitBackendRequest("X-Attempt-Id: r2");
    writeBeginOfAnswer(path, second, "r2");
    if (isDeadline) {
        path.runUntil([&] { return path.gate.attemptCount() == 1; });
    } else {
        second.closeWithReset();
        path.runUntil([&] { return path.ingress.callCount() == 1; });
    }
    client.write(makeGetRequest("/look/3", "r3"));
    TestConnection &third = path.awaitBackendRequest("X-Attempt-Id: r3");
    third.write(makeResponse("r3", "three"));
    first.write(makeResponse("r1", "one"));
    path.runUntil([&] { return client.isClosedByPeer || contains(client.received, "three"); });
    CHECK_FALSE(client.isClosedByPeer);
    CHECK(contains(client.received, "\r\n\r\none"));
    CHECK(contains(client.received, isDeadline ? "HTTP/1.1 504" : "HTTP/1.1 502"));
    CHECK(contains(client.received, "\r\n\r\nthree"));
    CHECK_FALSE(contains(client.received, "xxxx"));
}

// Guards against a failure of a request that may be repeated and whose client has received nothing.
TEST_CASE("a held back answer that is broken off is replaced by one of another attempt")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    client.write(makeGetRequest("/look/1", "r1") + makeGetRequest("/look/2", "r2"));
    TestConnection &first = path.awaitBackendRequest("X-Attempt-Id: r1");
    TestConnection &second = path.awaitBackendRequest("X-Attempt-Id: r2");
    path.selector.addHost(HostId("other"), ZoneId("north"));
    path.selector.onGateReport(HostId("other"), path.gate.report(), steadyNow());
    writeBeginOfAnswer(path, second, "r2");
    second.received.clear();
    second.closeWithReset();
    TestConnection &repeated = path.awaitBackendRequest("X-Attempt-Id: r2");
    REQUIRE(&repeated != &second);
    first.write(makeResponse("r1", "one"));
    path.sendAll(repeated, makeResponse("r2", std::string(StreamedBytes, 'y')));
    const std::string whole = "\r\n\r\n" + std::string(StreamedBytes, 'y');
    path.runUntil([&] { return client.isClosedByPeer || contains(client.received, whole); });
    CHECK_FALSE(client.isClosedByPeer);
    CHECK(contains(client.received, "\r\n\r\none"));
    CHECK_FALSE(contains(client.received, "xxxx"));
}

// Guards against a complete answer that is cut because the one behind it, which the connection has
// begun to send, is broken off while the first waits for the link.
TEST_CASE("a complete answer is sent whole before the connection ends in the middle of the next")
{
    constexpr double SlowLinkMbps = 4;
    constexpr std::size_t CompleteBytes = 300'000;
    RequestPath path(SlowLinkMbps);
    path.configure();
    TestConnection &client = path.connectClient();
    client.write(makeGetRequest("/look/1", "r1") + makeGetRequest("/look/2", "r2"));
    TestConnection &first = path.awaitBackendRequest("X-Attempt-Id: r1");
    TestConnection &second = path.awaitBackendRequest("X-Attempt-Id: r2");
    path.sendAll(first, makeResponse("r1", std::string(CompleteBytes, 'o')));
    path.runUntil([&] { return path.gate.attemptCount() == 1; });
    writeBeginOfAnswer(path, second, "r2");
    path.loop.run_for(std::chrono::milliseconds(20));
    REQUIRE(path.httpServer.hasUndeliveredAnswers());
    REQUIRE(client.received.size() < CompleteBytes);
    // An unfinished request must not be refused where the rest of the answer would be.
    client.write("POST /pay/a HTTP/1.1\r\nHost: a.example\r\n");
    path.loop.run_for(std::chrono::milliseconds(20));
    second.closeWithReset();
    path.runUntil([&] { return path.ingress.callCount() == 0; });
    ServerLimits limits;
    limits.headTimeout = absl::Milliseconds(1);
    path.httpServer.setLimits(limits);
    path.httpServer.closeTimedOutConnections();
    path.runUntil([&] { return client.isClosedByPeer; });
    CHECK(path.ingress.callCount() == 0);
    CHECK(contains(client.received, "\r\n\r\n" + std::string(CompleteBytes, 'o')));
    // What follows is missing or cut, never complete.
    CHECK_FALSE(contains(client.received, std::string(StreamedBytes, 'x')));
    CHECK_FALSE(contains(client.received, "HTTP/1.1 408"));
}

// Guards against an exit that discards an answer on its way: the socket of a process that has ended
// is reset by the next bytes of its client.
TEST_CASE("a stopping node waits until the last answers have reached their clients")
{
    constexpr int ReceiveBufferBytes = 16'384;
    RequestPath path;
    path.configure();
    TestConnection client(path.loop);
    client.socket.open(asio::ip::tcp::v4());
    client.socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
    client.socket.connect(loopback(path.clientPort));
    client.write(makeGetRequest("/look/1", "r1"));
    TestConnection &server = path.awaitBackendRequest("X-Attempt-Id: r1");
    path.httpServer.disableKeepAlive();
    path.httpServer.stopAccepting();
    path.sendAll(server, makeResponse("r1", std::string(StreamedBytes, 'o')));
    path.runUntil([&] { return path.ingress.callCount() == 0; });
    path.loop.run_for(std::chrono::milliseconds(50));
    CHECK(path.httpServer.hasUndeliveredAnswers());
    client.startReading();
    path.runUntil([&] { return !path.httpServer.hasUndeliveredAnswers(); });
    client.write(makeGetRequest("/look/2", "r2"));
    path.runUntil([&] { return client.isClosedByPeer; });
    CHECK(contains(client.received, "\r\n\r\n" + std::string(StreamedBytes, 'o')));
}
