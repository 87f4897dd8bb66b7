/// \file
/// Tests of a stand-alone node with all its adapters in one process: HTTP APIs, malformed input,
/// complete answers and at-most-once calls.
#include "godwitlift/adapters/EventLog.h"
#include "godwitlift/adapters/HttpRequester.h"
#include "godwitlift/adapters/HttpServer.h"
#include "godwitlift/adapters/NodeRuntime.h"
#include "godwitlift/adapters/PeerTransport.h"
#include "godwitlift/base/RandomSource.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace godwitlift;
using nlohmann::json;

namespace {

constexpr char Ip[] = "127.77.0.1";
constexpr char Token[] = "operator-token-for-tests";

const char SettingsText[] = R"({
  "host": "h1", "zone": "z1", "region": "r1",
  "listen": {"peers": "127.77.0.1:7400", "calls": "127.77.0.1:7401",
             "operators": "127.77.0.1:7403", "local": "127.77.0.1:7404"},
  "mesh_secret": "mesh-secret-for-tests",
  "operators": {"dispatcher": "operator-token-for-tests"},
  "limits": {"request_bytes": 100000, "shutdown_timeout_ms": 5000}
})";

const char ConfigurationDeltaText[] = R"({
  "ranks": {"k": {"urgency": 0}},
  "services": {"s": {}, "raw": {}},
  "routes": {
    "raw": {"path_prefix": "/raw", "service": "raw", "rank": "k", "deadline_ms": 1500, "stall_timeout_ms": 300},
    "endless": {"path_prefix": "/endless", "service": "raw", "rank": "k", "deadline_ms": 10000, "stall_timeout_ms": 1000},
    "r": {"path_prefix": "/r", "service": "s", "rank": "k", "deadline_ms": 1500, "stall_timeout_ms": 300, "request_limit_bytes": 50000},
    "once": {"path_prefix": "/once", "service": "s", "rank": "k", "repeat": "at-most-once", "deadline_ms": 1500, "stall_timeout_ms": 300}
  }
})";

/// Backend server that truncates, stalls or mislabels its answers, depending on the path.
class Backend final : public HttpHandler
{
public:
    std::atomic<int> requestCount = 0;

    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        ++requestCount;
        const std::string path = exchange->request().path;
        const std::string attempt = exchange->request().header("Godwitlift-Request-Id");
        if (path == "/r/truncated") {
            exchange->beginAnswer(200, {}, 100);
            exchange->writeBody("only this");
            exchange->abortAnswer();
        } else if (path == "/r/stalled") {
            exchange->beginAnswer(200, {}, 100);
            exchange->writeBody("and then nothing");
            m_stalledExchange = std::move(exchange);
        } else if (path == "/r/crossed") {
            exchange->respond(200, { { "Godwitlift-Request-Id", "999999" } }, "not yours");
        } else if (path == "/r/large") {
            exchange->respond(200, {}, std::string(3'000'000, 'x'));
        } else {
            exchange->respond(200, { { "Godwitlift-Request-Id", attempt } },
                              absl::StrCat("ran ", requestCount.load()));
        }
    }

private:
    std::shared_ptr<HttpExchange> m_stalledExchange;
};

IncomingResponse request(const std::string &method, int port, const std::string &path,
                         const std::string &body = "", std::vector<std::string> headers = {})
{
    OutgoingRequest outgoing;
    outgoing.method = method;
    outgoing.url = absl::StrCat("http://", Ip, ":", port, path);
    outgoing.headers = std::move(headers);
    outgoing.body = body;
    outgoing.timeout = absl::Seconds(10);
    return sendRequest(outgoing);
}

IncomingResponse requestAsOperator(const std::string &method, const std::string &path,
                                   const std::string &body = "")
{
    return request(method, 7403, path, body, { absl::StrCat("Authorization: Bearer ", Token) });
}

/// A running node with one backend server and one published version.
struct RunningNode
{
    Backend backend;
    std::unique_ptr<HttpServer> backendServer;
    std::unique_ptr<NodeRuntime> node;
    std::atomic<bool> isStopping = false;
    std::thread announcer; ///< Keeps the announcement from expiring in a slow test run.

    RunningNode()
    {
        std::string problem;
        backendServer = std::move(*valueOrErrorText(
                [&] { return HttpServer::listen(Address("127.77.0.1:7410"), {}, backend); },
                problem));
        node = std::move(*valueOrErrorText(
                [&]() -> Result<std::unique_ptr<NodeRuntime>> {
                    BOOST_LEAF_AUTO(settings, decodeNodeSettings(SettingsText));
                    return NodeRuntime::start(settings);
                },
                problem));
        waitFor([] { return request("GET", 7404, "/health").status == 200; });
        announcer = std::thread([this] {
            while (!isStopping) {
                announce();
                absl::SleepFor(absl::Milliseconds(500));
            }
        });
        publish();
        waitFor([] { return request("GET", 7401, "/r/ready").status == 200; });
    }

    RunningNode(const RunningNode &) = delete;
    RunningNode &operator=(const RunningNode &) = delete;
    ~RunningNode()
    {
        isStopping = true;
        announcer.join();
    }

    static void announce()
    {
        request("POST", 7404, "/local/announce",
                R"({"id": "b", "service": "s", "address": "127.77.0.1:7410", "slots": 8})");
    }

    static void publish()
    {
        const json plan =
                json::parse(requestAsOperator("POST", "/v1/plan", ConfigurationDeltaText).body);
        const json confirmation{ { "operation", "op-1" },
                                 { "base", plan.at("base") },
                                 { "changes_digest", plan.at("changes_digest") },
                                 { "delta", plan.at("delta") } };
        const IncomingResponse confirmed =
                requestAsOperator("POST", "/v1/confirm", confirmation.dump());
        REQUIRE(confirmed.status == 200);
        const IncomingResponse repeated =
                requestAsOperator("POST", "/v1/confirm", confirmation.dump());
        CHECK(json::parse(repeated.body).at("version")
              == json::parse(confirmed.body).at("version"));
    }

    static void waitFor(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 500 && !condition(); ++i)
            absl::SleepFor(absl::Milliseconds(20));
    }
};

/// Sends raw bytes and closes the connection without waiting for an answer.
void sendRawBytes(std::uint16_t port, const std::string &bytes)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, Ip, &address.sin_addr);
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0)
        ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    ::close(socket);
}

/// Backend server that answers each request with given bytes and closes the connection.
class RawBackend final
{
public:
    RawBackend()
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int on = 1;
        ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(7411);
        inet_pton(AF_INET, Ip, &address.sin_addr);
        REQUIRE(::bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
        REQUIRE(::listen(m_socket, 16) == 0);
        m_thread = std::thread([this] { run(); });
    }
    RawBackend(const RawBackend &) = delete;
    RawBackend &operator=(const RawBackend &) = delete;
    ~RawBackend()
    {
        ::shutdown(m_socket, SHUT_RDWR); // Ends accept().
        m_thread.join();
        ::close(m_socket);
    }

    /// \p repeated follows the answer again and again, until the node closes the connection.
    void setAnswer(std::string answer, std::string repeated = {})
    {
        const absl::MutexLock lock(&m_mutex);
        m_answer = std::move(answer);
        m_repeated = std::move(repeated);
    }

private:
    void run()
    {
        for (int peer = 0; (peer = ::accept(m_socket, nullptr, nullptr)) >= 0; ::close(peer)) {
            std::string received;
            char buffer[4096];
            while (received.find("\r\n\r\n") == std::string::npos) {
                const ssize_t size = ::recv(peer, buffer, sizeof buffer, 0);
                if (size <= 0)
                    break;
                received.append(buffer, static_cast<std::size_t>(size));
            }
            const absl::MutexLock lock(&m_mutex);
            bool isOpen = ::send(peer, m_answer.data(), m_answer.size(), MSG_NOSIGNAL) >= 0;
            while (isOpen && !m_repeated.empty())
                isOpen = ::send(peer, m_repeated.data(), m_repeated.size(), MSG_NOSIGNAL) >= 0;
        }
    }

    const int m_socket;
    absl::Mutex m_mutex;
    std::string m_answer;
    std::string m_repeated;
    std::thread m_thread;
};

class NullTrafficObserver final : public ControlTrafficObserver
{
public:
    void onMessageSent(std::string_view, std::size_t) override {}
    void onMessageReceived(std::string_view, std::size_t) override {}
};

/// Records the verdict and reason with which a forwarded call ends.
class RecordingSink final : public AnswerSink
{
public:
    void onHead(AnswerHead) override {}
    void onBody(std::string_view) override {}
    void onEnd(const AnswerEnd &) override { setOutcome(Verdict::Ran, Reason::None); }
    void onRefusal(const AnswerRefusal &refusal) override
    {
        setOutcome(refusal.verdict, refusal.reason);
    }
    bool isReadyForMore(std::function<void()>) override { return true; }
    bool isCancelled() const override { return false; }

    std::optional<std::pair<Verdict, Reason>> outcome()
    {
        const absl::MutexLock lock(&m_mutex);
        return m_outcome;
    }

private:
    void setOutcome(Verdict verdict, Reason reason)
    {
        const absl::MutexLock lock(&m_mutex);
        m_outcome = { verdict, reason };
    }
    absl::Mutex m_mutex;
    std::optional<std::pair<Verdict, Reason>> m_outcome;
};

std::string settingsProblem(const std::string &text)
{
    std::string problem;
    valueOrErrorText([&] { return decodeNodeSettings(text); }, problem);
    return problem;
}

} // namespace

TEST_CASE("Settings errors list every fault with its path")
{
    CHECK(settingsProblem(SettingsText).empty());
    CHECK(settingsProblem("{}")
          == "host: missing; zone: missing; region: missing; listen: missing; mesh_secret: "
             "missing");
    json settings = json::parse(SettingsText);
    settings["listen"]["calls"] = "localhost:80";
    settings["mesh_secret"] = "short";
    settings["limits"]["calls"] = 0;
    settings["limits"]["shutdown_timeout"] = 5;
    const std::string problem = settingsProblem(settings.dump());
    CHECK(problem.find("listen.calls: expected an IP address and port") != std::string::npos);
    CHECK(problem.find("mesh_secret: must have at least 16 characters") != std::string::npos);
    CHECK(problem.find("limits.calls: expected 1 to 1000000, found 0") != std::string::npos);
    CHECK(problem.find("limits.shutdown_timeout: unknown key") != std::string::npos);
}

TEST_CASE("Log values with special characters are quoted and stay on one line")
{
    CHECK(formatEvent({ "e", { { "a", "plain-1.2" }, { "b", "two words\n\"x\"" }, { "c", "" } } })
          == "event=e a=plain-1.2 b=\"two words \\\"x\\\"\" c=\"\"");
}

TEST_CASE("Node serves calls, refuses with correct verdicts and tolerates malformed input")
{
    RunningNode running;

    SECTION("operator requests need a valid token")
    {
        CHECK(request("GET", 7403, "/v1/status").status == 401);
        CHECK(request("GET", 7403, "/v1/status", "", { "Authorization: Bearer wrong" }).status
              == 401);
        CHECK(requestAsOperator("GET", "/v1/status").status == 200);
        CHECK(requestAsOperator("POST", "/v1/plan", "{").status == 400);
        CHECK(requestAsOperator("POST", "/v1/confirm", "{}").status == 400);
        CHECK(requestAsOperator("GET", "/v1/versions/77").status == 404);
        CHECK(requestAsOperator("GET", "/v1/history").status == 200);
    }

    SECTION("incomplete or mismatched answers become errors")
    {
        CHECK(request("GET", 7401, "/r/large").body.size() == 3'000'000);
        CHECK(request("GET", 7401, "/r/truncated").status == 502);
        CHECK(request("GET", 7401, "/r/stalled").status == 502);
        const IncomingResponse mismatched = request("GET", 7401, "/r/crossed");
        CHECK(mismatched.status == 502);
        CHECK(mismatched.body.find("not yours") == std::string::npos);
    }

    SECTION("garbled answers become errors")
    {
        RawBackend raw;
        const std::string end = "Content-Length: 4\r\n\r\nbody";
        raw.setAnswer("HTTP/1.1 200 OK\r\nX-Note: a\tb\r\n" + end);
        request("POST", 7404, "/local/announce",
                R"({"id": "raw", "service": "raw", "address": "127.77.0.1:7411", "slots": 8})");
        RunningNode::waitFor([] { return request("GET", 7401, "/raw").status == 200; });
        CHECK(request("GET", 7401, "/raw").body == "body");
        for (const char *head :
             { "HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n",
               "HTTP/1.1 200 O\x01K\r\n", "HTTP/1.1 200 OK\r\nX Blank: 1\r\n",
               "HTTP/1.1 200 OK\r\nX\x01: 1\r\n", "HTTP/1.1 200 OK\r\nX-Late : 1\r\n",
               "HTTP/1.1 200 OK\r\nX-A: 1\r\n X-Folded: 1\r\n", "HTTP/1.1 200 OK\r\nnone\r\n",
               "HTTP/1.1 200 OK\r\nX-A: \x01\r\n", "HTTP/1.1 200 OK\r\nX-A: 1\n" }) {
            CAPTURE(head);
            raw.setAnswer(head + end);
            const IncomingResponse answer = request("GET", 7401, "/raw");
            CHECK(answer.status == 502);
            CHECK(answer.body.find("body") == std::string::npos);
        }
    }

    SECTION("bytes without end that are no answer are refused long before the deadline")
    {
        RawBackend raw;
        request("POST", 7404, "/local/announce",
                R"({"id": "raw", "service": "raw", "address": "127.77.0.1:7411", "slots": 8})");
        const std::string head = "HTTP/1.1 200 OK\r\nGodwitlift-Request-Id: 999999\r\n";
        const auto [answer, repeated] = GENERATE_COPY(table<std::string, std::string>(
                { { "", "\x16\x03\x01" }, { head + "X-Filler: ", "x" }, { head + "\r\n", "x" } }));
        raw.setAnswer(answer, repeated);
        RunningNode::waitFor([] { return request("GET", 7401, "/raw").status != 503; });
        const absl::Time start = absl::Now();
        CHECK(request("GET", 7401, "/endless").status == 502);
        CHECK(absl::Now() - start < absl::Seconds(3));
    }

    SECTION("requests with an idempotency key run once and mismatches are refused")
    {
        const std::vector<std::string> key = { "Idempotency-Key: k1" };
        const IncomingResponse first = request("POST", 7401, "/once", "x", key);
        const IncomingResponse repeated = request("POST", 7401, "/once", "x", key);
        CHECK(first.status == 200);
        CHECK(repeated.body == first.body);
        CHECK(request("POST", 7401, "/once", "y", key).status == 422);
        CHECK(request("POST", 7401, "/once", "x").status == 400);
        const std::string issued = request("POST", 7401, "/.godwitlift/keys").body;
        REQUIRE(issued.size() > 10);
        const std::string header =
                absl::StrCat("Idempotency-Key: ", issued.substr(0, issued.size() - 1));
        CHECK(request("POST", 7401, "/once", "x", { header }).status == 200);
    }

    SECTION("oversized and unroutable requests are refused without running")
    {
        const int before = running.backend.requestCount;
        CHECK(request("POST", 7401, "/r/x", std::string(60'000, 'x')).status == 413);
        CHECK(request("POST", 7401, "/r/x", std::string(200'000, 'x')).status == 413);
        CHECK(request("GET", 7401, "/none").status == 404);
        CHECK(running.backend.requestCount == before);
    }

    SECTION("malformed input on any endpoint leaves the node serving")
    {
        SeededRandom random(5);
        for (int i = 0; i < 200; ++i) {
            std::string bytes =
                    i % 2 == 0 ? "POST /v1/plan HTTP/1.1\r\nContent-Length: 99999\r\n" : "";
            for (std::uint64_t k = 0; k < random.uniformBelow(300); ++k)
                bytes += static_cast<char>(random.uniformBelow(256));
            for (const std::uint16_t port : { 7400, 7401, 7403, 7404 })
                sendRawBytes(port, bytes);
        }
        sendRawBytes(7401, "GET /r HTTP/1.1\r\nX: " + std::string(100'000, 'a') + "\r\n\r\n");
        CHECK(request("GET", 7404, "/health").status == 200);
        RunningNode::announce();
        CHECK(request("GET", 7401, "/r/after").status == 200);
        CHECK(request("POST", 7404, "/local/announce", "[]").status == 400);
        CHECK(request("POST", 7404, "/local/announce", R"({"id": "b"})").status == 400);
        CHECK(request("POST", 7404, "/local/drain?id=%00").status == 400);
    }

    SECTION("calls with a wrong mesh secret and calls to an unreachable peer have the verdict not "
            "run")
    {
        const int before = running.backend.requestCount;
        NullTrafficObserver traffic;
        const auto unauthorizedClient = PeerClient::create({ HostId("x"), Address("127.77.0.9:1") },
                                                           "another-mesh-secret", traffic);
        ForwardedCall call;
        call.attempt = AttemptId(1);
        call.backendServer = BackendServerId("b");
        call.method = "GET";
        call.target = "/r/x";
        call.timeout = absl::Seconds(1);
        call.stallTimeout = absl::Seconds(1);
        auto sink = std::make_shared<RecordingSink>();
        unauthorizedClient->forward(Address("127.77.0.1:7400"), call, sink);
        RunningNode::waitFor([&] { return sink->outcome().has_value(); });
        REQUIRE(sink->outcome());
        CHECK(*sink->outcome() == std::make_pair(Verdict::NotRun, Reason::PeerRefused));
        auto unreachableSink = std::make_shared<RecordingSink>();
        unauthorizedClient->forward(Address("127.77.0.9:7400"), call, unreachableSink);
        RunningNode::waitFor([&] { return unreachableSink->outcome().has_value(); });
        REQUIRE(unreachableSink->outcome());
        CHECK(*unreachableSink->outcome()
              == std::make_pair(Verdict::NotRun, Reason::ConnectFailed));
        CHECK(running.backend.requestCount == before);
    }

    SECTION("metrics export a counter for every reason")
    {
        const std::string text = request("GET", 7404, "/metrics").body;
        for (std::size_t i = 0; i < ReasonCount; ++i) {
            const std::string label =
                    absl::StrCat("godwitlift_refusals_total{reason=\"",
                                 std::string(name(static_cast<Reason>(i))), "\"}");
            CHECK(text.find(label) != std::string::npos);
        }
    }

    CHECK(running.node->shutdownGracefully());
}
