/// \file
/// Bytes without end from the backend server of a stand-alone node.
#include "godwitlift/adapters/BackendClient.h"
#include "godwitlift/adapters/HttpRequester.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace godwitlift;

namespace {

constexpr AttemptId Attempt(7);
/// Most bytes that may be taken of an answer: what is discarded, and socket buffers, which the
/// kernel enlarges to several MiB.
constexpr std::size_t MaxTakenBytes = std::size_t(16) * 1024 * 1024;
/// Longest time to the end of the call; far less than its deadline.
constexpr absl::Duration MaxEndTime = absl::Seconds(3);
constexpr absl::Duration CallTimeout = absl::Seconds(20);
constexpr absl::Duration StallTimeout = absl::Seconds(3);

/// Answers each request with a beginning, and then the same bytes until the client closes.
class EndlessServer final
{
public:
    EndlessServer(std::string beginning, std::string repeated)
        : m_beginning(std::move(beginning))
        , m_repeated(std::move(repeated))
        , m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        constexpr std::size_t PieceBytes = 16'384;
        const std::string unit = m_repeated;
        while (m_repeated.size() < PieceBytes)
            m_repeated += unit;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
        REQUIRE(::listen(m_socket, 16) == 0);
        socklen_t size = sizeof(address);
        REQUIRE(::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { run(); });
    }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;
    ~EndlessServer()
    {
        m_isStopping = true;
        ::shutdown(m_socket, SHUT_RDWR); // Ends accept().
        m_thread.join();
        ::close(m_socket);
    }

    Address address() const { return Address(absl::StrCat("127.0.0.1:", m_port)); }
    std::size_t sentBytes() const { return m_sentBytes; }

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
            const timeval pause{ 0, 100'000 };
            ::setsockopt(peer, SOL_SOCKET, SO_SNDTIMEO, &pause, sizeof pause);
            bool isOpen = ::send(peer, m_beginning.data(), m_beginning.size(), MSG_NOSIGNAL) >= 0;
            std::size_t offset = 0;
            while (isOpen && !m_isStopping && m_sentBytes < 64 * MaxTakenBytes) {
                const ssize_t size = ::send(peer, m_repeated.data() + offset,
                                            m_repeated.size() - offset, MSG_NOSIGNAL);
                isOpen = size >= 0 || errno == EAGAIN || errno == EWOULDBLOCK;
                if (size > 0) {
                    m_sentBytes += static_cast<std::size_t>(size);
                    offset = (offset + static_cast<std::size_t>(size)) % m_repeated.size();
                }
            }
        }
    }

    std::string m_beginning;
    std::string m_repeated;
    const int m_socket;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopping = false;
    std::atomic<std::size_t> m_sentBytes = 0;
    std::thread m_thread;
};

class DiscardingSink final : public AnswerSink
{
public:
    void onHead(AnswerHead) override {}
    void onBody(std::string_view) override {}
    void onEnd(const AnswerEnd &) override {}
    void onRefusal(const AnswerRefusal &) override {}
    bool isReadyForMore(std::function<void()>) override { return true; }
    bool isCancelled() const override { return m_isCancelled; }
    void cancel() { m_isCancelled = true; }

private:
    std::atomic<bool> m_isCancelled = false;
};

struct Ending
{
    RunOutcome outcome;
    Reason reason;
};

/// One request, and its end.
class PendingRequest final
{
public:
    PendingRequest(BackendClient &client, const Address &address)
    {
        BackendRequest request;
        request.call.attempt = Attempt;
        request.call.method = "GET";
        request.call.target = "/proofs/1";
        request.call.timeout = CallTimeout;
        request.call.stallTimeout = StallTimeout;
        request.address = address;
        request.deadline = absl::Now() + CallTimeout;
        request.sink = m_sink;
        request.onEnded = [state = m_state](RunOutcome outcome, Reason reason, std::uint64_t) {
            const absl::MutexLock lock(&state->mutex);
            state->ending = { outcome, reason };
        };
        client.submit(std::move(request));
    }
    ~PendingRequest()
    {
        m_sink->cancel();
        awaitEnding(CallTimeout);
    }

    std::optional<Ending> awaitEnding(absl::Duration timeout)
    {
        const absl::MutexLock lock(&m_state->mutex);
        m_state->mutex.AwaitWithTimeout(
                absl::Condition(
                        +[](State *state) { return state->ending.has_value(); }, m_state.get()),
                timeout);
        return m_state->ending;
    }

private:
    struct State
    {
        absl::Mutex mutex;
        std::optional<Ending> ending;
    };
    std::shared_ptr<State> m_state = std::make_shared<State>();
    std::shared_ptr<DiscardingSink> m_sink = std::make_shared<DiscardingSink>();
};

struct EndlessAnswer
{
    const char *description;
    std::string beginning;
    std::string repeated;
    RunOutcome outcome;
    Reason reason;
};

const std::string OwnHead = "HTTP/1.1 200 OK\r\nGodwitlift-Request-Id: 7\r\n";
const std::string OtherHead = "HTTP/1.1 200 OK\r\nGodwitlift-Request-Id: 8\r\n";
const std::string ChunkedHead = OwnHead + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<EndlessAnswer> EndlessAnswers = {
    { "bytes that are not HTTP", "", "\x16\x03\x01", RunOutcome::Failed, Reason::AnswerMismatched },
    { "a header field", "HTTP/1.1 200 OK\r\nX-Filler: ", "x", RunOutcome::Failed,
      Reason::AnswerMismatched },
    { "header fields", "HTTP/1.1 200 OK\r\n",
      absl::StrCat("X-Filler: ", std::string(8000, 'x'), "\r\n"), RunOutcome::Failed,
      Reason::AnswerMismatched },
    { "interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", RunOutcome::Failed,
      Reason::AnswerMismatched },
    { "an answer to another request", OtherHead + "\r\n", "x", RunOutcome::Failed,
      Reason::AnswerMismatched },
    { "the line of a chunk size", ChunkedHead + "1;", "x", RunOutcome::Failed,
      Reason::AnswerMismatched },
    { "trailers", ChunkedHead + "0\r\n", "X-Filler: x\r\n", RunOutcome::Failed,
      Reason::AnswerMismatched },
    { "a refusal to run the request",
      "HTTP/1.1 503 Service Unavailable\r\nGodwitlift-Request-Id: 7\r\nGodwitlift-Verdict: "
      "not-run\r\n\r\n",
      "x", RunOutcome::Shed, Reason::Shed },
};

} // namespace

// Guards against a slot, a connection and the processor that are kept until the deadline or beyond,
// and against a lost verdict, while a backend server sends bytes without end that are no answer.
TEST_CASE("bytes without end that are no answer end the call early with its true verdict")
{
    const EndlessAnswer answer = GENERATE(from_range(EndlessAnswers));
    INFO(answer.description);
    EndlessServer server(answer.beginning, answer.repeated);
    const auto client = BackendClient::create();
    client->ensureWorkers(1);
    PendingRequest request(*client, server.address());
    const auto ending = request.awaitEnding(MaxEndTime);
    REQUIRE(ending);
    CHECK(ending->outcome == answer.outcome);
    CHECK(ending->reason == answer.reason);
    CHECK(server.sentBytes() < MaxTakenBytes);
}

// Guards against a worker that is kept for the whole timeout by a store or a peer of this kind.
TEST_CASE("a request to the platform gives up an answer whose head has no end")
{
    const auto [beginning, repeated] = GENERATE(
            table<std::string, std::string>({ { "", "HTTP/1.1 100 Continue\r\n\r\n" },
                                              { "HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n" } }));
    EndlessServer server(beginning, repeated);
    OutgoingRequest request;
    request.method = "GET";
    request.url = absl::StrCat("http://", server.address().value(), "/");
    request.timeout = CallTimeout;
    const absl::Time start = absl::Now();
    CHECK(sendRequest(request).status == 0);
    CHECK(absl::Now() - start < MaxEndTime);
    CHECK(server.sentBytes() < MaxTakenBytes);
}
