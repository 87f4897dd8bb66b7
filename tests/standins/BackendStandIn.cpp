/// \file
/// Stand-in for a backend server in tests, demonstrations and benchmarks. It announces itself to
/// the node on its host and counts the requests that it has run; `GET /.ran` lists the counts by
/// idempotency key. Query parameters of a request: `ms=N` runs it for N milliseconds, `bytes=N`
/// answers with N bytes.
#include "godwitlift/adapters/HttpRequester.h"
#include "godwitlift/adapters/HttpServer.h"

#include <CLI/CLI.hpp>
#include <absl/base/thread_annotations.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <thread>

namespace {

using namespace godwitlift;

constexpr absl::Duration AnnouncementPeriod = absl::Seconds(1);

class BackendHandler final : public HttpHandler
{
public:
    BackendHandler(std::string id, std::uint32_t slots)
        : m_id(std::move(id))
    {
        for (std::uint32_t i = 0; i < slots; ++i)
            m_workers.emplace_back([this] { runWorker(); });
    }

    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        if (exchange->request().path == "/.ran") {
            exchange->respond(200, {}, formatRunCounts());
            return;
        }
        int milliseconds = 0;
        if (!absl::SimpleAtoi(exchange->request().queryParameter("ms"), &milliseconds)) {
            respondTo(*exchange); // Without a delay, no worker is needed.
            return;
        }
        const absl::MutexLock lock(&m_mutex);
        m_queue.push_back(std::move(exchange));
    }

private:
    void runWorker()
    {
        while (true) {
            std::shared_ptr<HttpExchange> exchange;
            {
                const absl::MutexLock lock(&m_mutex);
                const auto hasRequest = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                    return !m_queue.empty();
                };
                m_mutex.Await(absl::Condition(&hasRequest));
                exchange = std::move(m_queue.front());
                m_queue.pop_front();
            }
            int milliseconds = 0;
            if (absl::SimpleAtoi(exchange->request().queryParameter("ms"), &milliseconds))
                absl::SleepFor(absl::Milliseconds(milliseconds));
            respondTo(*exchange);
        }
    }

    void respondTo(HttpExchange &exchange)
    {
        const HttpRequest &request = exchange.request();
        const std::string key = request.header("Idempotency-Key");
        std::uint64_t count = 0;
        {
            const absl::MutexLock lock(&m_mutex);
            count = ++m_runCounts[key.empty() ? "-" : key];
        }
        std::size_t bytes = 0;
        std::string body =
                absl::StrCat(m_id, " ", request.method, " ", request.target, " ran ", count, "\n");
        if (absl::SimpleAtoi(request.queryParameter("bytes"), &bytes))
            body.resize(bytes, 'x');
        exchange.respond(200,
                         { { "Content-Type", "text/plain" },
                           { "Godwitlift-Request-Id", request.header("Godwitlift-Request-Id") } },
                         std::move(body));
    }

    std::string formatRunCounts()
    {
        const absl::MutexLock lock(&m_mutex);
        std::string text;
        for (const auto &[key, count] : m_runCounts)
            absl::StrAppend(&text, key, " ", count, "\n");
        return text;
    }

    std::string m_id;
    absl::Mutex m_mutex;
    std::deque<std::shared_ptr<HttpExchange>> m_queue ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::uint64_t> m_runCounts ABSL_GUARDED_BY(m_mutex);
    std::vector<std::thread> m_workers;
};

/// Command-line options.
struct ServerOptions
{
    std::string id;
    std::string service;
    std::string address;
    std::string nodeAddress;
    std::uint32_t slots = 20;
};

void announce(const ServerOptions &options, bool isDraining)
{
    OutgoingRequest request;
    request.method = "POST";
    request.url = absl::StrCat("http://", options.nodeAddress, "/local/announce");
    request.body = nlohmann::json{
        { "id", options.id },
        { "service", options.service },
        { "address", options.address },
        { "slots", options.slots },
        { "draining", isDraining }
    }.dump();
    request.timeout = absl::Seconds(1);
    sendRequest(request);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("backend-standin");
    ServerOptions options;
    app.add_option("--id", options.id)->required();
    app.add_option("--service", options.service)->required();
    app.add_option("--address", options.address)->required();
    app.add_option("--node", options.nodeAddress)->required();
    app.add_option("--slots", options.slots);
    CLI11_PARSE(app, argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    BackendHandler handler(options.id, options.slots);
    std::string problem;
    auto server = valueOrErrorText(
            [&] { return HttpServer::listen(Address(options.address), HttpLimits(), handler); },
            problem);
    if (!server) {
        std::cerr << "backend-standin: " << problem << "\n";
        return 1;
    }
    while (true) {
        announce(options, false);
        const timespec period = absl::ToTimespec(AnnouncementPeriod);
        if (sigtimedwait(&signals, nullptr, &period) > 0)
            break;
    }
    // Drain: stop new requests through the node, then wait for those in progress.
    announce(options, true);
    while ((*server)->openExchangeCount() > 0)
        absl::SleepFor(absl::Milliseconds(20));
    std::_Exit(0);
}
