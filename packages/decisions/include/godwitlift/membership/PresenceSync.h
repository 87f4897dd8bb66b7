/// \file
/// Synchronizes the host directory with peers and maintains the node's own record.
#pragma once

#include "godwitlift/distribution/PeerMessages.h"
#include "godwitlift/membership/HostDirectory.h"
#include "godwitlift/membership/LocalBackendServers.h"
#include "godwitlift/node/NodeIdentity.h"

#include <map>
#include <optional>
#include <vector>

namespace godwitlift {

/// Owns the host directory and the node's own record. Not thread-safe.
///
/// Invariant: the node's record in the directory is the last one that it issued itself. A record of
/// this host with a higher stamp is refuted by a new one with a higher sequence or incarnation.
class PresenceSync final
{
public:
    /// Largest number of records in one message.
    static constexpr std::size_t MaxRecordsPerMessage = 500;

    PresenceSync(NodeIdentity identity, absl::Time now);

    const HostDirectory &directory() const { return m_directory; }
    const HostRecord &ownRecord() const { return *m_directory.find(m_identity.host); }
    LocalBackendServers &backendServers() { return m_backendServers; }
    HostState state() const { return m_state; }

    /// Issues the node's own record with the next sequence; returns the record.
    HostRecord reissueOwnRecord(absl::Time now);
    HostRecord setState(HostState state, absl::Time now);

    /// Merges records from a peer; returns those that are new to this node and must be
    /// disseminated.
    std::vector<HostRecord> merge(const std::vector<HostRecord> &records, absl::Time now);

    /// Records a peer's directory digest; true if the digests keep differing, so that changes in
    /// flight do not explain the difference.
    bool recordPeerDigest(std::uint64_t digest, absl::Time now);
    /// Anti-entropy: messages that reconcile the directory with the peer that sent \p offer.
    std::vector<PeerMessage> replyToZoneDigests(const ZoneDigestsOffer &offer) const;
    std::vector<PeerMessage> replyToStamps(const StampsOffer &offer) const;

    void removeExpiredTombstones(absl::Time now) { m_directory.removeExpiredTombstones(now); }

private:
    HostRecord makeOwnRecord() const;

    NodeIdentity m_identity;
    HostDirectory m_directory;
    LocalBackendServers m_backendServers;
    HostState m_state = HostState::Serving;
    RecordStamp m_stamp;
    absl::Time m_lastChange;          ///< Time of the last change of the directory.
    int m_consecutiveDifferences = 0; ///< Consecutive digests from peers that differed.
};

/// Splits \p records into messages of bounded size.
std::vector<PeerMessage> makeRecordsOffers(const std::vector<HostRecord> &records);

} // namespace godwitlift
