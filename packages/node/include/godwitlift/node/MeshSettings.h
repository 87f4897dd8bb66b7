/// \file
/// Settings of a mesh node.
#pragma once

#include "godwitlift/base/Failure.h"
#include "godwitlift/base/StrongId.h"
#include "godwitlift/quota/QuotaTypes.h"
#include "godwitlift/rollout/Rollout.h"
#include "godwitlift/traffic/WindowedRetryBudget.h"

#include <absl/time/time.h>

#include <string>
#include <string_view>

namespace godwitlift {

/// When keys that a configuration no longer holds must be refused.
struct RevocationBounds
{
    /// Holds for all hosts, also for those that cannot reach the store or any other host.
    bool isStrict = false;
    /// From the store's acknowledgement of a version until no key that it removed is accepted.
    absl::Duration limit = absl::InfiniteDuration();

    friend bool operator==(const RevocationBounds &, const RevocationBounds &) = default;
};

/// Validated settings of one node.
struct MeshSettings
{
    HostId host;
    ZoneId zone;
    ServiceId service; ///< Of the backend server on this host.
    Address backendServerAddress;
    Address clientAddress; ///< Receives the requests of clients and of the backend server.
    Address readinessAddress;
    Address announcementAddress;
    Address peerAddress;
    Address advertisedPeerAddress; ///< Where other nodes reach peerAddress; differs only behind
                                   ///< NAT.
    Address metricsAddress;
    Address storeAddress;
    bool isFirstStart = false; ///< The whole system starts for the first time.
    std::size_t descriptorLimit = 1024;
    std::size_t memoryBytes = 160'000'000; ///< That the process may occupy.
    std::uint32_t linkMbps = 0;            ///< Bandwidth of the host's link; 0 is unknown.
    absl::Duration announcementInterval;   ///< Between two announcements of the backend server.
    /// From the store's acknowledgement of a version until it must be in force.
    absl::Duration configurationApplyLimit = absl::Seconds(2);
    absl::Duration stopTimeout; ///< From SIGTERM until the process is killed.
    RetryBudgetRule retryRule;
    RevocationBounds revocation;
    QuotaBounds quota;
    RolloutBounds rollout;

    friend bool operator==(const MeshSettings &, const MeshSettings &) = default;
};

/// Parses JSON; the error lists every fault with its path.
Result<MeshSettings> decodeMeshSettings(std::string_view text);

} // namespace godwitlift
