/// \file
/// Which copies of a host's drain records exist outside of its node, and whether an earlier process
/// of the node left any.
#pragma once

#include "godwitlift/traffic/DrainRecords.h"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace godwitlift {

/// Where a drain record is kept outside of the process that promised it.
enum class DrainCopy : std::uint8_t {
    None, ///< Neither the store nor enough peers have confirmed it.
    Store,
    Peers
};

/// Stable lower-case name for logs.
std::string_view name(DrainCopy copy);

/// Decides when a drain may be acknowledged and when a restarted node knows the drains of its host.
/// Not thread-safe.
///
/// A drain may be acknowledged when a node that starts on the same host a moment later can know it:
/// the store or RequiredPeers peers have the record. A restarted node knows the drains when it has
/// read them from the store, or has heard from RequiredPeers peers that were connected to an
/// earlier process of the node. A peer that has not met an earlier process has no records to
/// report.
class DrainReplication final
{
public:
    /// Two, so that the loss of one peer together with the node does not lose the record.
    static constexpr std::size_t RequiredPeers = 2;

    void onStoreConfirmed(const DrainRecord &record);
    /// The store has returned from a copy, which may lack any record.
    void onStoreReset() { m_storeRecords = DrainRecords(); }
    void onPeerConfirmed(const HostId &peer, const DrainRecord &record);
    /// Where \p record, or one of the same id that covers it, is kept.
    DrainCopy copyOf(const DrainRecord &record) const;
    /// The records of \p records that the store has not confirmed.
    std::vector<DrainRecord> missingInStore(const DrainRecords &records) const;

    void onStoreRead() { m_isStoreRead = true; }
    /// \p peer was connected to an earlier process of this node and has reported its records.
    void onPeerRecalled(const HostId &peer) { m_recallingPeers.insert(peer); }
    bool isRecallComplete() const
    {
        return m_isStoreRead || m_recallingPeers.size() >= RequiredPeers;
    }

private:
    DrainRecords m_storeRecords;
    std::map<HostId, DrainRecords> m_peerRecords;
    std::set<HostId> m_recallingPeers;
    bool m_isStoreRead = false;
};

} // namespace godwitlift
