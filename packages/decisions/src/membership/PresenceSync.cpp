/// \file
/// Own statements, merges and comparison with peers.
#include "godwitlift/membership/PresenceSync.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// Time without a change after which a differing digest is no change in flight.
constexpr absl::Duration SettlingTime = absl::Seconds(2);
/// Differing digests in a row that call for a comparison even while changes keep coming.
constexpr int DifferenceLimit = 5;

} // namespace

PresenceSync::PresenceSync(NodeIdentity identity, absl::Time now)
    : m_identity(std::move(identity))
{
    m_stamp.incarnation = m_identity.incarnation;
    restate(now);
}

HostRecord PresenceSync::ownRecord() const
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

HostRecord PresenceSync::restate(absl::Time now)
{
    m_stamp.sequence = m_stamp.sequence.next();
    m_directory.merge(ownRecord(), now);
    m_changed = now;
    return self();
}

HostRecord PresenceSync::changeState(HostState state, absl::Time now)
{
    m_state = state;
    return restate(now);
}

std::vector<HostRecord> PresenceSync::merge(const std::vector<HostRecord> &records, absl::Time now)
{
    std::vector<HostRecord> fresh;
    for (const HostRecord &record : records) {
        if (record.host != m_identity.host) {
            if (m_directory.merge(record, now)) {
                fresh.push_back(*m_directory.find(record.host));
                m_changed = now;
            }
            continue;
        }
        if (record.stamp <= m_stamp)
            continue;
        if (record.stamp.incarnation > m_stamp.incarnation) {
            // A former process on this host had a clock that ran ahead.
            m_stamp.incarnation = record.stamp.incarnation.next();
        } else {
            m_stamp.sequence = std::max(m_stamp.sequence, record.stamp.sequence);
        }
        fresh.push_back(restate(now));
    }
    return fresh;
}

bool PresenceSync::differsPersistently(std::uint64_t digest, absl::Time now)
{
    if (digest == m_directory.digest()) {
        m_differences = 0;
        return false;
    }
    ++m_differences;
    const bool alone = m_directory.records().size() == 1;
    if (!alone && now - m_changed < SettlingTime && m_differences < DifferenceLimit)
        return false;
    m_differences = 0;
    return true;
}

std::vector<PeerMessage> PresenceSync::compareDigests(const ZoneDigestsOffer &offer) const
{
    std::map<ZoneId, std::uint64_t> theirs;
    for (const ZoneDigest &entry : offer.digests)
        theirs[entry.zone] = entry.digest;
    std::vector<PeerMessage> answers;
    std::vector<HostRecord> unknownThere;
    for (const ZoneDigest &own : m_directory.zoneDigests()) {
        const auto it = theirs.find(own.zone);
        if (it == theirs.end()) {
            const StampComparison all = m_directory.compare(own.zone, {});
            unknownThere.insert(unknownThere.end(), all.newerHere.begin(), all.newerHere.end());
        } else if (it->second != own.digest) {
            answers.emplace_back(StampsOffer{ own.zone, m_directory.stamps(own.zone), true });
        }
        if (it != theirs.end())
            theirs.erase(it);
    }
    for (const auto &entry : theirs) // Zones unknown here: ask by offering no stamps.
        answers.emplace_back(StampsOffer{ entry.first, {}, true });
    for (PeerMessage &message : recordOffers(unknownThere))
        answers.push_back(std::move(message));
    return answers;
}

std::vector<PeerMessage> PresenceSync::compareStamps(const StampsOffer &offer) const
{
    const StampComparison comparison = m_directory.compare(offer.zone, offer.stamps);
    std::vector<PeerMessage> answers = recordOffers(comparison.newerHere);
    if (comparison.olderHere && offer.expectsReply)
        answers.emplace_back(StampsOffer{ offer.zone, m_directory.stamps(offer.zone), false });
    return answers;
}

std::vector<PeerMessage> recordOffers(const std::vector<HostRecord> &records)
{
    std::vector<PeerMessage> offers;
    for (std::size_t i = 0; i < records.size(); i += PresenceSync::RecordsPerMessage) {
        const std::size_t end = std::min(records.size(), i + PresenceSync::RecordsPerMessage);
        offers.emplace_back(RecordsOffer{ { records.begin() + static_cast<std::ptrdiff_t>(i),
                                            records.begin() + static_cast<std::ptrdiff_t>(end) } });
    }
    return offers;
}

} // namespace godwitlift
