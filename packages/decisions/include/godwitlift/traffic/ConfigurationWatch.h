/// \file
/// Requests that follow the configuration's table in the store.
#pragma once

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/traffic/StorePosition.h"

#include <absl/time/time.h>

#include <cstdint>

namespace godwitlift {

/// A request to the store.
struct WatchRequest
{
    bool isWatch = false; ///< Return changes after `after`; otherwise read everything.
    StorePosition after;
    absl::Duration longPollTimeout; ///< How long the store may delay its answer until a change.
    absl::Duration delay;           ///< Before the request is sent.

    bool isLongPoll() const { return isWatch && longPollTimeout > absl::ZeroDuration(); }
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
/// Invariant: after a gap in the history, or in another era, a full read precedes the next watch.
class ConfigurationWatch final
{
public:
    /// Changes within this time are fetched together: versions can follow each other many times a
    /// second, each call has a cost, and a version must be in force only within seconds.
    static constexpr absl::Duration CoalescingDelay = absl::Milliseconds(300);
    static constexpr absl::Duration InitialBackoff = absl::Milliseconds(200);
    static constexpr absl::Duration MaxBackoff = absl::Milliseconds(500);

    /// \p pollTimeout is how long the store may delay an answer until a change.
    ConfigurationWatch(RandomSource &random, absl::Duration pollTimeout)
        : m_random(random)
        , m_pollTimeout(pollTimeout)
    {}

    /// A request that the store answers at once, with all that is not known yet.
    WatchRequest readRequest() const;
    /// Processes the result of \p request and returns the next request of a node that watches.
    /// \p position is the store's at the time of its answer; ignored for Failed.
    WatchRequest onResult(const WatchRequest &request, WatchResult result, StorePosition position);
    /// A peer with the same version of the configuration knows the table up to \p position.
    void adopt(StorePosition position);

    bool needsFullRead() const { return m_needsFullRead; }
    bool isFailing() const { return m_backoff > absl::ZeroDuration(); }
    /// Up to here the table is known.
    StorePosition position() const { return m_position; }

private:
    RandomSource &m_random;
    absl::Duration m_pollTimeout;
    bool m_needsFullRead = true;
    StorePosition m_position;
    absl::Duration m_backoff;
};

} // namespace godwitlift
