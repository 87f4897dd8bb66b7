/// \file
/// Keeps the directory in step with peers and speaks for the own host.
#pragma once

#include "godwitlift/distribution/PeerMessages.h"
#include "godwitlift/membership/HostDirectory.h"
#include "godwitlift/membership/LocalBackendServers.h"
#include "godwitlift/node/NodeIdentity.h"

#include <map>
#include <optional>
#include <vector>

namespace godwitlift {

/// Owns the directory and the own host's record. Not thread-safe.
///
/// Invariant: the own record in the directory is the last one made here; a statement about this
/// host that claims more than that is refuted with a higher sequence.
class PresenceSync final
{
public:
    /// Records in one message.
    static constexpr std::size_t RecordsPerMessage = 500;

    PresenceSync(NodeIdentity identity, absl::Time now);

    const HostDirectory &directory() const { return m_directory; }
    const HostRecord &self() const { return *m_directory.find(m_identity.host); }
    LocalBackendServers &backendServers() { return m_backendServers; }
    HostState state() const { return m_state; }

    /// States the own host anew after something about it changed; returns the new record.
    HostRecord restate(absl::Time now);
    HostRecord changeState(HostState state, absl::Time now);

    /// Merges records from a peer; returns those that are new here and must be spread.
    std::vector<HostRecord> merge(const std::vector<HostRecord> &records, absl::Time now);

    /// Notes a peer's digest; true if it differs and not merely because of changes in flight.
    bool differsPersistently(std::uint64_t digest, absl::Time now);
    /// Answers to a comparison of digests and of stamps.
    std::vector<PeerMessage> compareDigests(const ZoneDigestsOffer &offer) const;
    std::vector<PeerMessage> compareStamps(const StampsOffer &offer) const;

    void expire(absl::Time now) { m_directory.expire(now); }

private:
    HostRecord ownRecord() const;

    NodeIdentity m_identity;
    HostDirectory m_directory;
    LocalBackendServers m_backendServers;
    HostState m_state = HostState::Serving;
    RecordStamp m_stamp;
    absl::Time m_changed;  ///< Time of the last change of the directory.
    int m_differences = 0; ///< Consecutive differing digests heard from peers.
};

/// Splits \p records into messages of bounded size.
std::vector<PeerMessage> recordOffers(const std::vector<HostRecord> &records);

} // namespace godwitlift
