/// \file
/// Small backend server for the demonstration and the measurements. It announces itself to the node
/// on its host, counts what it ran, and takes its behaviour from the request:
/// `?ms=N` works that long, `?bytes=N` answers with that many bytes.
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

constexpr absl::Duration HeartbeatPeriod = absl::Seconds(1);

class BackendHandler final : public HttpHandler
{
public:
    BackendHandler(std::string id, std::uint32_t slots)
        : m_id(std::move(id))
    {
        for (std::uint32_t i = 0; i < slots; ++i)
            m_workers.emplace_back([this] { work(); });
    }

    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        if (exchange->request().path == "/.ran") {
            exchange->respond(200, {}, ran());
            return;
        }
        int milliseconds = 0;
        if (!absl::SimpleAtoi(exchange->request().queryParameter("ms"), &milliseconds)) {
            answer(*exchange); // Nothing to wait for: no worker needed.
            return;
        }
        const absl::MutexLock lock(&m_mutex);
        m_waiting.push_back(std::move(exchange));
    }

private:
    void work()
    {
        while (true) {
            std::shared_ptr<HttpExchange> exchange;
            {
                const absl::MutexLock lock(&m_mutex);
                const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                    return !m_waiting.empty();
                };
                m_mutex.Await(absl::Condition(&ready));
                exchange = std::move(m_waiting.front());
                m_waiting.pop_front();
            }
            int milliseconds = 0;
            if (absl::SimpleAtoi(exchange->request().queryParameter("ms"), &milliseconds))
                absl::SleepFor(absl::Milliseconds(milliseconds));
            answer(*exchange);
        }
    }

    void answer(HttpExchange &exchange)
    {
        const HttpRequest &request = exchange.request();
        const std::string key = request.header("Idempotency-Key");
        std::uint64_t count = 0;
        {
            const absl::MutexLock lock(&m_mutex);
            count = ++m_ran[key.empty() ? "-" : key];
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

    std::string ran()
    {
        const absl::MutexLock lock(&m_mutex);
        std::string text;
        for (const auto &[key, count] : m_ran)
            absl::StrAppend(&text, key, " ", count, "\n");
        return text;
    }

    std::string m_id;
    absl::Mutex m_mutex;
    std::deque<std::shared_ptr<HttpExchange>> m_waiting ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::uint64_t> m_ran ABSL_GUARDED_BY(m_mutex);
    std::vector<std::thread> m_workers;
};

/// What the backend server tells its node.
struct Identity
{
    std::string id;
    std::string service;
    std::string address;
    std::string node;
    std::uint32_t slots = 20;
};

void announce(const Identity &identity, bool isDraining)
{
    OutgoingRequest request;
    request.method = "POST";
    request.url = absl::StrCat("http://", identity.node, "/local/announce");
    request.body = nlohmann::json{
        { "id", identity.id },
        { "service", identity.service },
        { "address", identity.address },
        { "slots", identity.slots },
        { "draining", isDraining }
    }.dump();
    request.timeout = absl::Seconds(1);
    sendRequest(request);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("backend-standin");
    Identity identity;
    app.add_option("--id", identity.id)->required();
    app.add_option("--service", identity.service)->required();
    app.add_option("--address", identity.address)->required();
    app.add_option("--node", identity.node)->required();
    app.add_option("--slots", identity.slots);
    CLI11_PARSE(app, argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    BackendHandler handler(identity.id, identity.slots);
    std::string problem;
    auto server = valueOr(
            [&] { return HttpServer::listen(Address(identity.address), HttpLimits(), handler); },
            problem);
    if (!server) {
        std::cerr << "backend-standin: " << problem << "\n";
        return 1;
    }
    while (true) {
        announce(identity, false);
        const timespec period = absl::ToTimespec(HeartbeatPeriod);
        if (sigtimedwait(&signals, nullptr, &period) > 0)
            break;
    }
    // Handing back: no new work, then wait for what is in progress.
    announce(identity, true);
    while ((*server)->openExchangeCount() > 0)
        absl::SleepFor(absl::Milliseconds(20));
    std::_Exit(0);
}
