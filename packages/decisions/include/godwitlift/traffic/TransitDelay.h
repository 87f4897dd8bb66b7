/// \file
/// How long a message was held up on its way, without clocks that agree.
#pragma once

#include <absl/time/time.h>

namespace godwitlift {

/// Estimates the delay of messages from one sender, beyond the fastest one seen lately.
///
/// Each message carries the sender's clock; the difference to the receiver's clock is smallest for
/// the message that was held up least. Both clocks must go on while their host is suspended.
/// Not thread-safe.
class TransitDelay final
{
public:
    /// The fastest message of this time counts; a shift between the clocks is forgotten after
    /// twice as long.
    static constexpr absl::Duration Window = absl::Seconds(10);

    /// \p sent and \p received are readings of the sender's and the receiver's clock.
    absl::Duration observe(absl::Duration sent, absl::Duration received);

private:
    absl::Duration m_windowStart = -absl::InfiniteDuration();
    absl::Duration m_least = absl::InfiniteDuration();     ///< Of this window.
    absl::Duration m_lastLeast = absl::InfiniteDuration(); ///< Of the window before.
};

} // namespace godwitlift
