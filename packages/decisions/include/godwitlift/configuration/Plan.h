/// \file
/// The changes that an intent would make to a given base version.
#pragma once

#include "godwitlift/configuration/ConfigurationDelta.h"
#include "godwitlift/configuration/VersionedConfiguration.h"

#include <string>
#include <string_view>
#include <vector>

namespace godwitlift {

/// The change of one item as shown to the operator.
struct PlannedChange
{
    enum class Kind : std::uint8_t { Add, Replace, Remove };

    ItemName item;
    Kind kind = Kind::Add;
    std::string before; ///< Canonical JSON of the item, empty if added.
    std::string after;  ///< Canonical JSON of the item, empty if removed.

    friend bool operator==(const PlannedChange &, const PlannedChange &) = default;
};

/// Stable lower-case name used in the operator API.
std::string_view name(PlannedChange::Kind kind);

/// A plan is a pure function of its base and its delta. Any node can recompute it and compare the
/// digest, so plans need not be stored.
class Plan final
{
public:
    /// Plans \p delta on \p base. Fails with InputError if the result would be invalid.
    static Result<Plan> make(const VersionedConfiguration &base, const ConfigurationDelta &delta);

    Version baseVersion() const { return m_baseVersion; }
    const std::vector<PlannedChange> &changes() const { return m_changes; }
    const Configuration &target() const { return m_target; }
    /// The effective delta, without items that would not change.
    const ConfigurationDelta &delta() const { return m_delta; }
    /// Digest of the base version and all changes.
    const Digest &digest() const { return m_digest; }
    /// Digest of the changes alone; equal for plans with the same changes on different bases.
    const Digest &changesDigest() const { return m_changesDigest; }
    bool isEmpty() const { return m_changes.empty(); }

private:
    Plan() = default;

    Version m_baseVersion;
    std::vector<PlannedChange> m_changes;
    Configuration m_target;
    ConfigurationDelta m_delta;
    Digest m_digest;
    Digest m_changesDigest;
};

} // namespace godwitlift
