/// \file
/// Brings newly published versions from the platform into the mesh.
#pragma once

#include "godwitlift/configuration/ConfigurationHolder.h"
#include "godwitlift/publishing/PublishedRecords.h"

#include <absl/time/time.h>

#include <optional>
#include <variant>

namespace godwitlift {

/// A whole configuration as it came from a peer or from the platform.
struct SnapshotContent
{
    Version version;
    Digest digest;
    std::string text;
};

/// Polls the head and fetches what the node lacks. One poll is in flight at a time. Not
/// thread-safe.
///
/// A poll that finds nothing new costs one read. A version that directly follows the held one costs
/// one row and one delta; a larger gap costs one row and one snapshot.
class PlatformWatcher final
{
public:
    using Found = std::variant<std::monostate, DeltaStep, SnapshotContent>;

    explicit PlatformWatcher(absl::Duration period);

    /// Whether the platform answered the last poll.
    bool isPlatformReachable() const { return m_reachable; }
    /// Whether a poll has ended since the node started.
    bool hasPolled() const { return m_polled; }
    absl::Duration period() const { return m_period; }

    /// The first operation of a poll if one is due and none is in flight.
    std::optional<PlatformOperation> poll(absl::Time now);
    /// Takes an answer; returns the next operation of this poll, if any, and sets \p found.
    std::optional<PlatformOperation> advance(const PlatformAnswer &answer, Version held,
                                             Found &found);

private:
    enum class Step : std::uint8_t { Idle, Head, Row, Delta, Snapshot };

    std::optional<PlatformOperation> fail(bool reachable);
    std::optional<PlatformOperation> onHead(const PlatformAnswer &answer, Version held);
    std::optional<PlatformOperation> onRow(const PlatformAnswer &answer, Version held);

    absl::Duration m_period;
    absl::Time m_due = absl::InfinitePast();
    Step m_step = Step::Idle;
    VersionRecord m_wanted;
    Version m_failedDelta; ///< A version whose delta did not apply; fetched as a snapshot instead.
    bool m_reachable = false;
    bool m_polled = false;
};

} // namespace godwitlift
