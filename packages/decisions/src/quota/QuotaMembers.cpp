/// \file
/// Choice of owners and stand-ins.
#include "godwitlift/quota/QuotaMembers.h"

#include "godwitlift/base/Hashing.h"

#include <algorithm>
#include <utility>

namespace godwitlift {

QuotaMembers::QuotaMembers(HostId self, ZoneId zone)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
{
    m_members[m_self] = { m_zone, true, true };
}

void QuotaMembers::count(const Member &member, int change)
{
    if (!member.isReachable)
        return;
    m_reachableCount += change;
    m_zoneCount += member.zone == m_zone ? change : 0;
}

void QuotaMembers::noteChange(const HostId &host, const ZoneId &zone, absl::Time now)
{
    m_lastChange = now;
    m_firstChange = std::min(m_firstChange, now);
    if (zone == m_zone)
        m_zoneChanges[host] = now;
}

absl::Time QuotaMembers::standInSince(const ClientAccountId &account) const
{
    const std::uint64_t accountHash = hashOf(account.value());
    const std::uint64_t ownScore = score(m_self, accountHash);
    absl::Time since =
            m_firstChange == absl::InfiniteFuture() ? absl::InfinitePast() : m_firstChange;
    for (const auto &[host, time] : m_zoneChanges) {
        if (score(host, accountHash) > ownScore)
            since = std::max(since, time);
    }
    return since;
}

void QuotaMembers::add(const HostId &host, const ZoneId &zone, absl::Time now)
{
    const auto [it, isNew] = m_members.try_emplace(host, Member{ zone, false, false });
    if (!isNew && it->second.zone == zone)
        return;
    count(it->second, -1);
    it->second.zone = zone;
    count(it->second, 1);
    noteChange(host, zone, now);
}

void QuotaMembers::remove(const HostId &host, absl::Time now)
{
    if (host == m_self)
        return;
    setReachable(host, false, now);
    setKeepsReserve(host, false);
    if (m_members.erase(host) > 0)
        m_lastChange = now;
    // A host that is removed has been out of reach for longer than a window, or moved elsewhere.
    std::erase_if(m_zoneChanges,
                  [now](const auto &entry) { return now - entry.second > absl::Hours(1); });
}

void QuotaMembers::setReachable(const HostId &host, bool isReachable, absl::Time now)
{
    const auto it = m_members.find(host);
    if (host == m_self || it == m_members.end() || it->second.isReachable == isReachable)
        return;
    count(it->second, -1);
    it->second.isReachable = isReachable;
    count(it->second, 1);
    noteChange(host, it->second.zone, now);
    if (isReachable)
        m_owners.clear();
    else
        absl::erase_if(m_owners, [&](const auto &entry) { return entry.second == host; });
}

void QuotaMembers::setKeepsReserve(const HostId &host, bool keepsReserve)
{
    const auto it = m_members.find(host);
    if (host == m_self || it == m_members.end())
        return;
    m_reserveKeeperCount -= it->second.keepsReserve ? 1 : 0;
    m_reserveKeeperCount += keepsReserve ? 1 : 0;
    it->second.keepsReserve = keepsReserve;
}

void QuotaMembers::retire(absl::Time now)
{
    m_isRetired = true;
    m_lastChange = now;
    m_owners.clear();
}

std::uint64_t QuotaMembers::score(const HostId &host, std::uint64_t accountHash) const
{
    return host == m_self && m_isRetired ? 0 : hashOf(host.value(), accountHash);
}

HostId QuotaMembers::best(const ClientAccountId &account, const HostId &excluded,
                          bool ownZoneOnly) const
{
    const std::uint64_t accountHash = hashOf(account.value());
    const HostId *bestHost = &m_self;
    std::uint64_t bestScore = excluded == m_self ? 0 : score(m_self, accountHash);
    for (const auto &[host, member] : m_members) {
        if (!member.isReachable || host == excluded || host == m_self
            || (ownZoneOnly && member.zone != m_zone))
            continue;
        const std::uint64_t hostScore = score(host, accountHash);
        if (hostScore > bestScore) {
            bestHost = &host;
            bestScore = hostScore;
        }
    }
    return *bestHost;
}

const HostId &QuotaMembers::ownerOf(const ClientAccountId &account) const
{
    const auto [it, isNew] = m_owners.try_emplace(account);
    if (isNew)
        it->second = best(account, HostId(), false);
    return it->second;
}

HostId QuotaMembers::standInFor(const ClientAccountId &account, const HostId &silent) const
{
    return best(account, silent, true);
}

double QuotaMembers::reachableShare() const
{
    return m_reachableCount / static_cast<double>(m_members.size());
}

double QuotaMembers::zoneShare() const
{
    return m_zoneCount / static_cast<double>(m_members.size());
}

} // namespace godwitlift
