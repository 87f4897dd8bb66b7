/// \file
/// Admission and routing of client requests, and refusals that precede any attempt.
#include "ingress/IngressService.h"

#include "godwitlift/base/AbslStringView.h"

#include "ingress/IngressCall.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <vector>

namespace godwitlift {

namespace {

/// `Retry-After` time while the node has no configuration; it receives one within a few hundred
/// milliseconds of its start.
constexpr absl::Duration UnconfiguredRetryAfter = absl::Milliseconds(300);
/// While the node cannot tell whether keys have been revoked; it keeps asking the store and peers.
constexpr absl::Duration OutdatedRetryAfter = absl::Milliseconds(500);

std::optional<absl::Duration> parseMilliseconds(std::optional<std::string_view> text)
{
    std::int64_t value = 0;
    if (!text || !absl::SimpleAtoi(toAbslStringView(*text), &value) || value < 0)
        return std::nullopt;
    return absl::Milliseconds(value);
}

} // namespace

IngressService::IngressService(asio::io_context &loop, Options options,
                               FinishTimeSelector &selector, GatewayLookup &gateways,
                               RateLimitedLog &log, NodeMetrics &metrics, RandomSource &random)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_selector(selector)
    , m_gateways(gateways)
    , m_log(log)
    , m_metrics(metrics)
    , m_split(random)
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
    m_retryBudgets.clear();
}

void IngressService::failOpenCalls()
{
    std::vector<std::shared_ptr<IngressCall>> open;
    for (IngressCall *call : m_calls)
        open.push_back(call->shared_from_this());
    for (const auto &call : open)
        call->onNodeStopping();
}

AttemptId IngressService::nextAttemptId()
{
    return AttemptId(++m_lastAttemptId);
}

WindowedRetryBudget &IngressService::retryBudget(const ServiceId &service)
{
    return m_retryBudgets.try_emplace(service, m_options.retryRule).first->second;
}

void IngressService::refuse(const std::shared_ptr<Exchange> &exchange, unsigned status,
                            Reason reason, absl::Duration retryAfter)
{
    const auto id = exchange->request().head.fields.find(m_options.headerNames.requestId);
    m_log.write(name(reason),
                LogLine("request-refused")
                        .add("request", id.value_or("none"))
                        .add("status", status)
                        .add("reason", name(reason))
                        .add("version", m_catalogue ? m_catalogue->version().value() : 0),
                steadyNow());
    m_metrics.recordRequest(status, reason, 0, absl::ZeroDuration());
    std::string fields;
    if (retryAfter > absl::ZeroDuration())
        fields = absl::StrFormat("Retry-After: %.3f\r\n", absl::ToDoubleSeconds(retryAfter));
    exchange->respond(status, reasonPhrase(status), fields, {});
}

void IngressService::handle(const std::shared_ptr<Exchange> &exchange)
{
    const RequestHead &head = exchange->request().head;
    if (m_catalogue == nullptr) {
        refuse(exchange, 503, Reason::NoConfiguration, UnconfiguredRetryAfter);
        return;
    }
    const std::string_view hostName = head.fields.find("host").value_or(std::string_view());
    const TrafficRoute *route = m_catalogue->route(hostName, head.target);
    if (route == nullptr) {
        refuse(exchange, 404, Reason::NoRoute, absl::ZeroDuration());
        return;
    }
    const auto id = head.fields.find(m_options.headerNames.requestId);
    if (!id) {
        refuse(exchange, 400, Reason::NoRequestId, absl::ZeroDuration());
        return;
    }
    const AccessDecision access =
            decideAccess(*m_catalogue, *route, head.fields.findAll(m_options.headerNames.clientKey),
                         m_isKnowledgeCurrent());
    if (access.refusal != Reason::None) {
        refuse(exchange, static_cast<unsigned>(httpStatus(Verdict::NotRun, access.refusal)),
               access.refusal,
               access.refusal == Reason::AccessOutdated ? OutdatedRetryAfter
                                                        : absl::ZeroDuration());
        return;
    }
    const auto clientTimeout =
            parseMilliseconds(head.fields.find(m_options.headerNames.deadlineMs));
    const ServiceId destination = m_split.nextDestination(*route);
    const absl::Duration timeout = clientTimeout.value_or(route->timeout);
    const absl::Time deadline = exchange->arrivalTime() + timeout;
    const std::vector<RunInProgress> runs = m_gateways.runsInProgress();
    const double repeatProbability = m_callAttribution.onRequest(route->id, deadline, runs);
    retryBudget(destination).recordRequest(steadyNow(), repeatProbability);
    const auto call =
            std::make_shared<IngressCall>(*this, exchange, m_catalogue, *route, access.account,
                                          destination, std::string(*id), timeout);
    if (isFromBackendServer(*exchange) && CallAttribution::canBeCall(deadline, runs)
        && m_callAttribution.isLastingRouteOfCalls(route->id))
        call->markAsServerCall();
    call->start();
}

bool IngressService::isFromBackendServer(const Exchange &exchange) const
{
    return !m_options.backendServerAddress.is_unspecified()
           && exchange.request().sourceAddress == m_options.backendServerAddress;
}

void IngressService::onRequestRejected(unsigned status)
{
    m_metrics.recordRejectedRequest(status);
    m_log.write("request-malformed", LogLine("request-malformed").add("status", status),
                steadyNow());
}

} // namespace godwitlift
