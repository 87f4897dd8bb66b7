/// \file
/// Adaptive concurrency limit of one backend server.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace godwitlift {

/// Starts at the announced slots and is reduced while the backend server is in slow start or sheds
/// load. Not thread-safe.
///
/// When a request is shed, the limit is reduced to four fifths of the slots in use, or of the old
/// limit if that is lower, at most once per MinDecreaseInterval. Every answer raises the limit by a
/// fraction of a slot, so that a limit of about ten slots recovers within tens of answers.
class SlotLimit final
{
public:
    static constexpr absl::Duration MinDecreaseInterval = absl::Milliseconds(200);

    /// \p minShare is the share of the slots below which shedding does not reduce the limit. It
    /// should be high if the announced slots are exact: the backend server then sheds for other
    /// reasons than the number of requests.
    SlotLimit(std::uint32_t slots, absl::Time serverStart, absl::Duration slowStart,
              double minShare = 0);

    void update(std::uint32_t slots, absl::Time serverStart, absl::Duration slowStart);
    /// At least 1.
    std::uint32_t current(absl::Time now) const;
    void onAnswered();
    void onShed(std::uint32_t inUse, absl::Time now);

private:
    double m_minShare;
    std::uint32_t m_slots;
    absl::Time m_serverStart;
    absl::Duration m_slowStart;
    double m_adaptiveLimit; ///< Reduced by shedding; at most m_slots.
    absl::Time m_lastDecrease = absl::InfinitePast();
};

} // namespace godwitlift
