/// \file
/// Drains that were promised to backend servers of one host.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <cstdint>
#include <vector>

namespace godwitlift {

/// Promise that processes of a backend server get no more requests: those with the id \c server
/// that started no later than \c startedUpToUnixMs, in Unix milliseconds.
struct DrainRecord
{
    BackendServerId server;
    std::int64_t startedUpToUnixMs = 0;

    bool operator==(const DrainRecord &) const = default;
};

/// Keeps the latest drain records of one host. Not thread-safe.
///
/// Invariants: one record per id, whose start time never decreases; at most Limit records, of which
/// the least recently added one is evicted.
class DrainRecords final
{
public:
    /// A host runs one backend server at a time, and messages about an earlier one arrive within
    /// seconds of its end.
    static constexpr std::size_t Limit = 16;

    /// Adds \p record or extends the one of its id.
    void add(const DrainRecord &record);
    /// Whether the process \p server was drained. A start time of 0 is unknown and is covered by
    /// every record of the id.
    bool covers(const BackendServerId &server, std::int64_t startedUnixMs) const;
    /// Most recently added last.
    const std::vector<DrainRecord> &list() const { return m_records; }
    /// The record of \p server, or null.
    const DrainRecord *find(const BackendServerId &server) const;

private:
    std::vector<DrainRecord> m_records;
};

} // namespace godwitlift
