/// \file
/// Buckets of owners and reserves of stand-ins.
#include "godwitlift/quota/QuotaLedger.h"

#include <algorithm>
#include <cmath>

namespace godwitlift {

namespace {

/// Shares of the permitted excess.
constexpr double DepthShare = 0.3;
constexpr double StandInShare = 0.4;       ///< At once, in all zones together.
constexpr double StandInRefillShare = 0.1; ///< Over a window.
constexpr double TakeoverShare = 0.1;
/// Parts of burst and rate that the reserves of all zones hold together. Until the link to an owner
/// is found dead, some two seconds, a zone lives on its reserve. At 0.6 of the quota it needs 0.4
/// of the requests of a second, which are a third of what the fleet sends then.
constexpr double ReserveBurstShare = 0.6;
constexpr double ReserveRateShare = 0.03;
/// Part of the depth that is kept for requests that wait.
constexpr double WaitingShare = 0.5;
/// Part of the spare credit that one host may get ahead of its requests.
constexpr double AdvanceShare = 0.125;
constexpr absl::Duration MinRetryAfter = absl::Milliseconds(20);

absl::Duration timeToEarn(double amount, double rate)
{
    if (rate <= 0)
        return QuotaLedger::MaxRetryAfter;
    return std::clamp(absl::Seconds(amount / rate), MinRetryAfter, QuotaLedger::MaxRetryAfter);
}

/// Amounts of a message from another host, which may be anything.
double sane(double amount)
{
    return std::isfinite(amount) ? std::max(amount, 0.0) : 0.0;
}

} // namespace

double QuotaLedger::excess(const AccountQuota &quota) const
{
    const double permitted =
            quota.requestsPerSecond * absl::ToDoubleSeconds(m_bounds.window) + quota.burst;
    return permitted * m_bounds.excessShare + m_bounds.excessSlack;
}

double QuotaLedger::ownerRate(const AccountQuota &quota, double share)
{
    return (1 - ReserveRateShare) * quota.requestsPerSecond * share;
}

double QuotaLedger::depth(const AccountQuota &quota, double share) const
{
    return std::max(((1 - ReserveBurstShare) * quota.burst + DepthShare * excess(quota)) * share,
                    1.0);
}

void QuotaLedger::refill(Bucket &bucket, const AccountQuota &quota, double share,
                         absl::Time now) const
{
    double advanced = 0;
    for (auto &[host, holding] : bucket.holdings) {
        if (holding.expiry <= now)
            holding.advance = 0;
        advanced += holding.advance;
    }
    std::erase_if(bucket.holdings, [&](const auto &entry) {
        return now - entry.second.lastGrant > m_bounds.window;
    });
    const double earned =
            ownerRate(quota, share)
            * absl::ToDoubleSeconds(std::max(now - bucket.lastRefill, absl::ZeroDuration()));
    bucket.lastRefill = std::max(now, bucket.lastRefill);
    bucket.level = std::min(bucket.level + earned, std::max(depth(quota, share) - advanced, 0.0));
    bucket.backlog = std::max(bucket.backlog - earned, 0.0);
}

void QuotaLedger::noteIssue(Holding &holding, double amount, absl::Time now)
{
    holding.issued += amount;
    holding.lastGrant = now;
}

QuotaGrant QuotaLedger::grant(const ClientAccountId &account, const AccountQuota &quota,
                              const HostId &host, const QuotaAsk &ask, const Authority &authority,
                              absl::Time now)
{
    const auto [it, isNew] = m_buckets.try_emplace(account);
    Bucket &bucket = it->second;
    if (isNew) {
        bucket.level = 1 + TakeoverShare * excess(quota);
        bucket.lastRefill = std::min(now, std::max(authority.ownerSince, now - m_bounds.window));
    }
    refill(bucket, quota, authority.share, now);
    const double rate = ownerRate(quota, authority.share);

    QuotaGrant grant;
    grant.isOwner = true;
    grant.ownerTerm = m_term;
    grant.number = ask.number;
    const auto known = bucket.holdings.find(host);
    if (known != bucket.holdings.end() && ask.ownerTerm == m_term
        && ask.number > known->second.lastAsk) {
        Holding &holding = known->second;
        const double returned = std::min(sane(ask.returned), holding.issued);
        holding.issued -= returned;
        holding.advance = std::min(sane(ask.unspent), holding.advance);
        holding.lastAsk = ask.number;
        bucket.level = std::min(bucket.level + returned, depth(quota, authority.share));
    }
    const double waiting = std::floor(sane(ask.waiting));
    grant.amount = std::min(waiting, std::floor(bucket.level));
    bucket.level -= grant.amount;
    if (grant.amount > 0)
        noteIssue(bucket.holdings[host], grant.amount, now);
    if (grant.amount < waiting) {
        bucket.backlog += waiting - grant.amount;
        grant.retryAfter = timeToEarn(1 - bucket.level + bucket.backlog, rate);
        return grant;
    }
    const double spare = bucket.level - WaitingShare * depth(quota, authority.share);
    const double ahead = std::floor(std::min(sane(ask.ahead), AdvanceShare * spare));
    if (ahead >= 1) {
        bucket.level -= ahead;
        Holding &holding = bucket.holdings[host];
        noteIssue(holding, ahead, now);
        holding.advance += ahead;
        holding.expiry = now + GrantLifetime;
        grant.amount += ahead;
    }
    return grant;
}

QuotaGrant QuotaLedger::grantAsStandIn(const ClientAccountId &account, const AccountQuota &quota,
                                       const QuotaAsk &ask, const StandInAuthority &authority,
                                       absl::Time now)
{
    const double ownReserve = StandInShare * excess(quota) * authority.zoneShare;
    const double keptShare = authority.isReserveKept ? authority.zoneShare : 0;
    const double reserve = ownReserve + ReserveBurstShare * quota.burst * keptShare;
    const double rate = ReserveRateShare * quota.requestsPerSecond * keptShare
                        + StandInRefillShare * excess(quota) * authority.zoneShare
                                  / absl::ToDoubleSeconds(m_bounds.window);
    const auto [it, isNew] = m_reserves.try_emplace(account);
    Reserve &entry = it->second;
    if (isNew) {
        // Another stand-in may have granted all but the part for changes of the stand-in.
        entry.level = ownReserve;
        entry.lastRefill = std::min(now, authority.standInSince);
    }
    entry.level = std::min(entry.level
                                   + rate
                                             * absl::ToDoubleSeconds(std::max(
                                                     now - entry.lastRefill, absl::ZeroDuration())),
                           reserve);
    entry.lastRefill = std::max(now, entry.lastRefill);
    QuotaGrant grant;
    grant.number = ask.number;
    grant.isOwner = true;
    grant.amount = std::min(std::floor(sane(ask.waiting)), std::floor(entry.level));
    entry.level -= grant.amount;
    if (grant.amount < std::floor(sane(ask.waiting)))
        grant.retryAfter = timeToEarn(1 - entry.level, rate);
    return grant;
}

} // namespace godwitlift
