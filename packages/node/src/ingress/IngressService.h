/// \file
/// Entry point for the requests of this host's clients: routing, attempts at gates, and answers.
#pragma once

#include "gate/Attempt.h"
#include "gate/BackendConnection.h"
#include "http/HttpServer.h"
#include "ingress/TrialClaims.h"
#include "quota/QuotaExchange.h"
#include "report/NodeMetrics.h"
#include "report/RateLimitedLog.h"

#include "godwitlift/access/AccessPolicy.h"
#include "godwitlift/rollout/RolloutTraffic.h"
#include "godwitlift/traffic/AttemptPolicy.h"
#include "godwitlift/traffic/CallAttribution.h"
#include "godwitlift/traffic/CrashHistory.h"
#include "godwitlift/traffic/FinishTimeSelector.h"
#include "godwitlift/traffic/RouteCatalogue.h"
#include "godwitlift/traffic/ShutdownSchedule.h"
#include "godwitlift/traffic/TrafficSplit.h"
#include "godwitlift/traffic/WindowedRetryBudget.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_set>
#include <vector>

namespace godwitlift {

class IngressCall;

/// Finds the gateway to a host's gate.
class GatewayLookup
{
public:
    virtual ~GatewayLookup() = default;
    /// Returns null if the host is not connected.
    virtual AttemptGateway *gatewayTo(const HostId &host) = 0;
    /// Number of nodes that share the retry budgets of the fleet.
    virtual std::size_t nodeCount() const = 0;
    /// Requests that this host's backend server runs.
    virtual std::vector<RunInProgress> runsInProgress() const = 0;
};

/// Routes client requests and tracks their calls until the final answer.
class IngressService final : public HttpHandler
{
public:
    struct Options
    {
        HostId ownHost;
        ServiceId ownService; ///< Service of the backend server on this host.
        PlatformHeaderNames headerNames;
        CrashHistory &crashHistory; ///< Of the node.
        RetryBudgetRule retryRule;
        /// Where the backend server's calls come from; unspecified if that does not tell them from
        /// requests of clients.
        asio::ip::address backendServerAddress = {};
        RolloutTraffic &rollouts; ///< Of the node.
    };

    IngressService(asio::io_context &loop, Options options, FinishTimeSelector &selector,
                   GatewayLookup &gateways, RateLimitedLog &log, NodeMetrics &metrics,
                   RandomSource &random);

    void setCatalogue(std::shared_ptr<const RouteCatalogue> catalogue);
    /// Admits requests by the quotas of their accounts. Until it is set, there are none.
    void setQuotaExchange(QuotaExchange &exchange) { m_quotaExchange = &exchange; }
    /// Until it is set, requests under which servers have ended are not tried again.
    void setTrialClaims(TrialClaims &claims) { m_trialClaims = &claims; }
    /// \p isKnowledgeCurrent tells whether the node can prove that the version in force holds no
    /// key that was revoked too long ago. Until it is set, this counts as proved.
    void setKnowledgeCheck(std::function<bool()> isKnowledgeCurrent)
    {
        m_isKnowledgeCurrent = std::move(isKnowledgeCurrent);
    }
    void setRetryRule(const RetryBudgetRule &rule);
    void handle(const std::shared_ptr<Exchange> &exchange) override;
    void onRequestRejected(unsigned status) override;
    std::size_t callCount() const { return m_calls.size(); }
    /// From now on, only requests that can complete by \p schedule are sent to backend servers. The
    /// others are refused.
    void beginShutdown(const ShutdownSchedule &schedule) { m_shutdown = schedule; }
    /// Sends a final answer for every open call, because the node is about to exit.
    void failOpenCalls();

private:
    friend class IngressCall;

    void refuse(const std::shared_ptr<Exchange> &exchange, unsigned status, Reason reason,
                absl::Duration retryAfter);
    WindowedRetryBudget &retryBudget(const ServiceId &service);
    AttemptId nextAttemptId();
    bool isFromBackendServer(const Exchange &exchange) const;

    asio::io_context &m_loop;
    Options m_options;
    FinishTimeSelector &m_selector;
    GatewayLookup &m_gateways;
    QuotaExchange *m_quotaExchange = nullptr;
    TrialClaims *m_trialClaims = nullptr;
    RateLimitedLog &m_log;
    NodeMetrics &m_metrics;
    std::shared_ptr<const RouteCatalogue> m_catalogue;
    std::function<bool()> m_isKnowledgeCurrent = [] { return true; };
    TrafficSplit m_split;
    std::map<ServiceId, WindowedRetryBudget> m_retryBudgets;
    CallAttribution m_callAttribution;
    std::uint64_t m_lastAttemptId = 0;
    std::optional<ShutdownSchedule> m_shutdown; ///< None until the node stops.
    std::unordered_set<IngressCall *> m_calls;  ///< All calls that exist.
};

} // namespace godwitlift
