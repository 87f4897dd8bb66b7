/// \file
/// Merging and eviction of drain records.
#include "godwitlift/traffic/DrainRecords.h"

#include <algorithm>

namespace godwitlift {

void DrainRecords::add(const DrainRecord &record)
{
    DrainRecord merged = record;
    const auto it = std::find_if(m_records.begin(), m_records.end(), [&](const DrainRecord &known) {
        return known.server == record.server;
    });
    if (it != m_records.end()) {
        merged.startedUpToUnixMs = std::max(it->startedUpToUnixMs, record.startedUpToUnixMs);
        m_records.erase(it);
    }
    if (m_records.size() >= Limit)
        m_records.erase(m_records.begin());
    m_records.push_back(std::move(merged));
}

const DrainRecord *DrainRecords::find(const BackendServerId &server) const
{
    const auto it =
            std::find_if(m_records.begin(), m_records.end(),
                         [&](const DrainRecord &record) { return record.server == server; });
    return it == m_records.end() ? nullptr : &*it;
}

bool DrainRecords::covers(const BackendServerId &server, std::int64_t startedUnixMs) const
{
    const DrainRecord *record = find(server);
    return record != nullptr && startedUnixMs <= record->startedUpToUnixMs;
}

} // namespace godwitlift
