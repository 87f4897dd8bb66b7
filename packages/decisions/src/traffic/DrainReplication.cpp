/// \file
/// Counts the copies of drain records and the sources of a recall.
#include "godwitlift/traffic/DrainReplication.h"

#include <algorithm>
#include <iterator>

namespace godwitlift {

std::string_view name(DrainCopy copy)
{
    switch (copy) {
    case DrainCopy::None:
        return "none";
    case DrainCopy::Store:
        return "store";
    case DrainCopy::Peers:
        return "peers";
    }
    return "unknown";
}

void DrainReplication::onStoreConfirmed(const DrainRecord &record)
{
    m_storeRecords.add(record);
}

void DrainReplication::onPeerConfirmed(const HostId &peer, const DrainRecord &record)
{
    m_peerRecords[peer].add(record);
}

DrainCopy DrainReplication::copyOf(const DrainRecord &record) const
{
    if (m_storeRecords.covers(record.server, record.startedUpToUnixMs))
        return DrainCopy::Store;
    const auto peerCount = static_cast<std::size_t>(
            std::count_if(m_peerRecords.begin(), m_peerRecords.end(), [&](const auto &entry) {
                return entry.second.covers(record.server, record.startedUpToUnixMs);
            }));
    return peerCount >= RequiredPeers ? DrainCopy::Peers : DrainCopy::None;
}

std::vector<DrainRecord> DrainReplication::missingInStore(const DrainRecords &records) const
{
    std::vector<DrainRecord> missing;
    std::copy_if(records.list().begin(), records.list().end(), std::back_inserter(missing),
                 [this](const DrainRecord &record) {
                     return !m_storeRecords.covers(record.server, record.startedUpToUnixMs);
                 });
    return missing;
}

} // namespace godwitlift
