/// \file
/// The answer to an intent: what would change, bound to the version it was made from.
#pragma once

#include "godwitlift/configuration/ConfigurationDelta.h"
#include "godwitlift/configuration/VersionedConfiguration.h"

#include <string>
#include <string_view>
#include <vector>

namespace godwitlift {

/// One object's change as the plan shows it.
struct PlannedChange
{
    enum class Kind : std::uint8_t { Add, Replace, Remove };

    ItemName item;
    Kind kind = Kind::Add;
    std::string before; ///< Canonical JSON of the object, empty if added.
    std::string after;  ///< Canonical JSON of the object, empty if removed.

    friend bool operator==(const PlannedChange &, const PlannedChange &) = default;
};

/// Stable lower-case name.
std::string_view name(PlannedChange::Kind kind);

/// A plan is a pure function of its base and its delta, so that any node can make it again and
/// compare its digest; no node has to remember it.
class Plan final
{
public:
    /// Plans \p delta on \p base. Fails with InputError if the result would be invalid.
    static Result<Plan> make(const VersionedConfiguration &base, const ConfigurationDelta &delta);

    Version base() const { return m_base; }
    const std::vector<PlannedChange> &changes() const { return m_changes; }
    const Configuration &target() const { return m_target; }
    /// The effective delta: without objects that would stay as they are.
    const ConfigurationDelta &delta() const { return m_delta; }
    /// Digest over the base version and every change shown.
    const Digest &digest() const { return m_digest; }
    /// Digest over the changes alone; equal for plans that show the same on different bases.
    const Digest &changesDigest() const { return m_changesDigest; }
    bool isEmpty() const { return m_changes.empty(); }

private:
    Plan() = default;

    Version m_base;
    std::vector<PlannedChange> m_changes;
    Configuration m_target;
    ConfigurationDelta m_delta;
    Digest m_digest;
    Digest m_changesDigest;
};

} // namespace godwitlift
