/// \file
/// Transmit backlog of a link.
#include "godwitlift/traffic/LinkPacer.h"

#include <algorithm>
#include <limits>

namespace godwitlift {

namespace {

/// Payload share of the bandwidth; packet headers and acknowledgements use the rest.
constexpr double PayloadShare = 0.95;
/// Transmit time of a piece: short compared to latency objectives of some hundred milliseconds,
/// long compared to an iteration of the event loop.
constexpr absl::Duration PieceTransmitTime = absl::Milliseconds(8);
/// Backlog up to which the next piece is sent: enough to keep the link busy while the event loop is
/// delayed briefly.
constexpr absl::Duration MaxBacklog = absl::Milliseconds(16);
constexpr std::size_t MinPieceBytes = 4096;
constexpr std::size_t MaxPieceBytes = 65'536;

} // namespace

LinkPacer::LinkPacer(double megabitsPerSecond)
    : m_bytesPerSecond(megabitsPerSecond * 1e6 / 8 * PayloadShare)
    , m_pieceBytes(m_bytesPerSecond <= 0
                           ? std::numeric_limits<std::size_t>::max()
                           : std::clamp(static_cast<std::size_t>(
                                                m_bytesPerSecond
                                                * absl::ToDoubleSeconds(PieceTransmitTime)),
                                        MinPieceBytes, MaxPieceBytes))
{}

void LinkPacer::onSent(std::size_t bytes, absl::Time now)
{
    if (m_bytesPerSecond <= 0)
        return;
    m_busyUntil = std::max(m_busyUntil, now)
                  + absl::Seconds(static_cast<double>(bytes) / m_bytesPerSecond);
}

absl::Duration LinkPacer::timeToTransmit(std::size_t bytes, absl::Time now) const
{
    if (m_bytesPerSecond <= 0)
        return absl::ZeroDuration();
    return std::max(m_busyUntil - now, absl::ZeroDuration())
           + absl::Seconds(static_cast<double>(bytes) / m_bytesPerSecond);
}

absl::Duration LinkPacer::delay(absl::Time now) const
{
    if (m_bytesPerSecond <= 0 || m_busyUntil <= now + MaxBacklog)
        return absl::ZeroDuration();
    return m_busyUntil - now - MaxBacklog;
}

} // namespace godwitlift
