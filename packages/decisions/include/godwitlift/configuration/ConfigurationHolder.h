/// \file
/// The configuration in force on a node and the rules for replacing it.
#pragma once

#include "godwitlift/configuration/ConfigurationDelta.h"
#include "godwitlift/configuration/VersionedConfiguration.h"

#include <deque>
#include <optional>
#include <string>

namespace godwitlift {

/// A delta from one version to a later one, retained so that it can be sent to followers.
struct DeltaStep
{
    Version from;
    Version to;
    Digest digest;    ///< Digest of the configuration after applying the delta.
    std::string text; ///< Canonical JSON of the delta.
};

/// Result of applying an offered version.
enum class ApplyOutcome : std::uint8_t {
    Applied,  ///< The offered version is now in force.
    NotNewer, ///< The current version is the same or higher.
    Gap,      ///< The step does not start at the current version.
    Refused   ///< Decoding, validation or digest check failed; the current version stays in force.
};

/// A refused version, reported to the operator.
struct RefusedVersion
{
    Version version;
    std::string problem;

    friend bool operator==(const RefusedVersion &, const RefusedVersion &) = default;
};

/// Holds the version in force. Not thread-safe; callers must synchronize access. The shared
/// configuration that current() returns may be read without a lock.
///
/// Invariant: the version never decreases, and the content has always passed validation.
class ConfigurationHolder final
{
public:
    ConfigurationHolder();

    /// Never null; version 0 with empty content until a version is applied.
    const SharedConfiguration &current() const { return m_current; }
    Version version() const { return m_current->version; }

    /// Applies a complete configuration if it is newer, valid and matches \p digest.
    ApplyOutcome applySnapshot(Version version, const Digest &digest, std::string_view text);
    /// Applies a delta that starts at the current version.
    ApplyOutcome applyStep(const DeltaStep &step);

    /// Steps from \p heldVersion to the current version; empty if some are no longer retained.
    std::vector<DeltaStep> stepsSince(Version heldVersion) const;
    /// Canonical JSON of the current content, cached per version.
    const std::string &snapshotText() const;
    /// The latest refused version, until the same or a higher version is applied.
    const std::optional<RefusedVersion> &latestRefusal() const { return m_latestRefusal; }

private:
    ApplyOutcome applyIfValid(Version version, const Digest &digest, Configuration content);
    ApplyOutcome recordRefusal(Version version, std::string problem);
    void retainStep(DeltaStep step);

    SharedConfiguration m_current;
    mutable std::optional<std::string> m_snapshotText;
    std::deque<DeltaStep> m_steps; ///< Consecutive; the last one ends at the current version.
    std::optional<RefusedVersion> m_latestRefusal;
};

} // namespace godwitlift
