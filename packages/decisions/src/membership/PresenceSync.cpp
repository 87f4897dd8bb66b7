/// \file
/// The node's own record, merging and anti-entropy with peers.
#include "godwitlift/membership/PresenceSync.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// Longer than a change takes to propagate: once a directory has been unchanged for this time,
/// changes in flight no longer explain a differing digest.
constexpr absl::Duration ChangePropagationTime = absl::Seconds(2);
/// Number of consecutive differing digests that start a reconciliation even while changes keep
/// coming.
constexpr int MaxConsecutiveDifferences = 5;

} // namespace

PresenceSync::PresenceSync(NodeIdentity identity, absl::Time now)
    : m_identity(std::move(identity))
{
    m_stamp.incarnation = m_identity.incarnation;
    reissueOwnRecord(now);
}

HostRecord PresenceSync::makeOwnRecord() const
{
    HostRecord record;
    record.host = m_identity.host;
    record.zone = m_identity.zone;
    record.region = m_identity.region;
    record.address = m_identity.address;
    record.stamp = m_stamp;
    record.state = m_state;
    record.backendServers = m_backendServers.list();
    return record;
}

HostRecord PresenceSync::reissueOwnRecord(absl::Time now)
{
    m_stamp.sequence = m_stamp.sequence.next();
    m_directory.merge(makeOwnRecord(), now);
    m_lastChange = now;
    return ownRecord();
}

HostRecord PresenceSync::setState(HostState state, absl::Time now)
{
    m_state = state;
    return reissueOwnRecord(now);
}

std::vector<HostRecord> PresenceSync::merge(const std::vector<HostRecord> &records, absl::Time now)
{
    std::vector<HostRecord> newRecords;
    for (const HostRecord &record : records) {
        if (record.host != m_identity.host) {
            if (m_directory.merge(record, now)) {
                newRecords.push_back(*m_directory.find(record.host));
                m_lastChange = now;
            }
            continue;
        }
        if (record.stamp <= m_stamp)
            continue;
        if (record.stamp.incarnation > m_stamp.incarnation) {
            // The clock of an earlier process on this host was ahead.
            m_stamp.incarnation = record.stamp.incarnation.next();
        } else {
            m_stamp.sequence = std::max(m_stamp.sequence, record.stamp.sequence);
        }
        newRecords.push_back(reissueOwnRecord(now));
    }
    return newRecords;
}

bool PresenceSync::recordPeerDigest(std::uint64_t digest, absl::Time now)
{
    if (digest == m_directory.digest()) {
        m_consecutiveDifferences = 0;
        return false;
    }
    ++m_consecutiveDifferences;
    const bool knowsOnlyItself = m_directory.records().size() == 1;
    if (!knowsOnlyItself && now - m_lastChange < ChangePropagationTime
        && m_consecutiveDifferences < MaxConsecutiveDifferences)
        return false;
    m_consecutiveDifferences = 0;
    return true;
}

std::vector<PeerMessage> PresenceSync::replyToZoneDigests(const ZoneDigestsOffer &offer) const
{
    std::map<ZoneId, std::uint64_t> peerDigests;
    for (const ZoneDigest &entry : offer.digests)
        peerDigests[entry.zone] = entry.digest;
    std::vector<PeerMessage> replies;
    std::vector<HostRecord> unknownToPeer;
    for (const ZoneDigest &own : m_directory.zoneDigests()) {
        const auto it = peerDigests.find(own.zone);
        if (it == peerDigests.end()) {
            const StampComparison all = m_directory.compare(own.zone, {});
            unknownToPeer.insert(unknownToPeer.end(), all.newerLocalRecords.begin(),
                                 all.newerLocalRecords.end());
        } else if (it->second != own.digest) {
            replies.emplace_back(StampsOffer{ own.zone, m_directory.stamps(own.zone), true });
        }
        if (it != peerDigests.end())
            peerDigests.erase(it);
    }
    for (const auto &entry : peerDigests) // Request the zones unknown here by offering no stamps.
        replies.emplace_back(StampsOffer{ entry.first, {}, true });
    for (PeerMessage &message : makeRecordsOffers(unknownToPeer))
        replies.push_back(std::move(message));
    return replies;
}

std::vector<PeerMessage> PresenceSync::replyToStamps(const StampsOffer &offer) const
{
    const StampComparison comparison = m_directory.compare(offer.zone, offer.stamps);
    std::vector<PeerMessage> replies = makeRecordsOffers(comparison.newerLocalRecords);
    if (comparison.hasNewerRemote && offer.expectsReply)
        replies.emplace_back(StampsOffer{ offer.zone, m_directory.stamps(offer.zone), false });
    return replies;
}

std::vector<PeerMessage> makeRecordsOffers(const std::vector<HostRecord> &records)
{
    std::vector<PeerMessage> offers;
    for (std::size_t i = 0; i < records.size(); i += PresenceSync::MaxRecordsPerMessage) {
        const std::size_t end = std::min(records.size(), i + PresenceSync::MaxRecordsPerMessage);
        offers.emplace_back(RecordsOffer{ { records.begin() + static_cast<std::ptrdiff_t>(i),
                                            records.begin() + static_cast<std::ptrdiff_t>(end) } });
    }
    return offers;
}

} // namespace godwitlift
