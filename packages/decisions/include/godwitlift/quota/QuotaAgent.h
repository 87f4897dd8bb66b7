/// \file
/// A host's part in the quotas of all accounts: spends credit, asks for it, and grants it.
#pragma once

#include "godwitlift/quota/QuotaLedger.h"
#include "godwitlift/quota/QuotaMembers.h"
#include "godwitlift/traffic/RouteCatalogue.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string_view>
#include <vector>

namespace godwitlift {

/// Identifies a request that waits for credit.
using QuotaTicket = std::uint64_t;

/// Why a request was not admitted.
enum class QuotaRefusal : std::uint8_t {
    None,       ///< It was admitted.
    Spent,      ///< The owner of the account has no credit left.
    OwnerSilent ///< Neither the owner of the account nor its stand-in has answered.
};

std::string_view name(QuotaRefusal refusal);

/// Answer to a request, at once or for a ticket.
struct QuotaDecision
{
    QuotaRefusal refusal = QuotaRefusal::None;
    absl::Duration retryAfter; ///< Of a refusal.

    bool isAdmitted() const { return refusal == QuotaRefusal::None; }
};

/// Carries out what a QuotaAgent decides.
class QuotaEffects
{
public:
    virtual ~QuotaEffects() = default;
    virtual void sendAsk(const HostId &owner, const ClientAccountId &account,
                         const QuotaAsk &ask) = 0;
    virtual void decide(QuotaTicket ticket, const QuotaDecision &decision) = 0;
};

/// Admits requests within the quotas. Not thread-safe.
///
/// Each account has an owner among the hosts, which grants credit on request. A host spends one
/// unit of credit for each request. Where it has none, the request waits for the owner's answer. A
/// host of the own zone, the stand-in, grants from the zone's reserve if the owner is silent or has
/// no credit left.
class QuotaAgent final
{
public:
    /// Time after which an ask without an answer is repeated: at the stand-in, then at the owner.
    static constexpr absl::Duration AskTimeout = absl::Milliseconds(250);
    /// Longest time that a request waits for credit.
    static constexpr absl::Duration MaxWait = absl::Milliseconds(700);
    /// Bound of the time in which requests are refused without an ask after the owner has refused.
    static constexpr absl::Duration MaxRefusalTime = absl::Milliseconds(200);
    /// A host asks ahead for the requests of this time.
    static constexpr absl::Duration AheadTime = absl::Milliseconds(500);
    /// Interval of tick().
    static constexpr absl::Duration TickInterval = absl::Milliseconds(50);

    /// \p term is random and not 0.
    QuotaAgent(HostId self, ZoneId zone, QuotaBounds bounds, std::uint64_t term,
               QuotaEffects &effects);

    void setCatalogue(std::shared_ptr<const RouteCatalogue> catalogue);

    void addHost(const HostId &host, const ZoneId &zone, absl::Time now);
    void removeHost(const HostId &host, absl::Time now);
    /// \p isReachable: the host answers, and takes part in quotas.
    void setReachable(const HostId &host, bool isReachable, absl::Time now);
    /// See QuotaMembers::setKeepsReserve().
    void setKeepsReserve(const HostId &host, bool keepsReserve)
    {
        m_members.setKeepsReserve(host, keepsReserve);
    }

    /// This host is about to stop: others own its accounts from now on.
    void retire(absl::Time now);

    /// True if the account has no quota.
    bool isUnlimited(const ClientAccountId &account) const { return quotaOf(account) == nullptr; }
    /// Decides at once if that is possible. If not, returns none and decides about \p ticket later.
    std::optional<QuotaDecision> admit(const ClientAccountId &account, QuotaTicket ticket,
                                       absl::Time now);
    /// The request has ended, and no decision about it is needed any more.
    void abandon(const ClientAccountId &account, QuotaTicket ticket);
    /// An admitted request has ended and has not run.
    void refund(const ClientAccountId &account, absl::Time now);
    void tick(absl::Time now);

    /// Answers the ask of another host.
    QuotaGrant onAsk(const HostId &host, const ClientAccountId &account, const QuotaAsk &ask,
                     absl::Time now);
    void onGrant(const ClientAccountId &account, const QuotaGrant &grant, absl::Time now);

    bool hasWaiting() const { return m_waitingCount > 0; }
    std::size_t waitingCount() const { return m_waitingCount; }
    std::size_t ownedCount() const { return m_ledger.accountCount(); }

private:
    struct OpenAsk
    {
        std::uint64_t number;
        absl::Time time;
        bool isForStandIn;
    };
    struct Waiter
    {
        QuotaTicket ticket;
        absl::Time since;
    };
    /// What this host knows about an account that it has requests for.
    struct Spending
    {
        double credit = 0;
        absl::Time creditExpiry;
        double returnable = 0;       ///< Expired credit, or credit of refused requests.
        std::uint64_t ownerTerm = 0; ///< Of the grants that the credit comes from.
        std::deque<Waiter> waiters;
        std::vector<OpenAsk> asks;   ///< Without an answer; the last one is current or overdue.
        bool isStandInAsked = false; ///< By the last ask.
        absl::Time lastAsk = absl::InfinitePast();
        absl::Time refusedUntil = absl::InfinitePast();
        absl::Time lastRefusal = absl::InfinitePast(); ///< By the owner.
        absl::Time retryTime; ///< When the owner expects to have credit again.
        double demand = 0;    ///< Requests per second, as a moving average.
        absl::Time lastRequest = absl::InfinitePast();
    };

    const AccountQuota *quotaOf(const ClientAccountId &account) const;
    bool isOwner(const ClientAccountId &account) const;
    void recordDemand(Spending &spending, absl::Time now);
    static bool isAskCurrent(const Spending &spending, absl::Time now);
    static void expireCredit(Spending &spending, absl::Time now);
    void ask(const ClientAccountId &account, Spending &spending, bool isForStandIn, absl::Time now);
    QuotaGrant grantTo(const HostId &host, const ClientAccountId &account, const QuotaAsk &ask,
                       absl::Time now);
    /// \p ask is the one that \p grant answers.
    void applyGrant(const ClientAccountId &account, Spending &spending, const QuotaGrant &grant,
                    const OpenAsk &ask, absl::Time now);
    /// The owner has refused, and the reserve of the zone may have credit.
    bool mayAskReserve(const OpenAsk &ask, const QuotaGrant &refusal) const;
    void decideFirst(Spending &spending, const QuotaDecision &decision);
    void tickAccount(const ClientAccountId &account, Spending &spending, absl::Time now);
    void onMembersChanged(double shareBefore, absl::Time now);

    QuotaMembers m_members;
    QuotaLedger m_ledger;
    QuotaEffects &m_effects;
    std::shared_ptr<const RouteCatalogue> m_catalogue;
    std::map<ClientAccountId, Spending> m_spending;
    std::size_t m_waitingCount = 0;
    std::uint64_t m_lastAskNumber = 0;
};

} // namespace godwitlift
