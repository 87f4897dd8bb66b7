/// \file
/// What a deciding node knows of the status row of a roll-out, and which call it makes next.
#pragma once

#include "godwitlift/rollout/Rollout.h"

#include <cstdint>
#include <optional>

namespace godwitlift {

/// A status row as the store has it.
struct RolloutStatusRow
{
    std::uint64_t revision = 0;          ///< 0 if there is no row.
    std::optional<RolloutStatus> status; ///< None if there is no row or an unreadable one.
};

/// Call of a node about a status row.
enum class RolloutRecordCall : std::uint8_t {
    None,
    Read,
    Write ///< On the condition of RolloutRecord::revision().
};

/// Brings the status row of one order and the state that a node knows together. Not thread-safe.
///
/// Invariants: at most one call is in progress; a row is written only on the condition of the
/// revision that was read or written last, and never over a later order; after a write whose
/// outcome is not known, or a conflict, the row is read first.
class RolloutRecord final
{
public:
    explicit RolloutRecord(absl::Duration rollbackLimit)
        : m_rereadInterval(rollbackLimit * RereadPart)
    {}

    /// Between two calls while the store does not answer.
    static constexpr absl::Duration RetryInterval = absl::Milliseconds(300);
    /// Part of the roll-back limit after which a row that needs no write is read again: a node that
    /// was cut off from the others, but not from the store, learns of a roll-back in this time.
    static constexpr double RereadPart = 0.25;

    /// The call to make for \p state; it is in progress until one of the functions below is called.
    RolloutRecordCall startCall(const RolloutState &state, absl::Time now);
    /// Of the row; 0 if there is none.
    std::uint64_t revision() const { return m_revision.value_or(0); }
    /// Returns the state by the row; none if it tells nothing about the order. \p wallTime is the
    /// time of day at \p now if the time of the order is to be taken from the row, where the clock
    /// of another node has measured it; none if this node knows it better.
    std::optional<RolloutState> onRead(const RolloutState &state, const RolloutStatusRow &row,
                                       absl::Time now, std::optional<absl::Time> wallTime);
    /// Returns the state if its result is now recorded.
    std::optional<RolloutState> onWritten(const RolloutState &state, std::uint64_t revision,
                                          absl::Time now);
    void onReadFailed(absl::Time now);
    void onWriteFailed(bool isConflict, absl::Time now);

    /// The row's contents for \p state.
    static RolloutStatus statusOf(const RolloutState &state, absl::Time now, absl::Time wallTime);

private:
    absl::Duration m_rereadInterval;
    std::optional<std::uint64_t> m_revision; ///< None until the row is read.
    std::optional<RolloutPhase> m_recorded;  ///< In the row, for this order.
    bool m_isCalling = false;
    absl::Time m_nextCall = absl::InfinitePast();
    absl::Time m_known = absl::InfinitePast(); ///< When the row was last read or written.
};

} // namespace godwitlift
