/// \file
/// Messages between the control planes of nodes. Each is idempotent and may come late or doubled.
#pragma once

#include "godwitlift/configuration/ConfigurationHolder.h"
#include "godwitlift/membership/HostDirectory.h"
#include "godwitlift/publishing/PlatformPoller.h"

#include <absl/time/time.h>

#include <variant>
#include <vector>

namespace godwitlift {

/// A host that holds an older version than the newest, or refused one.
struct LaggingHost
{
    HostId host;
    Version held;
    Version refused;     ///< 0 if none.
    std::string problem; ///< Why it was refused; empty if none.

    friend bool operator==(const LaggingHost &, const LaggingHost &) = default;
};

/// Which versions the hosts of one zone hold, gathered up the tree.
struct ZoneReport
{
    ZoneId zone;
    std::uint32_t hosts = 0;          ///< Hosts counted below the reporter, itself included.
    Version lowest;                   ///< Lowest version held among them.
    std::uint32_t refusals = 0;       ///< Hosts with a refused version.
    std::vector<LaggingHost> lagging; ///< A bounded sample, furthest behind first.
    std::int64_t asOfUnixMs = 0;      ///< When the zone's root made it; the newest report is kept.

    friend bool operator==(const ZoneReport &, const ZoneReport &) = default;
};

/// Heartbeat of a follower to the host it follows, or a single comparison with any peer.
struct FollowRequest
{
    bool isFollower = false; ///< Whether the sender wants to be sent what is new.
    Version held;
    Version refused; ///< A version the sender will not take; 0 if none.
    std::uint64_t presenceDigest = 0;
    std::vector<ZoneReport> reports; ///< Of the sender's subtree; of all zones between roots.
};

/// Answer to a FollowRequest.
struct FollowAnswer
{
    bool isAdmitted = true; ///< False: come back after `retryAfter`.
    absl::Duration retryAfter;
    Version held;
    std::uint64_t presenceDigest = 0;
};

/// Steps that lead on from a version the receiver is believed to hold.
struct StepsOffer
{
    std::vector<DeltaStep> steps;
};

/// Asks for a whole configuration above a version.
struct SnapshotRequest
{
    Version above;
};

/// A whole configuration.
struct SnapshotOffer
{
    SnapshotContent snapshot;
};

/// Records of hosts that are new to the sender or asked for.
struct RecordsOffer
{
    std::vector<HostRecord> records;
};

/// Digests of all zones, sent when the digests of two nodes keep differing.
struct ZoneDigestsOffer
{
    std::vector<ZoneDigest> digests;
};

/// Stamps of one zone whose digest differs.
struct StampsOffer
{
    ZoneId zone;
    std::vector<StampedHost> stamps;
    bool wantsReturn = true; ///< Whether the receiver should answer with its own stamps.
};

/// Asks whether a host is alive. `target` is empty if the receiver is meant.
struct Probe
{
    std::uint64_t number = 0;
    HostId target;
    HostId origin; ///< The host that wants to know.
};

struct ProbeAnswer
{
    std::uint64_t number = 0;
};

/// Asks a root which versions the fleet holds.
struct StatusRequest
{
    std::uint64_t number = 0; ///< Chosen by the asking node.
};

struct StatusAnswer
{
    std::uint64_t number = 0;
    std::vector<ZoneReport> reports;
};

using PeerMessage = std::variant<FollowRequest, FollowAnswer, StepsOffer, SnapshotRequest,
                                 SnapshotOffer, RecordsOffer, ZoneDigestsOffer, StampsOffer, Probe,
                                 ProbeAnswer, StatusRequest, StatusAnswer>;

/// Stable name of the message's kind, for counters of bytes and messages.
std::string_view kindName(const PeerMessage &message);

} // namespace godwitlift
