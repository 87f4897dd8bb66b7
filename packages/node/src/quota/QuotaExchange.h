/// \file
/// Connects a host's part in the quotas with the ingress, the peers and the event loop.
#pragma once

#include "http/Network.h"
#include "mesh.pb.h"
#include "report/NodeMetrics.h"
#include "report/RateLimitedLog.h"

#include "godwitlift/quota/QuotaAgent.h"

#include <functional>
#include <memory>

namespace godwitlift {

/// Carries asks and grants over the links between nodes, and decisions to the calls of the ingress.
class QuotaExchange final : private QuotaEffects
{
public:
    /// Sends a frame on the link to a host; does nothing if the link is down.
    using SendToHost = std::function<void(const HostId &, const mesh::Frame &)>;
    using Callback = std::function<void(const QuotaDecision &)>;

    /// \p term is random and not 0.
    QuotaExchange(asio::io_context &loop, HostId ownHost, ZoneId ownZone, const QuotaBounds &bounds,
                  std::uint64_t term, RateLimitedLog &log, NodeMetrics &metrics,
                  SendToHost sendToHost);
    ~QuotaExchange() override;

    void setCatalogue(std::shared_ptr<const RouteCatalogue> catalogue);
    void addHost(const HostId &host, const ZoneId &zone);
    void removeHost(const HostId &host);
    void setReachable(const HostId &host, bool isReachable);
    void setKeepsReserve(const HostId &host, bool keepsReserve);
    /// This node shuts down.
    void retire();
    /// Ticks several times a second, and more often while requests wait.
    void tick();

    /// Calls \p decided once, before or after this returns. Not called after abandon().
    QuotaTicket admit(const ClientAccountId &account, Callback decided);
    /// The request has ended before the decision; credit that arrives for it is given back.
    void abandon(const ClientAccountId &account, QuotaTicket ticket);
    /// An admitted request has ended and has not run.
    void refund(const ClientAccountId &account);

    mesh::Frame onAsk(const HostId &host, const mesh::QuotaAsk &message);
    void onGrant(const mesh::QuotaGrant &message);

    std::size_t waitingCount() const { return m_agent.waitingCount(); }
    std::size_t ownedCount() const { return m_agent.ownedCount(); }

private:
    void sendAsk(const HostId &owner, const ClientAccountId &account, const QuotaAsk &ask) override;
    void decide(QuotaTicket ticket, const QuotaDecision &decision) override;
    void scheduleTick();

    struct Waiting
    {
        ClientAccountId account;
        Callback decided;
    };

    asio::io_context &m_loop;
    RateLimitedLog &m_log;
    NodeMetrics &m_metrics;
    SendToHost m_sendToHost;
    QuotaAgent m_agent;
    LoopTimer m_tickTimer; ///< Runs while requests wait.
    bool m_isTickScheduled = false;
    QuotaTicket m_lastTicket = 0;
    absl::flat_hash_map<QuotaTicket, Waiting> m_waiting;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); ///< False after destruction.
};

} // namespace godwitlift
