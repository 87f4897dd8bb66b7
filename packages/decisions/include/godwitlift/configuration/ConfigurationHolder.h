/// \file
/// The configuration that a node has in force, and the rules for replacing it.
#pragma once

#include "godwitlift/configuration/ConfigurationDelta.h"
#include "godwitlift/configuration/VersionedConfiguration.h"

#include <deque>
#include <optional>
#include <string>

namespace godwitlift {

/// A step from one version to the next, kept so that it can be handed to followers.
struct DeltaStep
{
    Version from;
    Version to;
    Digest digest;    ///< Digest of the configuration after the step.
    std::string text; ///< Canonical JSON of the delta.
};

/// What became of an offered version.
enum class ApplyOutcome : std::uint8_t {
    Applied,  ///< The offered version is now in force, whole.
    NotNewer, ///< The held version is the same or higher.
    Gap,      ///< The step starts at another version than the held one.
    Refused   ///< A check failed; the held version stays in force.
};

/// A version that failed its checks, kept for the report to the operator.
struct RefusedVersion
{
    Version version;
    std::string problem;

    friend bool operator==(const RefusedVersion &, const RefusedVersion &) = default;
};

/// Holds the version in force. Not thread-safe; guarded by its user's lock, while the shared
/// configuration it hands out may be read without one.
///
/// Invariant: the held version never falls, and the held content always passed every check.
class ConfigurationHolder final
{
public:
    ConfigurationHolder();

    /// Never null; version 0 with empty content before the first version.
    const SharedConfiguration &current() const { return m_current; }
    Version version() const { return m_current->version; }

    /// Offers a whole configuration with the digest its source announced.
    ApplyOutcome applySnapshot(Version version, const Digest &digest, std::string_view text);
    /// Offers a step from the held version.
    ApplyOutcome applyStep(const DeltaStep &step);

    /// Steps that lead from \p held to the current version; empty if some are no longer kept.
    std::vector<DeltaStep> stepsFrom(Version held) const;
    /// Canonical JSON of the current content, encoded once per version.
    const std::string &snapshotText() const;
    /// The newest refusal that no applied version has superseded.
    const std::optional<RefusedVersion> &refused() const { return m_refused; }

private:
    ApplyOutcome accept(Version version, const Digest &digest, Configuration content);
    ApplyOutcome refuse(Version version, std::string problem);
    void remember(DeltaStep step);

    SharedConfiguration m_current;
    mutable std::optional<std::string> m_snapshotText;
    std::deque<DeltaStep> m_steps; ///< Consecutive; the last one leads to the current version.
    std::optional<RefusedVersion> m_refused;
};

} // namespace godwitlift
