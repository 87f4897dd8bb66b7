/// \file
/// Merging of host records and zone digests.
#include "godwitlift/membership/HostDirectory.h"

#include "godwitlift/base/Hashing.h"

#include <algorithm>

namespace godwitlift {

std::uint64_t stampHash(const HostRecord &record)
{
    const std::uint64_t host = hashOf(record.host.value());
    const std::uint64_t values[] = { record.stamp.incarnation.value(),
                                     record.stamp.sequence.value(),
                                     static_cast<std::uint64_t>(record.stamp.liveness) };
    return hashOf({ reinterpret_cast<const char *>(values), sizeof(values) }, host);
}

void HostDirectory::addToZone(const HostRecord &record)
{
    Zone &zone = m_zones[record.zone];
    zone.digest ^= stampHash(record);
    zone.hosts[record.host] = &record;
    zone.memberCount += record.isMember() ? 1 : 0;
}

void HostDirectory::removeFromZone(const HostRecord &record)
{
    const auto it = m_zones.find(record.zone);
    it->second.digest ^= stampHash(record);
    it->second.hosts.erase(record.host);
    it->second.memberCount -= record.isMember() ? 1 : 0;
    if (it->second.hosts.empty())
        m_zones.erase(it);
}

bool HostDirectory::merge(HostRecord record, absl::Time now)
{
    if (!record.isMember())
        record.backendServers.clear();
    const auto it = m_records.find(record.host);
    if (it != m_records.end()) {
        if (record.stamp <= it->second.stamp)
            return false;
        removeFromZone(it->second);
    }
    if (record.isMember())
        m_tombstones.erase(record.host);
    else
        m_tombstones.insert_or_assign(record.host, now);
    HostRecord &stored = m_records[record.host];
    stored = std::move(record);
    addToZone(stored);
    return true;
}

const HostRecord *HostDirectory::find(const HostId &host) const
{
    const auto it = m_records.find(host);
    return it == m_records.end() ? nullptr : &it->second;
}

std::vector<const HostRecord *> HostDirectory::members(const ZoneId &zone) const
{
    std::vector<const HostRecord *> found;
    const auto it = m_zones.find(zone);
    if (it == m_zones.end())
        return found;
    for (const auto &entry : it->second.hosts) {
        if (entry.second->isMember())
            found.push_back(entry.second);
    }
    return found;
}

std::vector<ZoneId> HostDirectory::zones() const
{
    std::vector<ZoneId> found;
    for (const auto &[id, zone] : m_zones) {
        if (zone.memberCount > 0)
            found.push_back(id);
    }
    return found;
}

std::size_t HostDirectory::memberCount(const ZoneId &zone) const
{
    const auto it = m_zones.find(zone);
    return it == m_zones.end() ? 0 : it->second.memberCount;
}

std::uint64_t HostDirectory::digest() const
{
    std::uint64_t all = 0;
    for (const auto &entry : m_zones)
        all ^= entry.second.digest;
    return all;
}

std::vector<ZoneDigest> HostDirectory::zoneDigests() const
{
    std::vector<ZoneDigest> digests;
    digests.reserve(m_zones.size());
    for (const auto &[id, zone] : m_zones)
        digests.push_back({ id, zone.digest });
    return digests;
}

std::vector<StampedHost> HostDirectory::stamps(const ZoneId &zone) const
{
    std::vector<StampedHost> stampedHosts;
    const auto it = m_zones.find(zone);
    if (it == m_zones.end())
        return stampedHosts;
    stampedHosts.reserve(it->second.hosts.size());
    for (const auto &[host, record] : it->second.hosts)
        stampedHosts.push_back({ host, record->stamp });
    return stampedHosts;
}

StampComparison HostDirectory::compare(const ZoneId &zone,
                                       const std::vector<StampedHost> &remoteStamps) const
{
    StampComparison comparison;
    absl::flat_hash_map<HostId, RecordStamp> remoteByHost;
    for (const StampedHost &entry : remoteStamps) {
        remoteByHost.emplace(entry.host, entry.stamp);
        const HostRecord *local = find(entry.host);
        if (local == nullptr || local->stamp < entry.stamp)
            comparison.hasNewerRemote = true;
    }
    const auto it = m_zones.find(zone);
    if (it == m_zones.end())
        return comparison;
    for (const auto &[host, record] : it->second.hosts) {
        const auto remote = remoteByHost.find(host);
        if (remote == remoteByHost.end() || remote->second < record->stamp)
            comparison.newerLocalRecords.push_back(*record);
    }
    return comparison;
}

void HostDirectory::removeExpiredTombstones(absl::Time now)
{
    for (auto it = m_tombstones.begin(); it != m_tombstones.end();) {
        if (now - it->second < TombstoneRetention) {
            ++it;
            continue;
        }
        const auto record = m_records.find(it->first);
        removeFromZone(record->second);
        m_records.erase(record);
        it = m_tombstones.erase(it);
    }
}

} // namespace godwitlift
