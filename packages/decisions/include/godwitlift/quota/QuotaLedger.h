/// \file
/// Grants of the accounts that this host owns.
#pragma once

#include "godwitlift/access/ClientAccount.h"
#include "godwitlift/quota/QuotaTypes.h"

#include <absl/container/flat_hash_map.h>

#include <map>

namespace godwitlift {

/// Grants an account's quota to hosts, from a bucket per account. Not thread-safe.
///
/// Invariant: the level of a bucket plus the credit that hosts hold ahead of their requests exceeds
/// the bucket's depth at no time. So the requests of a window are at most the depth plus what the
/// rate adds in the window. Bucket and reserves share burst and rate, so that a host that is
/// refused by one of them may ask the other. Depth, stand-ins and changes of the owner share the
/// permitted excess.
class QuotaLedger final
{
public:
    /// Time from an ask after which a host may no longer use the credit that it was granted.
    static constexpr absl::Duration GrantLifetime = absl::Milliseconds(1000);
    /// Bound of the time after which a refused host may ask again.
    static constexpr absl::Duration MaxRetryAfter = absl::Seconds(1);

    /// \p term tells this ledger from those of other hosts and processes; not 0.
    QuotaLedger(QuotaBounds bounds, std::uint64_t term)
        : m_bounds(bounds)
        , m_term(term)
    {}

    /// How far this host may grant.
    struct Authority
    {
        double share = 1;      ///< Of the rate.
        absl::Time ownerSince; ///< No other host can have granted since, by this host's view.
    };

    /// \p quota must be limited.
    QuotaGrant grant(const ClientAccountId &account, const AccountQuota &quota, const HostId &host,
                     const QuotaAsk &ask, const Authority &authority, absl::Time now);
    /// How far a stand-in may grant.
    struct StandInAuthority
    {
        double zoneShare = 0;      ///< Of the own zone among all hosts.
        absl::Time standInSince;   ///< No other host of the zone can have granted since.
        bool isReserveKept = true; ///< Every owner leaves the reserve's part of the quota.
    };

    /// Grants from the reserve of a zone: to hosts that do not reach the owner, or that it refused.
    QuotaGrant grantAsStandIn(const ClientAccountId &account, const AccountQuota &quota,
                              const QuotaAsk &ask, const StandInAuthority &authority,
                              absl::Time now);
    /// Forgets the accounts for which \p isOwned is false: when this host owns them again, others
    /// have granted meanwhile.
    template<typename Predicate>
    void retain(Predicate isOwned)
    {
        std::erase_if(m_buckets, [&](const auto &entry) { return !isOwned(entry.first); });
    }
    /// Applies a change of the share of hosts within reach to all buckets. \p quotaOf returns null
    /// for an account without a quota.
    template<typename QuotaLookup>
    void changeShare(const QuotaLookup &quotaOf, double before, double after, absl::Time now)
    {
        for (auto &[account, bucket] : m_buckets) {
            if (const AccountQuota *quota = quotaOf(account)) {
                refill(bucket, *quota, before, now);
                refill(bucket, *quota, after, now);
            }
        }
    }
    std::size_t accountCount() const { return m_buckets.size(); }

private:
    /// What a host has been granted.
    struct Holding
    {
        double advance = 0; ///< Credit ahead of its requests that it may still hold.
        absl::Time expiry;  ///< Of the advance.
        double issued = 0;  ///< Bound of what it may return.
        std::uint64_t lastAsk = 0;
        absl::Time lastGrant;
    };
    struct Bucket
    {
        double level = 0;
        double backlog = 0; ///< Requests that got no credit and may come back.
        absl::Time lastRefill;
        std::map<HostId, Holding> holdings;
    };
    struct Reserve
    {
        double level = 0;
        absl::Time lastRefill;
    };

    /// Requests beyond the quota that are permitted in a window.
    double excess(const AccountQuota &quota) const;
    static double ownerRate(const AccountQuota &quota, double share);
    /// Scaled by the share like the rate, since each side of a partition has a bucket.
    double depth(const AccountQuota &quota, double share) const;
    static void noteIssue(Holding &holding, double amount, absl::Time now);
    void refill(Bucket &bucket, const AccountQuota &quota, double share, absl::Time now) const;

    QuotaBounds m_bounds;
    std::uint64_t m_term;
    std::map<ClientAccountId, Bucket> m_buckets;
    std::map<ClientAccountId, Reserve> m_reserves;
};

} // namespace godwitlift
