/// \file
/// Requests of this host's clients: routing, attempts at gates, and answers.
#pragma once

#include "gate/Attempt.h"
#include "gate/BackendConnection.h"
#include "http/HttpServer.h"
#include "report/DecisionLog.h"
#include "report/NodeMetrics.h"

#include "godwitlift/traffic/AttemptPolicy.h"
#include "godwitlift/traffic/FinishTimeSelector.h"
#include "godwitlift/traffic/RouteCatalogue.h"
#include "godwitlift/traffic/TrafficSplit.h"
#include "godwitlift/traffic/WindowedRetryBudget.h"

#include <map>
#include <memory>
#include <unordered_set>

namespace godwitlift {

class IngressCall;

/// Finds the way to a host's gate; null if there is none.
class GatewayLookup
{
public:
    virtual ~GatewayLookup() = default;
    virtual AttemptGateway *gatewayTo(const HostId &host) = 0;
    /// Nodes that share the fleet's retry budgets.
    virtual std::size_t nodeCount() const = 0;
};

/// Owns the calls from their arrival to the final answer.
class IngressService final : public HttpHandler
{
public:
    struct Options
    {
        HostId self;
        ServiceId ownService; ///< Service of the backend server on this host.
        ExchangeFieldNames names;
        RetryBudgetRule retryRule;
    };

    IngressService(asio::io_context &loop, Options options, FinishTimeSelector &selector,
                   GatewayLookup &gateways, DecisionLog &log, NodeMetrics &metrics);

    void setCatalogue(std::shared_ptr<const RouteCatalogue> catalogue);
    void setRetryRule(const RetryBudgetRule &rule);
    void handle(const std::shared_ptr<Exchange> &exchange) override;
    void onRequestRejected(unsigned status) override;
    std::size_t callCount() const { return m_calls.size(); }
    /// Gives every open call its final answer, for a node that must stop now.
    void concludeOpenCalls();

private:
    friend class IngressCall;

    void refuse(const std::shared_ptr<Exchange> &exchange, unsigned status, Reason reason,
                absl::Duration retryAfter);
    WindowedRetryBudget &budget(const ServiceId &service);
    AttemptId nextAttempt();

    asio::io_context &m_loop;
    Options m_options;
    FinishTimeSelector &m_selector;
    GatewayLookup &m_gateways;
    DecisionLog &m_log;
    NodeMetrics &m_metrics;
    std::shared_ptr<const RouteCatalogue> m_catalogue;
    TrafficSplit m_split;
    std::map<ServiceId, WindowedRetryBudget> m_budgets;
    std::uint64_t m_lastAttempt = 0;
    std::unordered_set<IngressCall *> m_calls; ///< From their construction to their end.
};

} // namespace godwitlift
