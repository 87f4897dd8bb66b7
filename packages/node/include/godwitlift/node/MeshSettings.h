/// \file
/// Settings of a mesh node.
#pragma once

#include "godwitlift/base/Failure.h"
#include "godwitlift/base/StrongId.h"
#include "godwitlift/traffic/WindowedRetryBudget.h"

#include <absl/time/time.h>

#include <string>
#include <string_view>

namespace godwitlift {

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
    std::uint32_t linkMbps = 0;          ///< Bandwidth of the host's link; 0 is unknown.
    absl::Duration announcementInterval; ///< Between two announcements of the backend server.
    /// From the store's acknowledgement of a version until it must be in force.
    absl::Duration configurationApplyLimit = absl::Seconds(2);
    absl::Duration stopTimeout; ///< From SIGTERM until the process is killed.
    RetryBudgetRule retryRule;

    friend bool operator==(const MeshSettings &, const MeshSettings &) = default;
};

/// Parses JSON; the error lists every fault with its path.
Result<MeshSettings> decodeMeshSettings(std::string_view text);

} // namespace godwitlift
