/// \file
/// A node's copy of the configuration, and what another node needs to catch up with it.
#pragma once

#include "godwitlift/traffic/RouteCatalogue.h"

#include <map>
#include <memory>
#include <vector>

namespace godwitlift {

/// Everything that changed after one version, up to another one.
struct ConfigurationChanges
{
    Version base;             ///< Changes after this one; 0 if the changes are the whole content.
    Version version;          ///< The version that they lead to.
    std::uint64_t digest = 0; ///< Of that version.
    std::vector<SharedRoute> routes;
    std::vector<RouteId> removed;
    std::vector<TrafficService> services; ///< All of them; there are few.
    ClientLimits limits;

    bool isWhole() const { return base == Version(); }
};

/// What became of changes or a whole version.
enum class ReplicaResult : std::uint8_t {
    Applied,
    Stale,   ///< Not newer than what is held.
    Gap,     ///< They start after the version that is held.
    Mismatch ///< The outcome is not the version that they claim; nothing was changed.
};

/// Holds the newest version. Not thread-safe.
///
/// Each route carries the version in which it was last seen to change, each removal is kept for a
/// while. Changes for any older version are found by these marks, whatever versions in between the
/// asker or this node have skipped. They can miss only a route that came and went between two
/// versions of this node while the asker held it; the digest shows it, and the asker asks for the
/// whole content.
///
/// Invariants: only a higher version is taken; it is taken whole, after its digest was checked.
class ConfigurationReplica final
{
public:
    /// Removals that are remembered; who holds an older version than that gets the whole content.
    static constexpr std::size_t RemovalLimit = 256;

    ReplicaResult acceptWhole(const std::shared_ptr<const RouteCatalogue> &catalogue);
    ReplicaResult accept(const ConfigurationChanges &changes);
    /// What a holder of \p version needs; everything if the removals since then are forgotten.
    ConfigurationChanges changesSince(Version version) const;

    /// Null until a version was taken.
    const std::shared_ptr<const RouteCatalogue> &current() const { return m_current; }
    Version version() const { return m_current == nullptr ? Version() : m_current->version(); }

private:
    void take(std::shared_ptr<const RouteCatalogue> next);
    void forgetOldRemovals();

    std::shared_ptr<const RouteCatalogue> m_current;
    std::map<RouteId, Version> m_changed; ///< At or after the version of the last change.
    std::multimap<Version, RouteId> m_removed;
    Version m_completeSince; ///< Removals after this version are all remembered.
};

} // namespace godwitlift
