/// \file
/// The backlog of a link.
#include "godwitlift/traffic/LinkPacer.h"

#include <algorithm>
#include <limits>

namespace godwitlift {

namespace {

/// Part of the bandwidth that payload gets; headers and acknowledgements take the rest.
constexpr double PayloadShare = 0.95;
/// Time that one piece takes on the link: small against latency objectives of some hundred
/// milliseconds, long against a turn of the event loop.
constexpr absl::Duration PieceTime = absl::Milliseconds(8);
/// What may be on the way when another piece leaves: enough to keep the link busy while the loop is
/// held up for a moment.
constexpr absl::Duration AllowedBacklog = absl::Milliseconds(16);
constexpr std::size_t LeastPiece = 4096;
constexpr std::size_t MostPiece = 65'536;

} // namespace

LinkPacer::LinkPacer(double megabits)
    : m_bytesPerSecond(megabits * 1e6 / 8 * PayloadShare)
    , m_pieceBytes(m_bytesPerSecond <= 0 ? std::numeric_limits<std::size_t>::max()
                                         : std::clamp(static_cast<std::size_t>(
                                                              m_bytesPerSecond
                                                              * absl::ToDoubleSeconds(PieceTime)),
                                                      LeastPiece, MostPiece))
{}

void LinkPacer::sent(std::size_t bytes, absl::Time now)
{
    if (m_bytesPerSecond <= 0)
        return;
    m_busyUntil = std::max(m_busyUntil, now)
                  + absl::Seconds(static_cast<double>(bytes) / m_bytesPerSecond);
}

absl::Duration LinkPacer::carryTime(std::size_t bytes, absl::Time now) const
{
    if (m_bytesPerSecond <= 0)
        return absl::ZeroDuration();
    return std::max(m_busyUntil - now, absl::ZeroDuration())
           + absl::Seconds(static_cast<double>(bytes) / m_bytesPerSecond);
}

absl::Duration LinkPacer::delay(absl::Time now) const
{
    if (m_bytesPerSecond <= 0 || m_busyUntil <= now + AllowedBacklog)
        return absl::ZeroDuration();
    return m_busyUntil - now - AllowedBacklog;
}

} // namespace godwitlift
