/// \file
/// Arrival of requests and refusals before any attempt.
#include "ingress/IngressService.h"

#include "godwitlift/base/AbslView.h"

#include "ingress/IngressCall.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <vector>

namespace godwitlift {

namespace {

/// Time to come back while the node has no configuration yet; it gets one within a few hundred
/// milliseconds of its start.
constexpr absl::Duration UnconfiguredReturn = absl::Milliseconds(300);

std::optional<absl::Duration> parseMilliseconds(std::optional<std::string_view> text)
{
    std::int64_t value = 0;
    if (!text || !absl::SimpleAtoi(abslView(*text), &value) || value < 0)
        return std::nullopt;
    return absl::Milliseconds(value);
}

} // namespace

IngressService::IngressService(asio::io_context &loop, Options options,
                               FinishTimeSelector &selector, GatewayLookup &gateways,
                               DecisionLog &log, NodeMetrics &metrics)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_selector(selector)
    , m_gateways(gateways)
    , m_log(log)
    , m_metrics(metrics)
{}

void IngressService::setCatalogue(std::shared_ptr<const RouteCatalogue> catalogue)
{
    m_catalogue = std::move(catalogue);
}

void IngressService::setRetryRule(const RetryBudgetRule &rule)
{
    if (rule == m_options.retryRule)
        return;
    m_options.retryRule = rule;
    m_budgets.clear();
}

void IngressService::concludeOpenCalls()
{
    std::vector<std::shared_ptr<IngressCall>> open;
    for (IngressCall *call : m_calls)
        open.push_back(call->shared_from_this());
    for (const auto &call : open)
        call->nodeStopping();
}

AttemptId IngressService::nextAttempt()
{
    return AttemptId(++m_lastAttempt);
}

WindowedRetryBudget &IngressService::budget(const ServiceId &service)
{
    return m_budgets.try_emplace(service, m_options.retryRule).first->second;
}

void IngressService::refuse(const std::shared_ptr<Exchange> &exchange, unsigned status,
                            Reason reason, absl::Duration retryAfter)
{
    const auto id = exchange->request().head.fields.find(m_options.names.requestId);
    m_log.write(name(reason),
                LogLine("request-refused")
                        .add("request", id.value_or("none"))
                        .add("status", status)
                        .add("reason", name(reason))
                        .add("version", m_catalogue ? m_catalogue->version().value() : 0),
                steadyNow());
    m_metrics.requestEnded(status, reason, 0, absl::ZeroDuration());
    std::string fields;
    if (retryAfter > absl::ZeroDuration())
        fields = absl::StrFormat("Retry-After: %.3f\r\n", absl::ToDoubleSeconds(retryAfter));
    exchange->respond(status, reasonPhrase(status), fields, {});
}

void IngressService::handle(const std::shared_ptr<Exchange> &exchange)
{
    const RequestHead &head = exchange->request().head;
    if (m_catalogue == nullptr) {
        refuse(exchange, 503, Reason::NoConfiguration, UnconfiguredReturn);
        return;
    }
    const std::string_view hostName = head.fields.find("host").value_or(std::string_view());
    const TrafficRoute *route = m_catalogue->route(hostName, head.target);
    if (route == nullptr) {
        refuse(exchange, 404, Reason::NoRoute, absl::ZeroDuration());
        return;
    }
    const auto id = head.fields.find(m_options.names.requestId);
    if (!id) {
        refuse(exchange, 400, Reason::NoRequestId, absl::ZeroDuration());
        return;
    }
    const auto patience = parseMilliseconds(head.fields.find(m_options.names.deadlineMs));
    const ServiceId destination = m_split.nextDestination(*route);
    budget(destination).recordRequest(steadyNow());
    const auto call =
            std::make_shared<IngressCall>(*this, exchange, m_catalogue, *route, destination,
                                          std::string(*id), patience.value_or(route->timeout));
    call->start();
}

void IngressService::onRequestRejected(unsigned status)
{
    m_metrics.requestRejected(status);
    m_log.write("request-malformed", LogLine("request-malformed").add("status", status),
                steadyNow());
}

} // namespace godwitlift
