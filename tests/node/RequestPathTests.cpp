/// \file
/// Requests from a client through ingress and gate to a backend server, over loopback sockets.
#include "RequestPath.h"

using namespace godwitlift;

TEST_CASE("a node without configuration answers 503, never 404")
{
    RequestPath path;
    TestConnection &client = path.connectClient();
    client.write(makeGetRequest("/look/x", "r1"));
    path.runUntil([&] { return contains(client.received, "\r\n\r\n"); });
    CHECK(contains(client.received, "HTTP/1.1 503"));
    CHECK(contains(client.received, "Retry-After: "));
}

TEST_CASE("a request is forwarded unchanged except for the header fields that the node sets")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    client.write("POST /pay/%2e%2E/a?b=%20+c&&d HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
                 "X-Deadline-Ms: 15000\r\nX-Caller-Service: forged\r\nX-Own: 1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    TestConnection &server = path.awaitBackendRequest("abcde");
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
    server.write(makeResponse("r1", "done"));
    path.runUntil([&] { return contains(client.received, "done"); });
    CHECK(contains(client.received, "HTTP/1.1 200 OK"));
    CHECK(contains(client.received, "X-Response-Seal: s"));
}

TEST_CASE("a client that disconnects cancels its request at the backend server")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    client.write(makeGetRequest("/look/x", "r1"));
    TestConnection &server = path.awaitBackendRequest("r1");
    client.socket.close();
    path.runUntil([&] { return server.isClosedByPeer; });
    CHECK(path.gate.attemptCount() == 0);
}

TEST_CASE("pipelined requests run concurrently and are answered in order")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    client.write(makeGetRequest("/look/1", "r1") + makeGetRequest("/look/2", "r2"));
    TestConnection &first = path.awaitBackendRequest("r1");
    TestConnection &second = path.awaitBackendRequest("r2");
    second.write(makeResponse("r2", "two"));
    path.runUntil([&] { return path.gate.attemptCount() == 1; });
    CHECK(client.received.empty());
    first.write(makeResponse("r1", "one"));
    path.runUntil([&] { return contains(client.received, "two"); });
    CHECK(client.received.find("one") < client.received.find("two"));
}

TEST_CASE("a non-idempotent request that may have run is never retried")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    client.write("POST /pay/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
                 "Content-Length: 3\r\n\r\nabc");
    path.awaitBackendRequest("abc").closeWithReset();
    path.runUntil([&] { return contains(client.received, "\r\n\r\n"); });
    CHECK(contains(client.received, "HTTP/1.1 502"));
    const auto sends = std::count_if(
            path.backendConnections.begin(), path.backendConnections.end(),
            [](const TestConnection &connection) { return contains(connection.received, "r1"); });
    CHECK(sends == 1);
}

TEST_CASE("a request that the backend server did not run is answered with 503")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    client.write("POST /pay/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
                 "Content-Length: 3\r\n\r\nabc");
    path.awaitBackendRequest("abc").write(
            "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    path.runUntil([&] { return contains(client.received, "\r\n\r\n"); });
    CHECK(contains(client.received, "HTTP/1.1 503"));
}

TEST_CASE("an answer without a length is complete at end of stream but not at a reset")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
                             "Connection: close\r\n\r\npart";
    client.write(makeGetRequest("/look/x", "r1"));
    TestConnection &server = path.awaitBackendRequest("r1");
    server.write(head);
    SECTION("reset")
    {
        for (int i = 0; i < 20; ++i)
            path.loop.run_one_for(std::chrono::milliseconds(2));
        server.closeWithReset();
        path.runUntil([&] { return contains(client.received, "\r\n\r\n"); });
        CHECK(contains(client.received, "HTTP/1.1 502"));
    }
    SECTION("end of stream")
    {
        server.socket.shutdown(TcpSocket::shutdown_send);
        path.runUntil([&] { return contains(client.received, "part"); });
        CHECK(contains(client.received, "HTTP/1.1 200"));
    }
}

TEST_CASE("a late answer to another request is discarded before the matching answer is read")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    client.write(makeGetRequest("/look/x", "r1"));
    path.awaitBackendRequest("r1").write(makeResponse("r0", "stranger")
                                         + makeResponse("r1", "own"));
    path.runUntil([&] { return contains(client.received, "own"); });
    CHECK_FALSE(contains(client.received, "stranger"));
}

TEST_CASE("bytes after a complete answer are discarded and the connection is closed")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    client.write(makeGetRequest("/look/1", "r1"));
    TestConnection &server = path.awaitBackendRequest("r1");
    server.write(makeResponse("r1", "one") + "HTTP/1.1 200 OK\r\n");
    path.runUntil([&] { return contains(client.received, "one"); });
    path.runUntil([&] { return server.isClosedByPeer; });
    client.write(makeGetRequest("/look/2", "r2"));
    path.awaitBackendRequest("r2").write(makeResponse("r2", "two"));
    path.runUntil([&] { return contains(client.received, "two"); });
    CHECK(client.received.find("HTTP/1.1 200") != client.received.rfind("HTTP/1.1 200"));
}

TEST_CASE("an answer that begins before the request is fully sent is forwarded")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    const std::string body(600'000, 'b');
    client.write("POST /pay/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\nContent-Length: "
                 + std::to_string(body.size()) + "\r\n\r\n");
    asio::async_write(client.socket, asio::buffer(body), [](auto, auto) {});
    path.awaitBackendRequest("r1").write(
            "HTTP/1.1 413 Large\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
            "Content-Length: 0\r\n\r\n");
    path.runUntil([&] { return contains(client.received, "\r\n\r\n"); });
    CHECK(contains(client.received, "HTTP/1.1 413 Large"));
}

TEST_CASE("an answer without the backend server's seal is not forwarded")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    client.write(makeGetRequest("/look/x", "r1"));
    path.awaitBackendRequest("r1").write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake");
    path.runUntil([&] { return contains(client.received, "\r\n\r\n"); });
    CHECK(contains(client.received, "HTTP/1.1 502"));
    CHECK_FALSE(contains(client.received, "fake"));
}

TEST_CASE("a drain refuses queued requests and lets running ones complete")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    for (int i = 1; i <= 5; ++i)
        client.write(makeGetRequest("/look/x", "r" + std::to_string(i)));
    TestConnection &running = path.awaitBackendRequest("X-Attempt-Id: r1\r\n");
    path.runUntil([&] { return path.gate.attemptCount() == 5; });
    path.gate.onDeregistration(BackendServerId("i-1"));
    CHECK(path.gate.attemptCount() == 4);
    CHECK(path.refusals == std::vector<Reason>{ Reason::Draining });
    running.write(makeResponse("r1", "one"));
    path.runUntil([&] { return contains(client.received, "one"); });
}

namespace {

std::string makeRefusal(const std::string &idField)
{
    return "HTTP/1.1 503 Full\r\n" + idField + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string makePayRequest(const std::string &id)
{
    return "POST /pay/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
           + "\r\nContent-Length: 3\r\n\r\nabc";
}

} // namespace

// Guards against a refusal that a server writes once more, taken for one of a request that runs
// (report of another operator).
TEST_CASE("an earlier refusal that is repeated on a kept connection refuses no other request")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    const bool hasId = GENERATE(true, false);
    const std::string refusal = makeRefusal(hasId ? "X-Attempt-Id: r1\r\n" : "");
    client.write(makePayRequest("r1"));
    TestConnection &server = path.awaitBackendRequest("r1");
    server.write(refusal);
    path.runUntil([&] { return contains(client.received, "HTTP/1.1 503"); });
    path.runUntil([&] { return path.gate.attemptCount() == 0; });

    SECTION("before the answer to the next request")
    {
        client.received.clear();
        client.write(makePayRequest("r2"));
        TestConnection &running = path.awaitBackendRequest("r2");
        REQUIRE(&running == &server); // Kept open.
        server.write(refusal);
        if (hasId)
            server.write(makeResponse("r2", "done"));
        path.runUntil([&] { return contains(client.received, "\r\n\r\n"); });
        CHECK(contains(client.received, hasId ? "HTTP/1.1 200" : "HTTP/1.1 502"));
    }
    SECTION("while the same request is sent once more")
    {
        client.received.clear();
        server.received.clear();
        client.write(makePayRequest("r1"));
        TestConnection &running = path.awaitBackendRequest("r1");
        server.write(refusal);
        path.runUntil([&] { return &running == &server || server.isClosedByPeer; });
        if (&running != &server)
            running.write(makeResponse("r1", "done"));
        path.runUntil([&] { return contains(client.received, "\r\n\r\n"); });
        // It runs, so that the answer must not say that it has not.
        CHECK_FALSE(contains(client.received, "HTTP/1.1 503"));
        CHECK((&running == &server || contains(client.received, "done")));
    }
}

TEST_CASE("a connection that has refused many requests is not used again")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    TestConnection *first = nullptr;
    bool isReplaced = false;
    for (int i = 0; i < 100 && !isReplaced; ++i) {
        const std::string id = "r" + std::to_string(i) + "x";
        client.received.clear();
        client.write(makePayRequest(id));
        TestConnection &server = path.awaitBackendRequest(id);
        first = first == nullptr ? &server : first;
        isReplaced = &server != first;
        server.write(makeRefusal("X-Attempt-Id: " + id + "\r\n"));
        path.runUntil([&] { return contains(client.received, "\r\n\r\n"); });
        CHECK(contains(client.received, "HTTP/1.1 503"));
    }
    CHECK(isReplaced);
}

// Guards against the head of an answer that is cut and taken for a whole one (report of another
// operator).
TEST_CASE("an answer whose head is cut anywhere is never forwarded as a success")
{
    const std::string body = "whole body";
    const std::string length = GENERATE(std::string("Content-Length: 10\r\n"),
                                        std::string("Transfer-Encoding: chunked\r\n"),
                                        std::string("Connection: close\r\n"));
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
                             "Server-Limit: 100\r\n"
                             + length + "\r\n";
    for (std::size_t size = 0; size < head.size(); ++size) {
        RequestPath path;
        path.configure();
        TestConnection &client = path.connectClient();
        client.write(makePayRequest("r1"));
        TestConnection &server = path.awaitBackendRequest("r1");
        server.write(head.substr(0, size));
        server.socket.shutdown(TcpSocket::shutdown_send);
        path.runUntil([&] { return contains(client.received, "\r\n\r\n"); });
        CAPTURE(size, length);
        CHECK(contains(client.received, "HTTP/1.1 502"));
    }
}
