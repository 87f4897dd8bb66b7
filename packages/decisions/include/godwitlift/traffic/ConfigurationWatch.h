/// \file
/// Schedules the long-poll requests that keep the configuration up to date with the store.
#pragma once

#include "godwitlift/base/RandomSource.h"

#include <absl/time/time.h>

#include <cstdint>

namespace godwitlift {

/// The next request to the store.
struct WatchRequest
{
    bool isWatch = false; ///< Wait for changes after `afterRevision`; otherwise read everything.
    std::uint64_t afterRevision = 0;
    absl::Duration longPollTimeout; ///< How long the store may delay its answer until a change.
    absl::Duration delay;           ///< Before the request is sent.
};

/// Result of a request to the store.
enum class WatchResult : std::uint8_t {
    Changed,     ///< Rows were returned.
    Unchanged,   ///< The long poll timed out without a change, or there is no row.
    HistoryGone, ///< The store no longer has the changes: a full read is needed.
    Failed       ///< No usable answer.
};

/// Follows one table of the store: a full read, then consecutive watches. Not thread-safe.
///
/// Invariant: after a gap in the history, a full read precedes the next watch.
class ConfigurationWatch final
{
public:
    /// Time after which a watch is renewed. If the connection or the store stops responding, an
    /// update is delayed by at most one watch; a version must be in force within seconds.
    static constexpr absl::Duration LongPollTimeout = absl::Seconds(3);
    /// Changes within this time are fetched together: versions can follow each other many times a
    /// second, each call has a cost, and a version must be in force only within seconds.
    static constexpr absl::Duration CoalescingDelay = absl::Milliseconds(400);
    static constexpr absl::Duration InitialBackoff = absl::Milliseconds(200);
    static constexpr absl::Duration MaxBackoff = absl::Milliseconds(500);

    /// Delay of the first read when the whole system starts for the first time: until then nodes
    /// have found each other, and one of each zone reads the store.
    static constexpr absl::Duration FirstStartDelay = absl::Seconds(1);
    /// Time after which a node without a configuration reads the store although another node
    /// watches it.
    static constexpr absl::Duration DelegatedReadDelay = absl::Seconds(3);

    explicit ConfigurationWatch(RandomSource &random)
        : m_random(random)
    {}

    WatchRequest firstRequest(bool isFirstStart) const;
    /// \p request as sent by a node that has no configuration while another node watches.
    WatchRequest delegatedRequest(WatchRequest request) const;
    /// \p revision is the newest revision of the store at the time of its answer; ignored for
    /// HistoryGone and Failed.
    WatchRequest onResult(WatchResult result, std::uint64_t revision);
    bool isFailing() const { return m_backoff > absl::ZeroDuration(); }

private:
    RandomSource &m_random;
    bool m_needsFullRead = true;
    std::uint64_t m_revision = 0;
    absl::Duration m_backoff;
};

} // namespace godwitlift
