/// \file
/// When to ask the store for the configuration, and what to do with its answers.
#pragma once

#include "godwitlift/base/RandomSource.h"

#include <absl/time/time.h>

#include <cstdint>

namespace godwitlift {

/// The next question to the store.
struct WatchStep
{
    bool isWatch = false; ///< Wait for changes after `after`; otherwise read what is there.
    std::uint64_t after = 0;
    absl::Duration wait;  ///< How long the store may hold the question back.
    absl::Duration delay; ///< Pause before it is asked.
};

/// What the last question brought.
enum class WatchResult : std::uint8_t {
    Changed,     ///< Rows came.
    Unchanged,   ///< The wait ended without a change, or there is no row.
    HistoryGone, ///< Changes may have been missed: read everything again.
    Failed       ///< No usable answer.
};

/// Follows one table of the store: one reading, then one watch after the other. Not thread-safe.
///
/// Invariant: after a gap in the history, everything is read again before the next watch.
class ConfigurationWatch final
{
public:
    /// A watch is renewed this often. A connection that goes silent, or a store that forgets the
    /// question, costs at most one watch; a version has seconds to come into force.
    static constexpr absl::Duration WatchTime = absl::Seconds(3);
    /// Changes that follow each other within this time are taken together: versions may come many
    /// times a second, each call costs, and a version has seconds to come into force.
    static constexpr absl::Duration CoalescingTime = absl::Milliseconds(400);
    static constexpr absl::Duration FirstBackoff = absl::Milliseconds(200);
    static constexpr absl::Duration LongestBackoff = absl::Milliseconds(500);

    explicit ConfigurationWatch(RandomSource &random)
        : m_random(random)
    {}

    WatchStep first() const { return {}; }
    /// \p revision is the store's newest one as of the answer; ignored unless one came.
    WatchStep answered(WatchResult result, std::uint64_t revision);
    bool isFailing() const { return m_backoff > absl::ZeroDuration(); }

private:
    RandomSource &m_random;
    bool m_mustRead = true;
    std::uint64_t m_revision = 0;
    absl::Duration m_backoff;
};

} // namespace godwitlift
