/// \file
/// When the next piece of a large answer may leave, so that small messages do not wait behind it.
#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace godwitlift {

/// Follows how much of what was sent the host's link has not carried yet. Not thread-safe.
///
/// Small messages leave at once and are only counted. A piece of a large answer leaves when the
/// link is about to fall idle, so that whatever is sent next waits for a few pieces at most.
class LinkPacer final
{
public:
    /// \p megabits is the link's bandwidth in Mbit/s; 0 if it is unknown: nothing waits then.
    explicit LinkPacer(double megabits);

    void sent(std::size_t bytes, absl::Time now);
    /// Time until another piece may leave; zero if it may at once.
    absl::Duration delay(absl::Time now) const;
    /// Time in which the link carries \p bytes after everything that was sent; zero if its
    /// bandwidth is unknown.
    absl::Duration carryTime(std::size_t bytes, absl::Time now) const;
    /// Size of a piece in bytes.
    std::size_t pieceBytes() const { return m_pieceBytes; }

private:
    double m_bytesPerSecond;
    std::size_t m_pieceBytes;
    absl::Time m_busyUntil = absl::InfinitePast(); ///< When all that was sent has been carried.
};

} // namespace godwitlift
