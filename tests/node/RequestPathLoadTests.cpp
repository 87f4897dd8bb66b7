/// \file
/// The request path while the node stops, its link is thin, or its backend server sheds.
#include "RequestPath.h"

using namespace godwitlift;

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
    path.front.disableKeepAlive();
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
