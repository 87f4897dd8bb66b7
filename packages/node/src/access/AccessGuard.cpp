/// \file
/// Log lines of outdated knowledge, and questions to peers.
#include "access/AccessGuard.h"

namespace godwitlift {

namespace {

absl::Duration strictLimit(const RevocationBounds &bounds)
{
    return bounds.isStrict ? bounds.limit : absl::InfiniteDuration();
}

} // namespace

AccessGuard::AccessGuard(ConfigurationUpdater &updater, PeerMesh &mesh,
                         const RevocationBounds &bounds, RateLimitedLog &log)
    : m_updater(updater)
    , m_mesh(mesh)
    , m_log(log)
    , m_freshness(strictLimit(bounds))
{}

void AccessGuard::setBounds(const RevocationBounds &bounds)
{
    m_freshness.setLimit(strictLimit(bounds));
    m_mesh.setNeedsProofs(bounds.isStrict);
}

void AccessGuard::tick()
{
    const absl::Duration age = m_updater.timeSinceProved();
    if (m_freshness.shouldAsk(age, suspendAwareNow()))
        m_mesh.askForConfirmation();
    const bool isCurrent = m_freshness.isCurrent(age);
    if (isCurrent == m_wasCurrent)
        return;
    m_wasCurrent = isCurrent;
    m_log.write("access",
                LogLine(isCurrent ? "access-current" : "access-outdated")
                        .add("version", m_updater.version().value())
                        .add("proved_ms", age),
                steadyNow());
}

} // namespace godwitlift
