/// \file
/// Spending of credit, asks and their repetition.
#include "godwitlift/quota/QuotaAgent.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace godwitlift {

namespace {

/// Time constant of the moving average of an account's requests.
constexpr absl::Duration DemandTime = absl::Seconds(1);
/// An account without requests for this time is forgotten.
constexpr absl::Duration IdleTime = absl::Seconds(10);
/// Time between two asks while hosts disagree about the owner.
constexpr absl::Duration DisagreementDelay = absl::Milliseconds(50);
/// Time between two asks that only return credit.
constexpr absl::Duration ReturnInterval = absl::Milliseconds(500);
/// A request waits for credit that the owner expects within this time.
constexpr absl::Duration ShortWait = absl::Milliseconds(150);
/// While an account sends far more than its quota, one of so many refusals is followed by an ask to
/// the reserve: enough to use what it earns, at a fraction of the messages.
constexpr std::uint64_t FloodedAskInterval = 16;

} // namespace

std::string_view name(QuotaRefusal refusal)
{
    switch (refusal) {
    case QuotaRefusal::None:
        break;
    case QuotaRefusal::Spent:
        return "spent";
    case QuotaRefusal::OwnerSilent:
        return "owner-silent";
    }
    return "none";
}

QuotaAgent::QuotaAgent(HostId self, ZoneId zone, QuotaBounds bounds, std::uint64_t term,
                       QuotaEffects &effects)
    : m_members(std::move(self), std::move(zone))
    , m_ledger(bounds, term)
    , m_effects(effects)
{}

void QuotaAgent::setCatalogue(std::shared_ptr<const RouteCatalogue> catalogue)
{
    m_catalogue = std::move(catalogue);
    m_ledger.retain([this](const ClientAccountId &account) { return quotaOf(account) != nullptr; });
}

void QuotaAgent::addHost(const HostId &host, const ZoneId &zone, absl::Time now)
{
    const double shareBefore = m_members.reachableShare();
    m_members.add(host, zone, now);
    onMembersChanged(shareBefore, now);
}

void QuotaAgent::removeHost(const HostId &host, absl::Time now)
{
    const double shareBefore = m_members.reachableShare();
    m_members.remove(host, now);
    onMembersChanged(shareBefore, now);
}

void QuotaAgent::setReachable(const HostId &host, bool isReachable, absl::Time now)
{
    const double shareBefore = m_members.reachableShare();
    m_members.setReachable(host, isReachable, now);
    onMembersChanged(shareBefore, now);
}

void QuotaAgent::retire(absl::Time now)
{
    const double shareBefore = m_members.reachableShare();
    m_members.retire(now);
    onMembersChanged(shareBefore, now);
}

void QuotaAgent::onMembersChanged(double shareBefore, absl::Time now)
{
    m_ledger.changeShare([this](const ClientAccountId &account) { return quotaOf(account); },
                         shareBefore, m_members.reachableShare(), now);
    m_ledger.retain([this](const ClientAccountId &account) { return isOwner(account); });
}

const AccountQuota *QuotaAgent::quotaOf(const ClientAccountId &account) const
{
    if (m_catalogue == nullptr)
        return nullptr;
    const ClientAccount *entry = m_catalogue->account(account);
    return entry != nullptr && entry->quota.isLimited() ? &entry->quota : nullptr;
}

bool QuotaAgent::isOwner(const ClientAccountId &account) const
{
    return m_members.ownerOf(account) == m_members.self();
}

void QuotaAgent::recordDemand(Spending &spending, absl::Time now)
{
    const absl::Duration gap = std::max(now - spending.lastRequest, absl::ZeroDuration());
    spending.demand = spending.demand * std::exp(-absl::FDivDuration(gap, DemandTime))
                      + 1 / absl::ToDoubleSeconds(DemandTime);
    spending.lastRequest = now;
}

void QuotaAgent::expireCredit(Spending &spending, absl::Time now)
{
    if (now < spending.creditExpiry)
        return;
    // The owner counts expired credit as spent unless it is told.
    spending.returnable += std::exchange(spending.credit, 0);
}

bool QuotaAgent::isAskCurrent(const Spending &spending, absl::Time now)
{
    return !spending.asks.empty() && now - spending.asks.back().time < AskTimeout;
}

std::optional<QuotaDecision> QuotaAgent::admit(const ClientAccountId &account, QuotaTicket ticket,
                                               absl::Time now)
{
    if (isUnlimited(account))
        return QuotaDecision();
    Spending &spending = m_spending[account];
    recordDemand(spending, now);
    expireCredit(spending, now);
    if (spending.credit >= 1 && spending.waiters.empty()) {
        spending.credit -= 1;
        const double ahead = spending.demand * absl::ToDoubleSeconds(AheadTime);
        if (ahead >= 2 && spending.credit < ahead / 2 && !isAskCurrent(spending, now)
            && now >= spending.refusedUntil)
            ask(account, spending, false, now);
        return QuotaDecision();
    }
    if (now < spending.refusedUntil)
        return QuotaDecision{ QuotaRefusal::Spent,
                              std::max(spending.retryTime, spending.refusedUntil) - now };
    spending.waiters.push_back({ ticket, now });
    ++m_waitingCount;
    if (!isAskCurrent(spending, now) && now >= spending.retryTime)
        ask(account, spending, false, now);
    // The own ledger or a sender without a way to the owner may have answered already.
    return std::nullopt;
}

void QuotaAgent::abandon(const ClientAccountId &account, QuotaTicket ticket)
{
    const auto it = m_spending.find(account);
    if (it != m_spending.end())
        m_waitingCount -= std::erase_if(it->second.waiters, [ticket](const Waiter &waiter) {
            return waiter.ticket == ticket;
        });
}

void QuotaAgent::refund(const ClientAccountId &account, absl::Time now)
{
    const auto it = m_spending.find(account);
    if (it == m_spending.end() || isUnlimited(account))
        return;
    Spending &spending = it->second;
    expireCredit(spending, now);
    if (spending.waiters.empty()) {
        spending.returnable += 1;
        return;
    }
    decideFirst(spending, QuotaDecision());
}

void QuotaAgent::ask(const ClientAccountId &account, Spending &spending, bool isForStandIn,
                     absl::Time now)
{
    const HostId owner = m_members.ownerOf(account);
    const HostId host = isForStandIn ? m_members.standInFor(account, owner) : owner;
    QuotaAsk ask;
    ask.number = ++m_lastAskNumber;
    ask.waiting = static_cast<double>(spending.waiters.size());
    const double ahead = spending.demand * absl::ToDoubleSeconds(AheadTime);
    ask.ahead = ahead >= 2 ? std::max(ahead - spending.credit, 0.0) : 0;
    ask.unspent = spending.credit;
    ask.ownerTerm = spending.ownerTerm;
    ask.isForStandIn = isForStandIn;
    if (!isForStandIn)
        ask.returned = std::exchange(spending.returnable, 0);
    spending.isStandInAsked = isForStandIn;
    spending.lastAsk = now;
    if (host == m_members.self()) {
        applyGrant(account, spending, grantTo(host, account, ask, now),
                   { ask.number, now, isForStandIn }, now);
        return;
    }
    spending.asks.push_back({ ask.number, now, isForStandIn });
    m_effects.sendAsk(host, account, ask);
}

QuotaGrant QuotaAgent::grantTo(const HostId &host, const ClientAccountId &account,
                               const QuotaAsk &ask, absl::Time now)
{
    const AccountQuota *quota = quotaOf(account);
    if (quota == nullptr) {
        // This host has another version of the configuration, in which the account has no limit.
        QuotaGrant grant;
        grant.number = ask.number;
        grant.isOwner = true;
        grant.amount = std::isfinite(ask.waiting) ? std::max(ask.waiting, 0.0) : 0;
        return grant;
    }
    if (ask.isForStandIn)
        return m_ledger.grantAsStandIn(account, *quota, ask,
                                       { m_members.zoneShare(), m_members.standInSince(account),
                                         m_members.doAllKeepReserve() },
                                       now);
    if (!isOwner(account)) {
        QuotaGrant refusal;
        refusal.number = ask.number;
        return refusal;
    }
    return m_ledger.grant(account, *quota, host, ask,
                          { m_members.reachableShare(), m_members.lastChange() }, now);
}

QuotaGrant QuotaAgent::onAsk(const HostId &host, const ClientAccountId &account,
                             const QuotaAsk &ask, absl::Time now)
{
    return grantTo(host, account, ask, now);
}

void QuotaAgent::onGrant(const ClientAccountId &account, const QuotaGrant &grant, absl::Time now)
{
    const auto it = m_spending.find(account);
    if (it == m_spending.end())
        return;
    Spending &spending = it->second;
    const auto ask = std::find_if(spending.asks.begin(), spending.asks.end(),
                                  [&](const OpenAsk &open) { return open.number == grant.number; });
    if (ask == spending.asks.end())
        return; // A repeated message, or one so late that the owner no longer counts the credit.
    const OpenAsk answered = *ask;
    spending.asks.erase(ask);
    applyGrant(account, spending, grant, answered, now);
}

void QuotaAgent::applyGrant(const ClientAccountId &account, Spending &spending,
                            const QuotaGrant &grant, const OpenAsk &ask, absl::Time now)
{
    if (!grant.isOwner) {
        spending.retryTime = now + DisagreementDelay;
        return;
    }
    expireCredit(spending, now);
    if (grant.ownerTerm != 0 && grant.ownerTerm != spending.ownerTerm) {
        spending.ownerTerm = grant.ownerTerm;
        spending.returnable = 0; // Of an owner that no longer counts it.
    }
    const double amount = std::isfinite(grant.amount) ? std::max(grant.amount, 0.0) : 0;
    spending.credit += amount;
    if (amount > 0)
        spending.creditExpiry = ask.time + QuotaLedger::GrantLifetime;
    while (spending.credit >= 1 && !spending.waiters.empty()) {
        spending.credit -= 1;
        decideFirst(spending, QuotaDecision());
    }
    if (grant.retryAfter > absl::ZeroDuration()) {
        const bool isAfterOwner = ask.isForStandIn && now - spending.lastRefusal < AskTimeout;
        const absl::Duration retryAfter =
                isAfterOwner ? std::min(grant.retryAfter,
                                        std::max(spending.retryTime - now, absl::ZeroDuration()))
                             : grant.retryAfter;
        spending.retryTime = now + retryAfter;
        spending.lastRefusal = now;
        if (!spending.waiters.empty() && mayAskReserve(ask, grant)) {
            this->ask(account, spending, true, now);
            return;
        }
        if (retryAfter > ShortWait) {
            spending.refusedUntil = now + std::min(retryAfter, MaxRefusalTime);
            while (!spending.waiters.empty())
                decideFirst(spending, { QuotaRefusal::Spent, retryAfter });
        }
        while (!spending.waiters.empty() && now - spending.waiters.front().since >= ShortWait)
            decideFirst(spending, { QuotaRefusal::Spent, retryAfter });
        return;
    }
    if (!spending.waiters.empty() && !isAskCurrent(spending, now))
        this->ask(account, spending, false, now); // They arrived while the ask was under way.
}

bool QuotaAgent::mayAskReserve(const OpenAsk &ask, const QuotaGrant &refusal) const
{
    if (ask.isForStandIn || refusal.retryAfter <= ShortWait || !m_members.doAllKeepReserve())
        return false;
    return refusal.retryAfter < QuotaLedger::MaxRetryAfter || ask.number % FloodedAskInterval == 0;
}

void QuotaAgent::decideFirst(Spending &spending, const QuotaDecision &decision)
{
    const QuotaTicket ticket = spending.waiters.front().ticket;
    spending.waiters.pop_front();
    --m_waitingCount;
    m_effects.decide(ticket, decision);
}

void QuotaAgent::tick(absl::Time now)
{
    for (auto &[account, spending] : m_spending)
        tickAccount(account, spending, now);
    std::erase_if(m_spending, [now](const auto &entry) {
        const Spending &spending = entry.second;
        return spending.waiters.empty() && spending.asks.empty()
               && now - spending.lastRequest > IdleTime;
    });
}

void QuotaAgent::tickAccount(const ClientAccountId &account, Spending &spending, absl::Time now)
{
    expireCredit(spending, now);
    while (!spending.waiters.empty() && now - spending.waiters.front().since >= MaxWait) {
        const bool isAnswered = spending.lastRefusal > spending.waiters.front().since;
        decideFirst(spending,
                    { isAnswered ? QuotaRefusal::Spent : QuotaRefusal::OwnerSilent, AskTimeout });
    }
    std::erase_if(spending.asks, [now](const OpenAsk &open) {
        return now - open.time >= QuotaLedger::GrantLifetime;
    });
    if (isAskCurrent(spending, now))
        return;
    const bool isSilent = now - spending.lastAsk >= AskTimeout && !spending.asks.empty();
    if (!spending.waiters.empty() && (isSilent || now >= spending.retryTime))
        ask(account, spending, isSilent && !spending.isStandInAsked, now);
    else if (spending.returnable >= 1 && now - spending.lastAsk >= ReturnInterval)
        ask(account, spending, false, now);
}

} // namespace godwitlift
