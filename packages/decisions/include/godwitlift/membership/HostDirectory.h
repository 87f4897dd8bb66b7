/// \file
/// All hosts of the mesh as known to one node.
#pragma once

#include "godwitlift/membership/HostRecord.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <map>
#include <optional>
#include <vector>

namespace godwitlift {

/// The stamp that a node holds for one host, exchanged to find differing records.
struct StampedHost
{
    HostId host;
    RecordStamp stamp;

    friend bool operator==(const StampedHost &, const StampedHost &) = default;
};

/// Digest of all records of one zone.
struct ZoneDigest
{
    ZoneId zone;
    std::uint64_t digest = 0;

    friend bool operator==(const ZoneDigest &, const ZoneDigest &) = default;
};

/// Difference between the local records of a zone and the stamps of a peer.
struct StampComparison
{
    std::vector<HostRecord> newerLocalRecords;
    bool hasNewerRemote = false; ///< The peer holds newer or additional records.
};

/// Records of hosts, merged by stamp. Not thread-safe.
///
/// Invariants: a host's stamp never decreases; a dead or departed host is kept as a tombstone
/// without backend servers until TombstoneRetention has passed, so that no delayed message revives
/// it; the digest of each zone always matches its records.
class HostDirectory final
{
public:
    /// Far longer than the delay of any message, which is seconds at most.
    static constexpr absl::Duration TombstoneRetention = absl::Hours(24);

    /// Replaces the stored record if the stamp of \p record is higher; true if anything changed.
    bool merge(HostRecord record, absl::Time now);
    const HostRecord *find(const HostId &host) const;
    const std::map<HostId, HostRecord> &records() const { return m_records; }

    /// Members of \p zone in host order.
    std::vector<const HostRecord *> members(const ZoneId &zone) const;
    /// Zones that have at least one member, in zone order.
    std::vector<ZoneId> zones() const;
    std::size_t memberCount(const ZoneId &zone) const;

    /// Digest of all records; maintained incrementally by merge().
    std::uint64_t digest() const;
    std::vector<ZoneDigest> zoneDigests() const;
    std::vector<StampedHost> stamps(const ZoneId &zone) const;
    /// Compares the stamps that a peer holds for \p zone with the local records.
    StampComparison compare(const ZoneId &zone, const std::vector<StampedHost> &remoteStamps) const;

    /// Removes dead and departed hosts after TombstoneRetention.
    void removeExpiredTombstones(absl::Time now);

private:
    struct Zone
    {
        std::uint64_t digest = 0;
        std::map<HostId, const HostRecord *> hosts; ///< Points into m_records.
        std::size_t memberCount = 0;
    };

    void addToZone(const HostRecord &record);
    void removeFromZone(const HostRecord &record);

    std::map<HostId, HostRecord> m_records;
    std::map<ZoneId, Zone> m_zones;
    std::map<HostId, absl::Time> m_tombstones; ///< When a host became known as dead or departed.
};

} // namespace godwitlift
