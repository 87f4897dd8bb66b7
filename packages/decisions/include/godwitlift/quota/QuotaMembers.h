/// \file
/// The hosts as one of them sees them, and which of them owns an account's quota.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>

namespace godwitlift {

/// Rendezvous hashing over the hosts within reach. Not thread-safe.
///
/// Hosts with different views may see different owners. Each owner therefore grants only its share
/// of the quota: that of the hosts within its reach among all hosts. The shares of the sides of a
/// partition add up to at most the quota.
class QuotaMembers final
{
public:
    QuotaMembers(HostId self, ZoneId zone);

    /// A host that exists. It is out of reach until setReachable() is called.
    void add(const HostId &host, const ZoneId &zone, absl::Time now);
    void remove(const HostId &host, absl::Time now);
    void setReachable(const HostId &host, bool isReachable, absl::Time now);
    /// \p keepsReserve: as an owner, the host leaves the reserves of the zones their part.
    void setKeepsReserve(const HostId &host, bool keepsReserve);

    /// This host is about to stop and grants nothing more, unless it is alone.
    void retire(absl::Time now);

    const HostId &self() const { return m_self; }
    /// The host within reach with the highest precedence.
    const HostId &ownerOf(const ClientAccountId &account) const;
    /// The host of the own zone within reach with the highest precedence, except \p silent.
    HostId standInFor(const ClientAccountId &account, const HostId &silent) const;
    /// Share of all hosts that is within reach.
    double reachableShare() const;
    /// Share of all hosts that is in the own zone and within reach.
    double zoneShare() const;
    /// True if every known host is known to leave the reserves their part.
    bool doAllKeepReserve() const { return m_reserveKeeperCount == m_members.size(); }
    /// When a host last appeared, disappeared, or came into or out of reach.
    absl::Time lastChange() const { return m_lastChange; }
    /// Since when no other host of the own zone can have been the stand-in of \p account: none with
    /// precedence over this one has appeared, disappeared, or come into or out of reach.
    absl::Time standInSince(const ClientAccountId &account) const;

private:
    struct Member
    {
        ZoneId zone;
        bool isReachable = false;
        bool keepsReserve = false;
    };

    void count(const Member &member, int change);
    void noteChange(const HostId &host, const ZoneId &zone, absl::Time now);
    std::uint64_t score(const HostId &host, std::uint64_t accountHash) const;
    HostId best(const ClientAccountId &account, const HostId &excluded, bool ownZoneOnly) const;

    HostId m_self;
    ZoneId m_zone;
    std::map<HostId, Member> m_members; ///< Includes this host.
    std::size_t m_reserveKeeperCount = 1;
    int m_reachableCount = 1;
    int m_zoneCount = 1; ///< Hosts of the own zone within reach.
    bool m_isRetired = false;
    absl::Time m_lastChange = absl::InfinitePast();
    absl::Time m_firstChange = absl::InfiniteFuture();
    std::map<HostId, absl::Time> m_zoneChanges; ///< Last change of each host of the own zone.
    /// Owners as computed since the last change.
    mutable absl::flat_hash_map<ClientAccountId, HostId> m_owners;
};

} // namespace godwitlift
