/// \file
/// All hosts of the mesh as one node knows them.
#pragma once

#include "godwitlift/membership/HostRecord.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <map>
#include <optional>
#include <vector>

namespace godwitlift {

/// The stamp that one node holds of one host, exchanged to find differences.
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

/// Which records one side lacks and which the other side lacks.
struct StampComparison
{
    std::vector<HostRecord> newerHere;
    bool olderHere = false; ///< The other side holds something newer.
};

/// Records of hosts, merged by stamp. Not thread-safe.
///
/// Invariants: a host's stamp never falls; a dead or departed host is kept as a record without
/// backend servers until RetentionTime has passed, so that no late message brings it back; the
/// digest of each zone always matches its records.
class HostDirectory final
{
public:
    /// Time for which dead and departed hosts are remembered. Messages live for seconds.
    static constexpr absl::Duration RetentionTime = absl::Hours(24);

    /// Takes over \p record if its stamp is higher; true if anything changed.
    bool merge(HostRecord record, absl::Time now);
    const HostRecord *find(const HostId &host) const;
    const std::map<HostId, HostRecord> &records() const { return m_records; }

    /// Members of \p zone in host order.
    std::vector<const HostRecord *> members(const ZoneId &zone) const;
    /// Zones that have at least one member, in zone order.
    std::vector<ZoneId> zones() const;
    std::size_t memberCount(const ZoneId &zone) const;

    /// Digest of everything; cheap, kept up to date by merge().
    std::uint64_t digest() const;
    std::vector<ZoneDigest> zoneDigests() const;
    std::vector<StampedHost> stamps(const ZoneId &zone) const;
    /// Compares the stamps another node holds of \p zone with the records held here.
    StampComparison compare(const ZoneId &zone, const std::vector<StampedHost> &other) const;

    /// Forgets dead and departed hosts whose retention has passed.
    void expire(absl::Time now);

private:
    struct Zone
    {
        std::uint64_t digest = 0;
        std::map<HostId, const HostRecord *> hosts; ///< Points into m_records.
        std::size_t members = 0;
    };

    void enlist(const HostRecord &record);
    void delist(const HostRecord &record);

    std::map<HostId, HostRecord> m_records;
    std::map<ZoneId, Zone> m_zones;
    std::map<HostId, absl::Time> m_gone; ///< When a host was learnt to be dead or departed.
};

} // namespace godwitlift
