/// \file
/// Estimates the transit delay of messages without synchronized clocks.
#pragma once

#include <absl/time/time.h>

namespace godwitlift {

/// Estimates the delay of messages from one sender relative to its fastest recent message.
///
/// Each message carries a reading of the sender's clock; the difference to the receiver's clock is
/// smallest for the message with the least delay. Both clocks must advance while their host is
/// suspended.
/// Not thread-safe.
class TransitDelayEstimator final
{
public:
    /// Time over which the minimum is taken; a clock step has no effect any more after two windows.
    static constexpr absl::Duration Window = absl::Seconds(10);

    /// \p sent and \p received are readings of the sender's and the receiver's clock.
    absl::Duration observe(absl::Duration sent, absl::Duration received);

private:
    absl::Duration m_windowStart = -absl::InfiniteDuration();
    absl::Duration m_minDifference = absl::InfiniteDuration();         ///< Of the current window.
    absl::Duration m_previousMinDifference = absl::InfiniteDuration(); ///< Of the previous window.
};

} // namespace godwitlift
