/// \file
/// Endpoints of the intent API.
#include "OperatorApi.h"

#include "PlanText.h"
#include "godwitlift/adapters/ConstantTime.h"
#include "godwitlift/configuration/ConfigurationCodec.h"

#include <absl/strings/numbers.h>

namespace godwitlift {

namespace {

using nlohmann::json;

constexpr int ThreadCount = 2;
constexpr std::size_t WaitingLimit = 64;
constexpr absl::Duration AnswerTimeout = absl::Seconds(20);
constexpr std::size_t HistoryLimit = 100;
constexpr std::string_view VersionsPath = "/v1/versions/";

void respond(HttpExchange &exchange, int status, const json &body)
{
    exchange.respond(status, { { "Content-Type", "application/json" } }, body.dump() + "\n");
}

void fail(HttpExchange &exchange, int status, const std::string &problem)
{
    respond(exchange, status, json{ { "problem", problem } });
}

int statusOf(const PublicationOutcome &end)
{
    if (std::holds_alternative<Published>(end))
        return 200;
    if (std::holds_alternative<Conflict>(end))
        return 409;
    return std::holds_alternative<PlanRejected>(end) ? 400 : 503;
}

} // namespace

OperatorApi::OperatorApi(std::vector<OperatorCredential> credentials, ControlRuntime &control)
    : m_credentials(std::move(credentials))
    , m_control(control)
{
    for (int i = 0; i < ThreadCount; ++i)
        m_threads.emplace_back([this] { work(); });
}

OperatorApi::~OperatorApi()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    for (std::thread &thread : m_threads)
        thread.join();
}

void OperatorApi::handle(std::shared_ptr<HttpExchange> exchange)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_waiting.size() >= WaitingLimit) {
        fail(*exchange, 503, "too many operators' requests");
        return;
    }
    m_waiting.push_back(std::move(exchange));
}

void OperatorApi::work()
{
    while (true) {
        std::shared_ptr<HttpExchange> exchange;
        {
            const absl::MutexLock lock(&m_mutex);
            const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                return m_stopping || !m_waiting.empty();
            };
            m_mutex.Await(absl::Condition(&ready));
            if (m_stopping)
                return;
            exchange = std::move(m_waiting.front());
            m_waiting.pop_front();
        }
        serve(*exchange);
    }
}

std::string OperatorApi::operatorOf(const HttpRequest &request) const
{
    const std::string presented = request.header("Authorization");
    std::string found;
    for (const OperatorCredential &credential : m_credentials) {
        if (equalsInConstantTime(presented, "Bearer " + credential.token))
            found = credential.operatorName;
    }
    return found;
}

void OperatorApi::serve(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string author = operatorOf(request);
    if (author.empty()) {
        fail(exchange, 401, "not an operator of this mesh");
        return;
    }
    const bool isPost = request.method == "POST";
    const bool isFetch = request.method == "GET";
    if (isPost && request.path == "/v1/plan")
        plan(exchange);
    else if (isPost && request.path == "/v1/confirm")
        confirm(exchange, author);
    else if (isFetch && request.path == "/v1/status")
        status(exchange);
    else if (isFetch && request.path == "/v1/history")
        history(exchange);
    else if (isFetch && request.path == "/v1/configuration")
        configuration(exchange);
    else if (isFetch && request.path.starts_with(VersionsPath))
        version(exchange);
    else
        fail(exchange, 404, "no such endpoint");
}

void OperatorApi::plan(HttpExchange &exchange)
{
    const std::string &body = exchange.request().body;
    const bool isWhole = exchange.request().queryParameter("mode") == "whole";
    std::string problem;
    const auto plan = valueOrErrorText(
            [&]() -> Result<Plan> {
                if (isWhole) {
                    BOOST_LEAF_AUTO(target, decodeConfiguration(body));
                    return m_control.planWhole(target);
                }
                BOOST_LEAF_AUTO(delta, decodeDelta(body));
                return m_control.plan(delta);
            },
            problem);
    if (plan)
        respond(exchange, 200, toJson(*plan));
    else
        fail(exchange, 400, problem);
}

void OperatorApi::confirm(HttpExchange &exchange, const std::string &author)
{
    std::string problem;
    auto confirmation =
            valueOrErrorText([&] { return decodeConfirmation(exchange.request().body); }, problem);
    if (!confirmation) {
        fail(exchange, 400, problem);
        return;
    }
    confirmation->author = author;
    const auto reply =
            m_control.ask([&](ControlPlane &plane, OperatorRequestId id,
                              absl::Time now) { return plane.confirm(id, *confirmation, now); },
                          AnswerTimeout);
    const auto *end = reply ? std::get_if<PublicationOutcome>(&*reply) : nullptr;
    if (end == nullptr)
        respond(exchange, 503,
                json{ { "outcome", "unknown" },
                      { "problem", "no answer in time; confirm again with the same operation" } });
    else
        respond(exchange, statusOf(*end), toJson(*end));
}

void OperatorApi::status(HttpExchange &exchange)
{
    const auto reply = m_control.ask([](ControlPlane &plane, OperatorRequestId id,
                                        absl::Time now) { return plane.queryStatus(id, now); },
                                     AnswerTimeout);
    const auto *status = reply ? std::get_if<FleetStatus>(&*reply) : nullptr;
    if (status == nullptr)
        fail(exchange, 503, "no answer in time");
    else
        respond(exchange, 200, toJson(*status, m_control.view()));
}

void OperatorApi::history(HttpExchange &exchange)
{
    std::uint64_t after = 0;
    const bool hasStart = absl::SimpleAtoi(exchange.request().queryParameter("after"), &after);
    const std::uint64_t newest = m_control.configuration()->version.value();
    if (!hasStart && newest > HistoryLimit)
        after = newest - HistoryLimit;
    const auto reply = m_control.ask(
            [&](ControlPlane &plane, OperatorRequestId id, absl::Time now) {
                return plane.queryHistory(id, Version(after), HistoryLimit, now);
            },
            AnswerTimeout);
    const auto *listing = reply ? std::get_if<HistoryListing>(&*reply) : nullptr;
    if (listing == nullptr || !listing->problem.empty())
        fail(exchange, 503, listing == nullptr ? "no answer in time" : listing->problem);
    else
        respond(exchange, 200, toJson(*listing));
}

void OperatorApi::configuration(HttpExchange &exchange)
{
    const SharedConfiguration held = m_control.configuration();
    respond(exchange, 200,
            json{ { "version", held->version.value() },
                  { "digest", held->digest.value() },
                  { "content", json::parse(encode(held->content)) } });
}

void OperatorApi::version(HttpExchange &exchange)
{
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(exchange.request().path.substr(VersionsPath.size()), &number)) {
        fail(exchange, 400, "not a version number");
        return;
    }
    const auto reply = m_control.ask(
            [&](ControlPlane &plane, OperatorRequestId id, absl::Time now) {
                return plane.queryVersionContent(id, Version(number), now);
            },
            AnswerTimeout);
    const auto *content = reply ? std::get_if<VersionContent>(&*reply) : nullptr;
    if (content == nullptr || !content->problem.empty()) {
        fail(exchange, content == nullptr ? 503 : 404,
             content == nullptr ? "no answer in time" : content->problem);
        return;
    }
    exchange.respond(200, { { "Content-Type", "application/json" } }, content->text);
}

} // namespace godwitlift
