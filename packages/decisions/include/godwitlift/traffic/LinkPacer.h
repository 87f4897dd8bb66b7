/// \file
/// Paces the pieces of large answers, so that small messages do not wait behind them.
#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace godwitlift {

/// Models the transmit backlog of the host's link. Not thread-safe.
///
/// Small messages are sent at once and only counted. A piece of a large answer is sent when the
/// link is about to become idle, so that the next message waits for a few pieces at most.
class LinkPacer final
{
public:
    /// \p megabitsPerSecond is the link's bandwidth; if 0, it is unknown and nothing is paced.
    explicit LinkPacer(double megabitsPerSecond);

    void onSent(std::size_t bytes, absl::Time now);
    /// Time until the next piece may be sent; zero if at once.
    absl::Duration delay(absl::Time now) const;
    /// Time until \p bytes are transmitted, after everything sent before; zero if the bandwidth is
    /// unknown.
    absl::Duration timeToTransmit(std::size_t bytes, absl::Time now) const;
    std::size_t pieceBytes() const { return m_pieceBytes; }

private:
    double m_bytesPerSecond;
    std::size_t m_pieceBytes;
    absl::Time m_busyUntil = absl::InfinitePast(); ///< When everything sent has been transmitted.
};

} // namespace godwitlift
