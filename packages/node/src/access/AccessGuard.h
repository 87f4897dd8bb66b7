/// \file
/// Tells whether this node may accept keys, and keeps its knowledge of them new.
#pragma once

#include "godwitlift/access/AccessFreshness.h"
#include "godwitlift/node/MeshSettings.h"
#include "peers/PeerMesh.h"
#include "report/RateLimitedLog.h"
#include "runtime/ConfigurationUpdater.h"

namespace godwitlift {

/// Asks AccessFreshness with the age of the version in force, and carries its questions to peers.
class AccessGuard final
{
public:
    AccessGuard(ConfigurationUpdater &updater, PeerMesh &mesh, const RevocationBounds &bounds,
                RateLimitedLog &log);

    void setBounds(const RevocationBounds &bounds);
    /// Reads the clock, since the host may have been suspended since the last event.
    bool isCurrent() const { return m_freshness.isCurrent(m_updater.timeSinceProved()); }
    /// Call it several times a second.
    void tick();

private:
    ConfigurationUpdater &m_updater;
    PeerMesh &m_mesh;
    RateLimitedLog &m_log;
    AccessFreshness m_freshness;
    bool m_wasCurrent = true; ///< As last logged.
};

} // namespace godwitlift
