/// \file
/// Messages between the control planes of nodes. Each is idempotent and may be delayed or
/// duplicated.
#pragma once

#include "godwitlift/configuration/ConfigurationHolder.h"
#include "godwitlift/membership/HostDirectory.h"
#include "godwitlift/publishing/PlatformPoller.h"

#include <absl/time/time.h>

#include <variant>
#include <vector>

namespace godwitlift {

/// A host that holds an older version than the newest one, or refused a version.
struct LaggingHost
{
    HostId host;
    Version heldVersion;
    Version refusedVersion; ///< 0 if none.
    std::string problem;    ///< Why the version was refused; empty if none was.

    friend bool operator==(const LaggingHost &, const LaggingHost &) = default;
};

/// Which versions the hosts of one zone hold, aggregated up the relay tree.
struct ZoneReport
{
    ZoneId zone;
    std::uint32_t hostCount = 0;           ///< Hosts in the reporter's subtree, itself included.
    Version lowestVersion;                 ///< Lowest version that any of them holds.
    std::uint32_t refusalCount = 0;        ///< Hosts that refused a version.
    std::vector<LaggingHost> laggingHosts; ///< A bounded sample; refusals, then lowest first.
    std::int64_t asOfUnixMs = 0; ///< When the zone's root made the report; the newest one is kept.

    friend bool operator==(const ZoneReport &, const ZoneReport &) = default;
};

/// Heartbeat of a follower to its parent, or a one-off anti-entropy exchange with any peer.
struct FollowRequest
{
    bool isFollower = false; ///< Whether the sender subscribes to updates.
    Version heldVersion;
    Version refusedVersion;           ///< A version that the sender refused; 0 if none.
    std::uint64_t presenceDigest = 0; ///< Digest of the sender's host directory.
    std::vector<ZoneReport> reports;  ///< Of the sender's subtree; of all zones between roots.
};

/// Answer to a FollowRequest.
struct FollowAnswer
{
    bool isAdmitted = true; ///< If false, the sender should retry after `retryAfter`.
    absl::Duration retryAfter;
    Version heldVersion;
    std::uint64_t presenceDigest = 0; ///< Digest of the sender's host directory.
};

/// Consecutive deltas from a version that the receiver is believed to hold.
struct StepsOffer
{
    std::vector<DeltaStep> steps;
};

/// Asks for a snapshot of a version above the given one.
struct SnapshotRequest
{
    Version aboveVersion;
};

/// A complete configuration.
struct SnapshotOffer
{
    SnapshotContent snapshot;
};

/// Host records that were updated or that the receiver lacks.
struct RecordsOffer
{
    std::vector<HostRecord> records;
};

/// Digests of all zones, sent when the directory digests of two nodes keep differing.
struct ZoneDigestsOffer
{
    std::vector<ZoneDigest> digests;
};

/// Stamps of all hosts of one zone, sent when the zone's digests on two nodes differ. Empty stamps
/// request all records of the zone.
struct StampsOffer
{
    ZoneId zone;
    std::vector<StampedHost> stamps;
    bool expectsReply = true; ///< Whether the receiver should answer with its own stamps.
};

/// Asks whether a host is alive. An empty `target` means the receiver itself.
struct Probe
{
    std::uint64_t number = 0;
    HostId target;
    HostId origin; ///< The probing host; receives the answer.
};

struct ProbeAnswer
{
    std::uint64_t number = 0;
};

/// Asks a root which versions the hosts of all zones hold.
struct StatusRequest
{
    std::uint64_t number = 0; ///< Chosen by the requesting node.
};

struct StatusAnswer
{
    std::uint64_t number = 0;
    std::vector<ZoneReport> reports;
};

using PeerMessage = std::variant<FollowRequest, FollowAnswer, StepsOffer, SnapshotRequest,
                                 SnapshotOffer, RecordsOffer, ZoneDigestsOffer, StampsOffer, Probe,
                                 ProbeAnswer, StatusRequest, StatusAnswer>;

/// Stable name of the message kind, for traffic counters.
std::string_view kindName(const PeerMessage &message);

} // namespace godwitlift
