/// \file
/// Frames of asks and grants, and delivery of decisions.
#include "quota/QuotaExchange.h"

#include "peers/PeerMessages.h"

#include <boost/asio/post.hpp>

namespace godwitlift {

namespace {

/// Time of the quotas. Credit expires also while the host is suspended.
absl::Time quotaNow()
{
    return absl::UnixEpoch() + suspendAwareNow();
}

} // namespace

QuotaExchange::QuotaExchange(asio::io_context &loop, HostId ownHost, ZoneId ownZone,
                             const QuotaBounds &bounds, std::uint64_t term, RateLimitedLog &log,
                             NodeMetrics &metrics, SendToHost sendToHost)
    : m_loop(loop)
    , m_log(log)
    , m_metrics(metrics)
    , m_sendToHost(std::move(sendToHost))
    , m_agent(std::move(ownHost), std::move(ownZone), bounds, term,
              static_cast<QuotaEffects &>(*this))
    , m_tickTimer(loop.get_executor())
{}

QuotaExchange::~QuotaExchange()
{
    *m_isAlive = false;
}

void QuotaExchange::setCatalogue(std::shared_ptr<const RouteCatalogue> catalogue)
{
    m_agent.setCatalogue(std::move(catalogue));
}

void QuotaExchange::addHost(const HostId &host, const ZoneId &zone)
{
    m_agent.addHost(host, zone, quotaNow());
}

void QuotaExchange::removeHost(const HostId &host)
{
    m_agent.removeHost(host, quotaNow());
}

void QuotaExchange::setReachable(const HostId &host, bool isReachable)
{
    m_agent.setReachable(host, isReachable, quotaNow());
}

void QuotaExchange::setKeepsReserve(const HostId &host, bool keepsReserve)
{
    m_agent.setKeepsReserve(host, keepsReserve);
}

void QuotaExchange::retire()
{
    m_agent.retire(quotaNow());
}

void QuotaExchange::tick()
{
    m_agent.tick(quotaNow());
}

QuotaTicket QuotaExchange::admit(const ClientAccountId &account, Callback decided)
{
    const QuotaTicket ticket = ++m_lastTicket;
    // Entered first, since the own ledger may decide at once.
    m_waiting[ticket] = { account, std::move(decided) };
    const auto decision = m_agent.admit(account, ticket, quotaNow());
    if (decision) {
        const auto entry = m_waiting.extract(ticket);
        entry.mapped().decided(*decision);
    } else if (m_agent.hasWaiting()) {
        scheduleTick();
    }
    return ticket;
}

void QuotaExchange::abandon(const ClientAccountId &account, QuotaTicket ticket)
{
    if (m_waiting.erase(ticket) > 0)
        m_agent.abandon(account, ticket);
}

void QuotaExchange::refund(const ClientAccountId &account)
{
    m_agent.refund(account, quotaNow());
}

void QuotaExchange::decide(QuotaTicket ticket, const QuotaDecision &decision)
{
    // Deferred, because the agent is in the middle of a change.
    asio::post(m_loop, [this, ticket, decision, isAlive = m_isAlive] {
        if (!*isAlive)
            return;
        auto entry = m_waiting.extract(ticket);
        if (!entry.empty())
            entry.mapped().decided(decision);
    });
}

void QuotaExchange::sendAsk(const HostId &owner, const ClientAccountId &account,
                            const QuotaAsk &ask)
{
    m_metrics.recordQuotaMessage(ask.isForStandIn ? "ask-stand-in" : "ask");
    if (ask.isForStandIn)
        m_log.write("quota-owner-silent",
                    LogLine("quota-owner-silent")
                            .add("account", account.value())
                            .add("stand_in", owner.value()),
                    steadyNow());
    m_sendToHost(owner, encodeQuotaAsk(account, ask));
}

mesh::Frame QuotaExchange::onAsk(const HostId &host, const mesh::QuotaAsk &message)
{
    const ClientAccountId account(message.account());
    const QuotaGrant grant = m_agent.onAsk(host, account, decodeQuotaAsk(message), quotaNow());
    m_metrics.recordQuotaMessage(!grant.isOwner                            ? "grant-disowned"
                                 : grant.retryAfter > absl::ZeroDuration() ? "grant-short"
                                                                           : "grant");
    return encodeQuotaGrant(account, grant);
}

void QuotaExchange::onGrant(const mesh::QuotaGrant &message)
{
    m_agent.onGrant(ClientAccountId(message.account()), decodeQuotaGrant(message), quotaNow());
}

void QuotaExchange::scheduleTick()
{
    if (m_isTickScheduled)
        return;
    m_isTickScheduled = true;
    expireAfter(m_tickTimer, QuotaAgent::TickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        m_isTickScheduled = false;
        if (error)
            return;
        m_agent.tick(quotaNow());
        if (m_agent.hasWaiting())
            scheduleTick();
    });
}

} // namespace godwitlift
