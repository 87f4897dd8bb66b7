/// \file
/// Bytes without end: from backend servers, as no answer or as one that never ends, and from
/// clients.
#include "RequestPath.h"
#include "store/StoreClient.h"

#include <optional>

using namespace godwitlift;

namespace {

/// Most bytes that the node may take from an answer before it closes the connection: a head of
/// 64 KiB, what it discards, its flow-control window, and the socket buffers of the loopback
/// device.
constexpr std::size_t MaxTakenBytes = std::size_t(16) * 1024 * 1024;
/// Buffer size of the sockets outside the node, which the kernel otherwise enlarges by itself.
constexpr int OutsideBufferBytes = 65'536;
/// Longest time to a final answer; far less than the time that the client would wait.
constexpr absl::Duration MaxAnswerTime = absl::Seconds(3);

/// Writes a beginning and then the same bytes again and again until the peer closes the connection.
class EndlessWriter final
{
public:
    EndlessWriter(TestConnection &connection, const std::string &beginning,
                  const std::string &repeated)
        : m_connection(connection)
        , m_next(beginning)
    {
        while (m_repeated.size() < PieceBytes)
            m_repeated += repeated;
        writeNext();
    }

    bool isClosed() const { return m_isClosed || m_connection.isClosedByPeer; }
    std::size_t sentBytes() const { return m_sentBytes; }

private:
    static constexpr std::size_t PieceBytes = 16'384;

    void writeNext()
    {
        if (m_next.empty())
            m_next = m_repeated;
        asio::async_write(m_connection.socket, asio::buffer(m_next),
                          [this](const boost::system::error_code &error, std::size_t size) {
                              m_sentBytes += size;
                              m_isClosed = bool(error);
                              m_next.clear();
                              if (!error)
                                  writeNext();
                          });
    }

    TestConnection &m_connection;
    std::string m_next;
    std::string m_repeated;
    std::size_t m_sentBytes = 0;
    bool m_isClosed = false;
};

std::string makePayment(const std::string &id)
{
    return "POST /pay/now HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id
           + "\r\nX-Deadline-Ms: 15000\r\nContent-Length: 3\r\n\r\nabc";
}

std::string makeAnswerHead(const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
}

struct EndlessAnswer
{
    const char *description;
    std::string beginning;
    std::string repeated;
    std::string status; ///< Of the client's final answer.
};

const std::string ChunkedAnswer =
        makeAnswerHead("X-Attempt-Id: r1\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n");

const std::vector<EndlessAnswer> EndlessAnswers = {
    { "bytes that are not HTTP", "", "\x16\x03\x01", "502" },
    { "a header field", "HTTP/1.1 200 OK\r\nX-Filler: ", "x", "502" },
    { "header fields", "HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n", "502" },
    { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", "502" },
    { "the line of a chunk size", ChunkedAnswer + "1;", "x", "502" },
    { "a trailer field", ChunkedAnswer + "0\r\nX-Filler: ", "x", "502" },
    { "a body without the seal", makeAnswerHead("X-Attempt-Id: r1\r\n"), "x", "502" },
    { "one answer to another request",
      makeAnswerHead("X-Attempt-Id: other\r\nX-Response-Seal: s\r\n"), "x", "502" },
    { "answers to another request", "",
      makeAnswerHead("X-Attempt-Id: other\r\nX-Response-Seal: s\r\nContent-Length: 1\r\n") + "x",
      "502" },
    { "a refusal to run the request",
      "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\n\r\n", "x",
      "503" },
};

} // namespace

// Guards against memory that grows, and callers that wait, while a backend server sends bytes
// without end that are no answer.
TEST_CASE("bytes without end that are no answer end the attempt early with its true verdict")
{
    const EndlessAnswer answer = GENERATE(from_range(EndlessAnswers));
    const bool isIdempotent = GENERATE(true, false);
    INFO(answer.description << (isIdempotent ? ", idempotent" : ", at most once"));
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    client.write(isIdempotent ? makeGetRequest("/look/a", "r1") : makePayment("r1"));
    TestConnection &backend = path.awaitBackendRequest("X-Attempt-Id: r1");
    const absl::Time start = steadyNow();
    const EndlessWriter writer(backend, answer.beginning, answer.repeated);
    path.runUntil([&] { return contains(client.received, "\r\n\r\n") && writer.isClosed(); });
    CHECK(steadyNow() - start < MaxAnswerTime);
    CHECK(writer.sentBytes() < MaxTakenBytes);
    // 503 promises that the request has not run; the others may have.
    CHECK(contains(client.received, "HTTP/1.1 " + answer.status));
    std::size_t executions = 0;
    for (const TestConnection &connection : path.backendConnections)
        executions += contains(connection.received, "X-Attempt-Id: r1") ? 1 : 0;
    CHECK(executions == 1);
}

// Guards against buffering an answer without end for a client that does not read, and against an
// end that makes it look complete.
TEST_CASE("a sealed answer without end is held back by the client and cut at the deadline")
{
    const char *framing = GENERATE("", "Transfer-Encoding: chunked\r\n");
    RequestPath path;
    path.configure();
    path.acceptor.set_option(asio::socket_base::send_buffer_size(OutsideBufferBytes));
    TestConnection client(path.loop);
    client.socket.open(asio::ip::tcp::v4());
    client.socket.set_option(asio::socket_base::receive_buffer_size(OutsideBufferBytes));
    client.socket.connect(loopback(path.clientPort));
    client.write("GET /look/a HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
                 "X-Deadline-Ms: 1500\r\n\r\n");
    TestConnection &backend = path.awaitBackendRequest("X-Attempt-Id: r1");
    const bool isChunked = *framing != '\0';
    const EndlessWriter writer(
            backend,
            makeAnswerHead("X-Attempt-Id: r1\r\nX-Response-Seal: s\r\n" + std::string(framing)),
            isChunked ? "4\r\nabcd\r\n" : "x");
    path.runUntil([&] { return writer.isClosed(); });
    CHECK(writer.sentBytes() < MaxTakenBytes);
    client.startReading();
    path.runUntil([&] { return client.isClosedByPeer; });
    CHECK(contains(client.received, "HTTP/1.1 200"));
    CHECK_FALSE(contains(client.received, "\r\n0\r\n\r\n"));
}

// Guards against answers that are bounded one by one but fill the memory together, and against
// a bound that costs a client which reads its answer.
TEST_CASE("answers without end that many clients do not read hold bounded memory together")
{
    constexpr std::size_t ClientCount = 150;
    constexpr std::size_t MemoryBytes = std::size_t(40) * 1024 * 1024;
    constexpr std::size_t WholeBodyBytes = 1'000'000;
    RequestPath path;
    path.inputKeeper.setMemory(MemoryBytes);
    path.configure(ClientCount + 1);
    path.acceptor.set_option(asio::socket_base::send_buffer_size(OutsideBufferBytes));
    std::list<TestConnection> clients;
    std::list<EndlessWriter> writers;
    const auto heldBytes = [&] { return path.inputKeeper.outputBudget().heldBytes(); };
    std::size_t peak = 0;
    for (std::size_t i = 0; i < ClientCount; ++i) {
        const std::string id = "r" + std::to_string(i) + ".";
        TestConnection &client = clients.emplace_back(path.loop);
        client.socket.open(asio::ip::tcp::v4());
        client.socket.set_option(asio::socket_base::receive_buffer_size(OutsideBufferBytes));
        client.socket.connect(loopback(path.clientPort));
        client.write(makeGetRequest("/look/a", id));
        writers.emplace_back(path.awaitBackendRequest("X-Attempt-Id: " + id),
                             makeAnswerHead("X-Attempt-Id: " + id + "\r\nX-Response-Seal: s\r\n"),
                             "x");
        path.loop.run_for(std::chrono::milliseconds(5));
        peak = std::max(peak, heldBytes());
    }
    TestConnection &reader = path.connectClient();
    reader.write(makeGetRequest("/look/whole", "whole"));
    path.sendAll(path.awaitBackendRequest("X-Attempt-Id: whole"),
                 makeResponse("whole", std::string(WholeBodyBytes, 'y')));
    path.runUntil([&] {
        peak = std::max(peak, heldBytes());
        return reader.isClosedByPeer || reader.received.size() > WholeBodyBytes;
    });
    CHECK(contains(reader.received, std::string(WholeBodyBytes, 'y')));
    // One answer more may be held when the limit is noticed.
    CHECK(peak < InputBudget::outputLimitOf(MemoryBytes, 0) + 2 * AnswerWindowBytes);
    CHECK(path.yields > 0);
}

// Guards against a backend server that goes on sending after its caller has left.
TEST_CASE("an answer without end stops when its client disconnects")
{
    RequestPath path;
    path.configure();
    TestConnection &client = path.connectClient();
    client.write(makeGetRequest("/look/a", "r1"));
    TestConnection &backend = path.awaitBackendRequest("X-Attempt-Id: r1");
    const EndlessWriter writer(backend,
                               makeAnswerHead("X-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"), "x");
    path.runUntil([&] { return contains(client.received, "xxxx"); });
    client.closeWithReset();
    path.runUntil([&] { return writer.isClosed(); });
    CHECK(path.ingress.callCount() == 0);
}

// Guards against memory that grows while a client sends a request without end.
TEST_CASE("a request without end is rejected with bounded memory")
{
    const std::string head =
            "POST /a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n";
    const auto [beginning, repeated, expected] =
            GENERATE_COPY(table<std::string, std::string, ParseState>({
                    { head + "X-Filler: ", "x", ParseState::HeadTooLarge },
                    { head, "X-Filler: x\r\n", ParseState::HeadTooLarge },
                    { head + "\r\n1;", "x", ParseState::Malformed },
                    { head + "\r\n0\r\nX-Filler: ", "x", ParseState::Malformed },
                    { head + "\r\n", "4\r\nabcd\r\n", ParseState::BodyTooLarge },
            }));
    constexpr std::size_t Limit = 16'384;
    RequestParser parser(Limit, Limit);
    std::string input = beginning;
    std::size_t largestInput = 0;
    ParseState state = ParseState::NeedsMore;
    for (int i = 0; i < 100'000 && state == ParseState::NeedsMore; ++i) {
        input += repeated;
        state = parser.feed(input);
        largestInput = std::max(largestInput, input.size());
    }
    CHECK(state == expected);
    CHECK(largestInput < 2 * Limit);
}

// Guards against a health probe that is never over, so that no later one is sent.
TEST_CASE("a health probe without an end is given up and can be repeated")
{
    const bool isMute = GENERATE(true, false);
    RequestPath path;
    TrafficService service;
    service.id = ServiceId("desk");
    service.healthPath = "/health";
    path.gate.setCatalogue(RouteCatalogue::create(Version(1), {}, { service }, {}));
    TestConnection &first = path.awaitBackendRequest("GET /health");
    std::optional<EndlessWriter> writer;
    if (!isMute)
        writer.emplace(first, "HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\n\r\n", "x");
    path.runUntil([&] { return first.isClosedByPeer || (writer && writer->isClosed()); });
    CHECK(path.gate.lifecycle().state() == ServerState::Absent);
    first.received.clear();
    path.gate.probe();
    TestConnection &second = path.awaitBackendRequest("GET /health");
    second.write("HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n");
    path.runUntil([&] { return path.gate.lifecycle().state() == ServerState::Ready; });
}

// Guards against memory that grows while the store sends an answer without end.
TEST_CASE("an answer of the store without end is given up as unknown")
{
    asio::io_context loop;
    const auto protocol = createPlatformProtocol();
    TcpAcceptor acceptor(loop.get_executor(), loopback(0));
    StoreClient store(loop, acceptor.local_endpoint(), *protocol,
                      [](const StoreRequest &, const StoreAnswer &) {});
    std::optional<StoreOutcome> outcome;
    store.call(StoreRequest(), [&](const StoreAnswer &answer) { outcome = answer.outcome; });
    TestConnection connection(loop);
    std::optional<EndlessWriter> writer;
    acceptor.async_accept(connection.socket, [&](const boost::system::error_code &error) {
        REQUIRE_FALSE(error);
        writer.emplace(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n",
                       " ");
    });
    const absl::Time start = steadyNow();
    while (steadyNow() - start < MaxAnswerTime && (!outcome || !writer || !writer->isClosed()))
        loop.run_one_for(std::chrono::milliseconds(2));
    CHECK(outcome == StoreOutcome::Unknown);
    REQUIRE(writer);
    CHECK(writer->isClosed());
    CHECK(writer->sentBytes() < MaxTakenBytes);
}

// Guards against bodies that stop short of their end and fill the memory, and against a budget that
// turns away everyone instead of those that stand still.
TEST_CASE("bodies that stop short of their end yield to another one and to small requests")
{
    constexpr std::size_t BodySize = 400'000;
    constexpr std::size_t InputLimit = 1'000'000;
    RequestPath path(0, -1, InputLimit);
    path.configure();
    const std::string head = "POST /pay/a HTTP/1.1\r\nHost: a.example\r\nX-Deadline-Ms: 9000\r\n"
                             "Content-Length: 400000\r\nX-Attempt-Id: ";
    std::vector<TestConnection *> stalled;
    for (int i = 0; i < 8; ++i) {
        stalled.push_back(&path.connectClient());
        path.sendAll(*stalled.back(), head + "s\r\n\r\n" + std::string(BodySize - 1, 'x'));
    }
    path.runUntil([&] { return path.yields >= 6; });
    CHECK(path.inputKeeper.budget().heldBytes() <= InputLimit);
    CHECK(contains(stalled.front()->received, "HTTP/1.1 503"));
    CHECK(contains(stalled.front()->received, "Retry-After: "));
    CHECK(contains(stalled.front()->received, "Connection: close"));
    TestConnection &small = path.connectClient();
    small.write(makeGetRequest("/look/a", "small"));
    path.awaitBackendRequest("X-Attempt-Id: small");
    TestConnection &whole = path.connectClient();
    path.sendAll(whole, head + "whole\r\n\r\n" + std::string(BodySize, 'y'));
    path.awaitBackendRequest("X-Attempt-Id: whole");
}
