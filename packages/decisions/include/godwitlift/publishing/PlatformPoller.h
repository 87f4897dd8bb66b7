/// \file
/// Polls the platform for newly published versions.
#pragma once

#include "godwitlift/configuration/ConfigurationHolder.h"
#include "godwitlift/publishing/PublishedRecords.h"

#include <absl/time/time.h>

#include <optional>
#include <variant>

namespace godwitlift {

/// A complete configuration as exchanged with a peer or read from the platform.
struct SnapshotContent
{
    Version version;
    Digest digest;
    std::string text;
};

/// Polls the head row, which names the newest version, and fetches that version if the node does
/// not hold it yet. One poll is in flight at a time. Not thread-safe.
///
/// A poll that finds nothing new costs one read. A version that directly follows the held one costs
/// one row and one delta; a larger gap costs one row and one snapshot.
class PlatformPoller final
{
public:
    using PollResult = std::variant<std::monostate, DeltaStep, SnapshotContent>;

    explicit PlatformPoller(absl::Duration period);

    /// Whether the platform answered the last poll.
    bool isPlatformReachable() const { return m_platformReachable; }
    /// Whether a poll has completed since the node started.
    bool hasCompletedPoll() const { return m_pollCompleted; }
    absl::Duration period() const { return m_period; }

    /// Returns the first operation of a poll if one is due and none is in flight.
    std::optional<PlatformOperation> startPollIfDue(absl::Time now);
    /// Handles an answer; returns the next operation of this poll, if any, and sets \p result.
    std::optional<PlatformOperation> onAnswer(const PlatformAnswer &answer, Version heldVersion,
                                              PollResult &result);

private:
    enum class Step : std::uint8_t { Idle, Head, VersionRow, Delta, Snapshot };

    std::optional<PlatformOperation> finishPoll(bool reachable);
    std::optional<PlatformOperation> onHead(const PlatformAnswer &answer, Version heldVersion);
    std::optional<PlatformOperation> onVersionRow(const PlatformAnswer &answer,
                                                  Version heldVersion);

    absl::Duration m_period;
    absl::Time m_nextPoll = absl::InfinitePast();
    Step m_step = Step::Idle;
    VersionRecord m_targetRecord;
    /// Version whose delta was already fetched or was missing. If the node still does not hold this
    /// version, the next poll fetches its snapshot instead.
    Version m_triedDeltaVersion;
    bool m_platformReachable = false;
    bool m_pollCompleted = false;
};

} // namespace godwitlift
