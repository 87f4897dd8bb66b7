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

/// All settings of one node, checked.
struct MeshSettings
{
    HostId host;
    ZoneId zone;
    ServiceId service; ///< Of the backend server on this host.
    Address backendServer;
    Address clients; ///< Where clients and the backend server send their requests.
    Address readiness;
    Address announcements;
    Address peers;
    Address advertisedPeers; ///< Where other nodes reach `peers`; the same unless an address is
                             ///< translated on the way.
    Address metrics;
    Address store;
    std::size_t descriptorLimit = 1024;
    std::uint32_t linkMbps = 0;          ///< Bandwidth of the host's link; 0 is unknown.
    absl::Duration announcementInterval; ///< Between two announcements of a backend server.
    absl::Duration stopTimeout;          ///< From SIGTERM until the process is killed.
    RetryBudgetRule retryRule;

    friend bool operator==(const MeshSettings &, const MeshSettings &) = default;
};

/// Reads JSON; fails with every fault and its path.
Result<MeshSettings> decodeMeshSettings(std::string_view text);

} // namespace godwitlift
