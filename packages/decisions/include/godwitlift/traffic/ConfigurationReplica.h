/// \file
/// A node's replica of the configuration, and the changes that bring another replica up to date.
#pragma once

#include "godwitlift/traffic/ChangeLog.h"
#include "godwitlift/traffic/RouteCatalogue.h"

#include <memory>
#include <vector>

namespace godwitlift {

/// The difference between two versions, or a snapshot of one.
struct ConfigurationChanges
{
    Version base;             ///< Version that the changes apply to; 0 for a snapshot.
    Version version;          ///< Version after the changes.
    std::uint64_t digest = 0; ///< Of the content of `version`.
    std::vector<SharedRoute> routes;
    std::vector<RouteId> removed;
    std::vector<TrafficService> services; ///< Always the full set, since there are few.
    std::vector<SharedAccount> accounts;
    std::vector<ClientAccountId> removedAccounts;
    /// False if the sender knows no accounts: it may have left out those of the version.
    bool statesAccounts = true;
    ClientLimits limits;

    bool isSnapshot() const { return base == Version(); }
};

/// Outcome of applying changes or a snapshot.
enum class ApplyResult : std::uint8_t {
    Applied,
    Stale,    ///< Not newer than the current version.
    Gap,      ///< The base is newer than the current version.
    Mismatch, ///< The digest of the result differs; nothing was changed.
    Partial   ///< The sender does not state accounts; nothing was changed.
};

/// Holds the newest version. Not thread-safe.
///
/// For each route and account the replica keeps the version in which it saw the last change, and
/// for each of the latest removals a tombstone. From these it computes the changes since any older
/// version, even if the requester or this node skipped versions in between; a requester whose
/// version is older than the oldest tombstone gets a snapshot. The changes can miss only a route or
/// account that was added and removed between two versions of this node while the requester had it;
/// the digest then differs, and the requester asks for a snapshot.
///
/// Invariants: only a higher version is installed, as a whole, and after its digest was checked.
class ConfigurationReplica final
{
public:
    ApplyResult applySnapshot(const std::shared_ptr<const RouteCatalogue> &catalogue);
    ApplyResult applyChanges(const ConfigurationChanges &changes);
    /// The changes after \p version, or a snapshot if tombstones since then were discarded.
    ConfigurationChanges changesSince(Version version) const;

    /// Null until the first version is installed.
    const std::shared_ptr<const RouteCatalogue> &current() const { return m_current; }
    Version version() const { return m_current == nullptr ? Version() : m_current->version(); }

private:
    void install(std::shared_ptr<const RouteCatalogue> next);

    std::shared_ptr<const RouteCatalogue> m_current;
    ChangeLog<RouteId, TrafficRoute> m_routeChanges;
    ChangeLog<ClientAccountId, ClientAccount> m_accountChanges;
};

} // namespace godwitlift
