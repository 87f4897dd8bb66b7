/// \file
/// Client, ingress, gate and backend server over loopback sockets on one event loop.
#include "RequestPath.h"

using namespace godwitlift;

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
    CHECK(path.server.attemptCount() == 0);
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
    path.until([&] { return path.server.attemptCount() == 1; });
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
    path.until([&] { return path.server.attemptCount() == 5; });
    path.server.onDeregistration(BackendServerId("i-1"));
    CHECK(path.server.attemptCount() == 4);
    CHECK(path.refusals == std::vector<Reason>{ Reason::Draining });
    running.write(answer("r1", "one"));
    path.until([&] { return contains(client.received, "one"); });
}
