/// \file
/// Facade for the control-plane decisions of one node: timestamped inputs in, effects out.
#pragma once

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/distribution/Backoff.h"
#include "godwitlift/distribution/FleetReports.h"
#include "godwitlift/distribution/RelayTreeNode.h"
#include "godwitlift/membership/FailureDetector.h"
#include "godwitlift/membership/PresenceSync.h"
#include "godwitlift/node/ControlEffects.h"
#include "godwitlift/node/NodeIdentity.h"
#include "godwitlift/publishing/ConfigurationSync.h"

#include <map>
#include <memory>

namespace godwitlift {

/// Tunable parameters of the control plane.
struct ControlPolicy
{
    RelayTreePolicy relayTree;
    FailureDetectorPolicy detector;
    PublishingPolicy publishing;
    /// Longest wait for answers of peers and platform before the node becomes ready.
    absl::Duration joinTimeout = absl::Seconds(5);
    /// Time for peers to answer before the platform is polled.
    absl::Duration initialPollDelay = absl::Seconds(2);
    /// Time between version and digest exchanges with a random peer of the zone.
    absl::Duration antiEntropyPeriod = absl::Seconds(5);
    /// Time between such exchanges of a root with a root of another zone.
    absl::Duration rootAntiEntropyPeriod = absl::Seconds(1);
    absl::Duration statusTimeout = absl::Seconds(2);
    double snapshotBytesPerSecond = 2e6; ///< Rate limit for snapshots sent to peers.
    double snapshotBurstBytes = 8e6;
};

/// The sender of a message.
struct Peer
{
    HostId host;
    Address address;
};

/// Coordinates configuration, membership and distribution of one node.
///
/// Not thread-safe: the adapter calls it under its control lock and executes the effects after
/// releasing the lock. Call tick() about ten times per second. No input blocks. Inputs may arrive
/// out of order or more than once.
class ControlPlane final
{
public:
    /// \p random must outlive the control plane.
    static Result<std::unique_ptr<ControlPlane>> create(NodeIdentity identity, ControlPolicy policy,
                                                        absl::Time now, RandomSource &random);

    ControlEffects tick(absl::Time now);
    ControlEffects receive(const Peer &from, const PeerMessage &message, absl::Time now);
    ControlEffects onPlatformAnswer(const PlatformAnswer &answer, absl::Time now);
    ControlEffects announceBackendServer(const Announcement &announcement, absl::Time now);
    ControlEffects drainBackendServer(const BackendServerId &id, absl::Time now);
    /// Starts the shutdown of this node: drains its backend servers and makes peers stop following
    /// it.
    ControlEffects beginShutdown(absl::Time now);
    /// Announces that this node has left. Call immediately before the process exits.
    ControlEffects leave(absl::Time now);

    Result<Plan> plan(const ConfigurationDelta &delta) const;
    /// Plans to replace the current configuration by \p target, including removals.
    Result<Plan> planReplacement(const Configuration &target) const;
    ControlEffects confirm(OperatorRequestId request, Confirmation confirmation, absl::Time now);
    ControlEffects queryHistory(OperatorRequestId request, Version after, std::size_t limit,
                                absl::Time now);
    ControlEffects queryVersionContent(OperatorRequestId request, Version version, absl::Time now);
    ControlEffects queryStatus(OperatorRequestId request, absl::Time now);

    /// Whether the node has caught up with the newest known version after its start.
    bool isReady() const { return m_isReady; }
    const ConfigurationHolder &configuration() const { return m_configuration.holder(); }
    const HostDirectory &directory() const { return m_presence.directory(); }
    const RelayTreeNode &relayTreeNode() const { return m_relayTreeNode; }
    bool isIsolated() const { return m_detector.isIsolated(); }
    bool isPlatformReachable() const { return m_configuration.poller().isPlatformReachable(); }
    std::vector<BackendServer> ownBackendServers() const;

private:
    ControlPlane(NodeIdentity identity, ControlPolicy policy, absl::Time now, RandomSource &random);

    /// Handles one peer message; see receive().
    struct MessageHandler;

    void send(const HostId &to, PeerMessage message, ControlEffects &effects) const;
    /// Queues new records for flushPendingRecords(), which batches them into one message per
    /// neighbour.
    void queueForDissemination(const std::vector<HostRecord> &records, const HostId &from);
    void flushPendingRecords(ControlEffects &effects);
    void sendPendingRecords(const HostId &to, bool isOwnZoneOnly, ControlEffects &effects) const;
    /// The first reachable root of every other zone.
    std::vector<HostId> rootsOfOtherZones() const;
    void onConfigurationChange(const ConfigurationChange &change, Version previousVersion,
                               const Peer &from, absl::Time now, ControlEffects &effects);
    /// Sends the deltas from \p heldVersion to the current version, or a snapshot; nothing if the
    /// peer is up to date or has refused that version. If the snapshot rate limit is exceeded, sets
    /// the retry delay in \p answer unless that is null.
    void offerConfiguration(const Address &address, Version heldVersion, Version refusedVersion,
                            absl::Time now, ControlEffects &effects, FollowAnswer *answer);
    /// Sends a snapshot if the current version is higher than \p aboveVersion. Returns false if the
    /// rate limit is exceeded.
    bool offerSnapshot(const Address &address, Version aboveVersion, absl::Time now,
                       ControlEffects &effects);
    /// Tokens that sending one snapshot consumes.
    double snapshotTokenCost() const;
    FollowRequest makeFollowRequest(bool isFollower, absl::Time now) const;
    LaggingHost ownVersionStatus() const;
    void sendHeartbeat(absl::Time now, ControlEffects &effects);
    void runAntiEntropy(absl::Time now, ControlEffects &effects);
    void contactSeeds(absl::Time now, ControlEffects &effects);
    void runFailureDetector(absl::Time now, ControlEffects &effects);
    void pollPlatformIfRoot(absl::Time now, ControlEffects &effects);
    void updateReadiness(absl::Time now, ControlEffects &effects);
    void rebuildRoutingTableIfDirty(ControlEffects &effects);
    void onOwnRecordChange(const HostRecord &record);
    void expireStatusRequests(absl::Time now, ControlEffects &effects);
    bool isRoot() const { return m_relayTreeNode.level() == RelayLevel::Root; }
    std::vector<ZoneReport> zoneReports(absl::Time now) const;

    NodeIdentity m_identity;
    ControlPolicy m_policy;
    RandomSource &m_random;
    ConfigurationSync m_configuration;
    PresenceSync m_presence;
    FailureDetector m_detector;
    RelayTreeNode m_relayTreeNode;
    FleetReports m_fleetReports;
    TokenBucket m_snapshotBucket;
    Backoff m_seedBackoff;
    absl::Time m_startTime;
    absl::Time m_firstPollTime; ///< Until then, a root polls only if a peer has answered.
    absl::Time m_nextSeedContact = absl::InfinitePast();
    absl::Time m_nextAntiEntropy;
    absl::Time m_nextRootAntiEntropy;
    absl::Time m_nextRecordExpiry;
    bool m_hasPeerAnswered = false;
    bool m_isReady = false;
    bool m_routingTableDirty = true;
    /// A record to forward, and the host that sent it to this node.
    struct PendingRecord
    {
        HostRecord record;
        HostId from;
        bool isFromOwnZone = true;
    };
    std::map<HostId, PendingRecord> m_pendingRecords; ///< Newest per host; cleared by a flush.
    struct PendingStatusRequest
    {
        OperatorRequestId request;
        absl::Time sentAt;
    };
    std::map<std::uint64_t, PendingStatusRequest> m_pendingStatusRequests;
    std::uint64_t m_nextStatusNumber = 1;
};

} // namespace godwitlift
