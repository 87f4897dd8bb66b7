/// \file
/// Endpoints of the operator API.
#include "OperatorApi.h"

#include "OperatorApiJson.h"
#include "godwitlift/adapters/ConstantTime.h"
#include "godwitlift/configuration/ConfigurationCodec.h"

#include <absl/strings/numbers.h>

namespace godwitlift {

namespace {

using nlohmann::json;

constexpr int WorkerCount = 2;
constexpr std::size_t MaxQueuedRequests = 64;
constexpr absl::Duration AnswerTimeout = absl::Seconds(20);
constexpr std::size_t MaxHistoryEntries = 100;
constexpr std::string_view VersionsPath = "/v1/versions/";

void respond(HttpExchange &exchange, int status, const json &body)
{
    exchange.respond(status, { { "Content-Type", "application/json" } }, body.dump() + "\n");
}

void respondProblem(HttpExchange &exchange, int status, const std::string &problem)
{
    respond(exchange, status, json{ { "problem", problem } });
}

int httpStatus(const PublicationOutcome &outcome)
{
    if (std::holds_alternative<Published>(outcome))
        return 200;
    if (std::holds_alternative<Conflict>(outcome))
        return 409;
    return std::holds_alternative<PlanRejected>(outcome) ? 400 : 503;
}

} // namespace

OperatorApi::OperatorApi(std::vector<OperatorCredential> credentials, ControlRuntime &control)
    : m_credentials(std::move(credentials))
    , m_control(control)
{
    for (int i = 0; i < WorkerCount; ++i)
        m_workers.emplace_back([this] { runWorker(); });
}

OperatorApi::~OperatorApi()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    for (std::thread &thread : m_workers)
        thread.join();
}

void OperatorApi::handle(std::shared_ptr<HttpExchange> exchange)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_queue.size() >= MaxQueuedRequests) {
        respondProblem(*exchange, 503, "too many operator requests are queued");
        return;
    }
    m_queue.push_back(std::move(exchange));
}

void OperatorApi::runWorker()
{
    while (true) {
        std::shared_ptr<HttpExchange> exchange;
        {
            const absl::MutexLock lock(&m_mutex);
            const auto isStoppingOrHasRequest = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                return m_stopping || !m_queue.empty();
            };
            m_mutex.Await(absl::Condition(&isStoppingOrHasRequest));
            if (m_stopping)
                return;
            exchange = std::move(m_queue.front());
            m_queue.pop_front();
        }
        handleRequest(*exchange);
    }
}

std::string OperatorApi::authenticate(const HttpRequest &request) const
{
    const std::string authorization = request.header("Authorization");
    std::string operatorName;
    for (const OperatorCredential &credential : m_credentials) {
        if (equalsInConstantTime(authorization, "Bearer " + credential.token))
            operatorName = credential.operatorName;
    }
    return operatorName;
}

void OperatorApi::handleRequest(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string author = authenticate(request);
    if (author.empty()) {
        respondProblem(exchange, 401, "missing or unknown operator token");
        return;
    }
    const bool isPost = request.method == "POST";
    const bool isGet = request.method == "GET";
    if (isPost && request.path == "/v1/plan")
        handlePlan(exchange);
    else if (isPost && request.path == "/v1/confirm")
        handleConfirm(exchange, author);
    else if (isGet && request.path == "/v1/status")
        handleStatus(exchange);
    else if (isGet && request.path == "/v1/history")
        handleHistory(exchange);
    else if (isGet && request.path == "/v1/configuration")
        handleConfiguration(exchange);
    else if (isGet && request.path.starts_with(VersionsPath))
        handleVersion(exchange);
    else
        respondProblem(exchange, 404, "no such endpoint");
}

void OperatorApi::handlePlan(HttpExchange &exchange)
{
    const std::string &body = exchange.request().body;
    const bool isReplacement = exchange.request().queryParameter("mode") == "whole";
    std::string problem;
    const auto plan = valueOrErrorText(
            [&]() -> Result<Plan> {
                if (isReplacement) {
                    BOOST_LEAF_AUTO(target, decodeConfiguration(body));
                    return m_control.planReplacement(target);
                }
                BOOST_LEAF_AUTO(delta, decodeDelta(body));
                return m_control.plan(delta);
            },
            problem);
    if (plan)
        respond(exchange, 200, toJson(*plan));
    else
        respondProblem(exchange, 400, problem);
}

void OperatorApi::handleConfirm(HttpExchange &exchange, const std::string &author)
{
    std::string problem;
    auto confirmation =
            valueOrErrorText([&] { return decodeConfirmation(exchange.request().body); }, problem);
    if (!confirmation) {
        respondProblem(exchange, 400, problem);
        return;
    }
    confirmation->author = author;
    const auto result = m_control.runOperatorRequest(
            [&](ControlPlane &plane, OperatorRequestId id, absl::Time now) {
                return plane.confirm(id, *confirmation, now);
            },
            AnswerTimeout);
    const auto *outcome = result ? std::get_if<PublicationOutcome>(&*result) : nullptr;
    if (outcome == nullptr)
        respond(exchange, 503,
                json{ { "outcome", "unknown" },
                      { "problem", "timed out; confirm again with the same operation" } });
    else
        respond(exchange, httpStatus(*outcome), toJson(*outcome));
}

void OperatorApi::handleStatus(HttpExchange &exchange)
{
    const auto result =
            m_control.runOperatorRequest([](ControlPlane &plane, OperatorRequestId id,
                                            absl::Time now) { return plane.queryStatus(id, now); },
                                         AnswerTimeout);
    const auto *status = result ? std::get_if<FleetStatus>(&*result) : nullptr;
    if (status == nullptr)
        respondProblem(exchange, 503, "timed out waiting for the control plane");
    else
        respond(exchange, 200, toJson(*status, m_control.status()));
}

void OperatorApi::handleHistory(HttpExchange &exchange)
{
    std::uint64_t after = 0;
    const bool hasStart = absl::SimpleAtoi(exchange.request().queryParameter("after"), &after);
    const std::uint64_t newest = m_control.configuration()->version.value();
    if (!hasStart && newest > MaxHistoryEntries)
        after = newest - MaxHistoryEntries;
    const auto result = m_control.runOperatorRequest(
            [&](ControlPlane &plane, OperatorRequestId id, absl::Time now) {
                return plane.queryHistory(id, Version(after), MaxHistoryEntries, now);
            },
            AnswerTimeout);
    const auto *listing = result ? std::get_if<HistoryListing>(&*result) : nullptr;
    if (listing == nullptr || !listing->problem.empty())
        respondProblem(exchange, 503,
                       listing == nullptr ? "timed out waiting for the control plane"
                                          : listing->problem);
    else
        respond(exchange, 200, toJson(*listing));
}

void OperatorApi::handleConfiguration(HttpExchange &exchange)
{
    const SharedConfiguration current = m_control.configuration();
    respond(exchange, 200,
            json{ { "version", current->version.value() },
                  { "digest", current->digest.value() },
                  { "content", json::parse(encode(current->content)) } });
}

void OperatorApi::handleVersion(HttpExchange &exchange)
{
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(exchange.request().path.substr(VersionsPath.size()), &number)) {
        respondProblem(exchange, 400, "the version is not a number");
        return;
    }
    const auto result = m_control.runOperatorRequest(
            [&](ControlPlane &plane, OperatorRequestId id, absl::Time now) {
                return plane.queryVersionContent(id, Version(number), now);
            },
            AnswerTimeout);
    const auto *content = result ? std::get_if<VersionContent>(&*result) : nullptr;
    if (content == nullptr || !content->problem.empty()) {
        respondProblem(exchange, content == nullptr ? 503 : 404,
                       content == nullptr ? "timed out waiting for the control plane"
                                          : content->problem);
        return;
    }
    exchange.respond(200, { { "Content-Type", "application/json" } }, content->text);
}

} // namespace godwitlift
