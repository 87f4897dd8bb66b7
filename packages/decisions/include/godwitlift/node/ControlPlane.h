/// \file
/// All control decisions of one node behind one seam: inputs with their time in, effects out.
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

/// Every tunable of the control plane.
struct ControlPolicy
{
    RelayTreePolicy follow;
    FailureDetectorPolicy detector;
    PublishingPolicy publishing;
    absl::Duration joinTimeout = absl::Seconds(5);   ///< Time to ask for the newest version.
    absl::Duration joinQuiet = absl::Seconds(2);     ///< Peers are asked before the platform is.
    absl::Duration comparePeriod = absl::Seconds(5); ///< Between comparisons with random peers.
    absl::Duration rootPeriod = absl::Seconds(1);    ///< Between comparisons of roots across zones.
    absl::Duration statusTimeout = absl::Seconds(2);
    double snapshotBytesPerSecond = 2e6; ///< Snapshots that a node hands out.
    double snapshotBurstBytes = 8e6;
};

/// The sender of a message.
struct Peer
{
    HostId host;
    Address address;
};

/// Drives configuration, membership and distribution of one node.
///
/// Not thread-safe: the adapter calls it under its control lock and carries the effects out after
/// releasing it. Call tick() about ten times a second. No input blocks, and no input is required to
/// arrive in order or only once.
class ControlPlane final
{
public:
    /// \p random must outlive the control plane.
    static Result<std::unique_ptr<ControlPlane>> create(NodeIdentity identity, ControlPolicy policy,
                                                        absl::Time now, RandomSource &random);

    ControlEffects tick(absl::Time now);
    ControlEffects receive(const Peer &from, const PeerMessage &message, absl::Time now);
    ControlEffects platformAnswered(const PlatformAnswer &answer, absl::Time now);
    ControlEffects announce(const Announcement &announcement, absl::Time now);
    ControlEffects drainBackendServer(const BackendServerId &id, absl::Time now);
    /// Starts the node's own departure: its backend servers drain, peers stop following it.
    ControlEffects beginShutdown(absl::Time now);
    /// Last statement before the process ends.
    ControlEffects leave(absl::Time now);

    Result<Plan> plan(const ConfigurationDelta &delta) const;
    /// Plans \p target as the whole wanted state, deletions included.
    Result<Plan> planWhole(const Configuration &target) const;
    ControlEffects confirm(OperatorRequestId request, Confirmation confirmation, absl::Time now);
    ControlEffects history(OperatorRequestId request, Version after, std::size_t limit,
                           absl::Time now);
    ControlEffects versionContent(OperatorRequestId request, Version version, absl::Time now);
    ControlEffects status(OperatorRequestId request, absl::Time now);

    /// Whether the node has asked for the newest version and holds what it was told of.
    bool isReady() const { return m_ready; }
    const ConfigurationHolder &configuration() const { return m_configuration.holder(); }
    const HostDirectory &directory() const { return m_presence.directory(); }
    const RelayTreeNode &tree() const { return m_tree; }
    bool isDoubtingItself() const { return m_detector.isIsolated(); }
    bool isPlatformReachable() const { return m_configuration.poller().isPlatformReachable(); }
    std::vector<BackendServer> ownBackendServers() const;

private:
    ControlPlane(NodeIdentity identity, ControlPolicy policy, absl::Time now, RandomSource &random);

    /// Handles one kind of message; see receive().
    struct Receiver;

    void send(const HostId &to, PeerMessage message, ControlEffects &effects) const;
    /// Marks records that are new here for the next flush, which sends one message per neighbour
    /// however many there are.
    void spread(const std::vector<HostRecord> &records, const HostId &from);
    void flushSpreading(ControlEffects &effects);
    void offerRecords(const HostId &to, bool isOwnZoneOnly, ControlEffects &effects) const;
    /// First root of every other zone.
    std::vector<HostId> rootsOfOtherZones() const;
    void configurationChanged(const ConfigurationChange &change, Version before, const Peer &from,
                              absl::Time now, ControlEffects &effects);
    /// Sends what leads from \p held to the own version. \p answer, if given, is told when the
    /// peer should come back because too many snapshots are being handed out.
    void offerTo(const Address &address, Version held, Version refused, absl::Time now,
                 ControlEffects &effects, FollowAnswer *answer);
    /// Sends the whole configuration if it is above \p above; false if not admitted.
    bool offerSnapshot(const Address &address, Version above, absl::Time now,
                       ControlEffects &effects);
    /// Tokens that one snapshot takes from the bucket.
    double snapshotPrice() const;
    FollowRequest followRequest(bool isFollower, absl::Time now) const;
    LaggingHost ownLag() const;
    void heartbeat(absl::Time now, ControlEffects &effects);
    void compareWithOthers(absl::Time now, ControlEffects &effects);
    void contactSeeds(absl::Time now, ControlEffects &effects);
    void detect(absl::Time now, ControlEffects &effects);
    void maybePoll(absl::Time now, ControlEffects &effects);
    void updateReadiness(absl::Time now, ControlEffects &effects);
    void compileIfDirty(ControlEffects &effects);
    void ownStateChanged(const HostRecord &record);
    void expireStatusRequests(absl::Time now, ControlEffects &effects);
    bool isRoot() const { return m_tree.level() == RelayLevel::Root; }
    std::vector<ZoneReport> reports(absl::Time now) const;

    NodeIdentity m_identity;
    ControlPolicy m_policy;
    RandomSource &m_random;
    ConfigurationSync m_configuration;
    PresenceSync m_presence;
    FailureDetector m_detector;
    RelayTreeNode m_tree;
    FleetReports m_fleet;
    TokenBucket m_snapshotBytes;
    Backoff m_seedBackoff;
    absl::Time m_started;
    absl::Time m_pollFrom; ///< Before it, a node that is not yet placed leaves the platform alone.
    absl::Time m_nextSeeds = absl::InfinitePast();
    absl::Time m_nextCompare;
    absl::Time m_nextRootCompare;
    absl::Time m_nextExpiry;
    bool m_peerAnswered = false;
    bool m_ready = false;
    bool m_tableDirty = true;
    /// A record to be sent on, and who sent it here.
    struct SpreadingRecord
    {
        HostRecord record;
        HostId from;
        bool isFromOwnZone = true;
    };
    std::map<HostId, SpreadingRecord> m_spreading; ///< Newest record per host; emptied by a flush.
    struct PendingStatus
    {
        OperatorRequestId request;
        absl::Time sent;
    };
    std::map<std::uint64_t, PendingStatus> m_statusRequests;
    std::uint64_t m_nextStatus = 1;
};

} // namespace godwitlift
