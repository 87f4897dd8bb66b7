/// \file
/// Order and pace of body transfers.
#include "godwitlift/traffic/BodyIntake.h"

#include <algorithm>
#include <iterator>

namespace godwitlift {

namespace {

/// Payload share of the bandwidth; packet headers and acknowledgements use the rest.
constexpr double PayloadShare = 0.95;
/// Transmit time of a body that is worth the round trip of its announcement.
constexpr absl::Duration ThresholdTime = absl::Milliseconds(8);
constexpr std::size_t MinThresholdBytes = 8192;
/// Transmit time of the credit that senders may have together. Long enough for a round trip and a
/// delayed event loop, so that the link stays busy; other messages wait about this long at most.
constexpr absl::Duration WindowTime = absl::Milliseconds(40);
constexpr std::size_t MinWindowBytes = 16'384;
constexpr std::size_t MaxWindowBytes = std::size_t(1) * 1024 * 1024;
/// A body may use this part of the window, so that a slow sender does not leave the link idle.
constexpr std::size_t SharesOfWindow = 2;
/// A sender without progress for this long is slow or cut off, and its credit is given to others.
constexpr absl::Duration StallTime = absl::Milliseconds(250);
/// Shortest measurement of the rate, and weight of the newest one.
constexpr absl::Duration MeasurementTime = absl::Milliseconds(100);
constexpr double MeasurementWeight = 0.3;
/// Part of the time until its latest arrival that a body may be expected to take, since the rate is
/// not known exactly.
constexpr double ExpectedTimeShare = 0.9;
/// Least share of the bandwidth that is expected to be left for bodies.
constexpr double MinRateShare = 0.1;

} // namespace

BodyIntake::BodyIntake(double linkMbps)
    : m_linkBytesPerSecond(linkMbps * 1e6 / 8 * PayloadShare)
    , m_bytesPerSecond(m_linkBytesPerSecond)
    , m_windowBytes(std::clamp(
              static_cast<std::size_t>(m_linkBytesPerSecond * absl::ToDoubleSeconds(WindowTime)),
              MinWindowBytes, MaxWindowBytes))
    , m_pieceBytes(m_windowBytes / (2 * SharesOfWindow))
{}

std::optional<std::size_t> BodyIntake::threshold() const
{
    if (m_linkBytesPerSecond <= 0)
        return std::nullopt;
    return std::max(
            MinThresholdBytes,
            static_cast<std::size_t>(m_linkBytesPerSecond * absl::ToDoubleSeconds(ThresholdTime)));
}

absl::Duration BodyIntake::transmitTime(std::size_t bytes) const
{
    return m_bytesPerSecond <= 0 ? absl::ZeroDuration()
                                 : absl::Seconds(static_cast<double>(bytes) / m_bytesPerSecond);
}

absl::Duration BodyIntake::backlogTime() const
{
    std::size_t bytes = 0;
    for (const Transfer &transfer : m_transfers)
        bytes += transfer.remaining();
    return transmitTime(bytes);
}

bool BodyIntake::announce(const Announcement &announcement, absl::Time now)
{
    // Bodies of more urgent requests and those in progress go first.
    const auto position =
            std::find_if(m_transfers.begin(), m_transfers.end(), [&](const Transfer &other) {
                return other.granted == 0 && other.announcement.urgency > announcement.urgency;
            });
    std::size_t bytesAhead = 0;
    for (auto it = m_transfers.begin(); it != position; ++it)
        bytesAhead += it->remaining();
    if (transmitTime(bytesAhead + announcement.bytes)
        > ExpectedTimeShare * (announcement.latestArrival - now))
        return false;
    m_transfers.insert(position, Transfer{ announcement, 0, 0, now });
    return true;
}

std::list<BodyIntake::Transfer>::iterator BodyIntake::find(AttemptId attempt)
{
    return std::find_if(m_transfers.begin(), m_transfers.end(), [&](const Transfer &transfer) {
        return transfer.announcement.attempt == attempt;
    });
}

bool BodyIntake::onReceived(AttemptId attempt, std::size_t bytes, absl::Time now)
{
    const auto it = find(attempt);
    if (it == m_transfers.end() || bytes > it->unusedCredit())
        return false;
    it->received += bytes;
    it->lastProgress = now;
    measureRate(bytes, now);
    return true;
}

void BodyIntake::remove(AttemptId attempt, absl::Time)
{
    const auto it = find(attempt);
    if (it != m_transfers.end())
        m_transfers.erase(it);
    if (m_transfers.empty())
        m_measureStart.reset();
}

std::size_t BodyIntake::unusedCredit(absl::Time now) const
{
    std::size_t bytes = 0;
    for (const Transfer &transfer : m_transfers)
        bytes += now - transfer.lastProgress < StallTime ? transfer.unusedCredit() : 0;
    return bytes;
}

std::vector<BodyIntake::Grant> BodyIntake::takeGrants(absl::Time now)
{
    std::vector<Grant> grants;
    std::size_t unused = unusedCredit(now);
    for (Transfer &transfer : m_transfers) {
        Grant grant{ transfer.announcement.attempt, 0 };
        while (transfer.granted < transfer.announcement.bytes) {
            const std::size_t piece =
                    std::min(m_pieceBytes, transfer.announcement.bytes - transfer.granted);
            if (unused + piece > m_windowBytes
                || transfer.unusedCredit() + piece > m_windowBytes / SharesOfWindow)
                break;
            // The first credit, or the first one after all of it was used, starts the sender anew.
            if (transfer.unusedCredit() == 0)
                transfer.lastProgress = now;
            transfer.granted += piece;
            grant.bytes += piece;
            unused += piece;
        }
        if (grant.bytes > 0)
            grants.push_back(grant);
        if (unused + m_pieceBytes > m_windowBytes)
            break;
    }
    if (!grants.empty() && !m_measureStart) {
        m_measureStart = now;
        m_measuredBytes = 0;
    }
    return grants;
}

void BodyIntake::measureRate(std::size_t bytes, absl::Time now)
{
    if (!m_measureStart)
        return;
    m_measuredBytes += bytes;
    const absl::Duration elapsed = now - *m_measureStart;
    if (elapsed < MeasurementTime)
        return;
    const double rate = static_cast<double>(m_measuredBytes) / absl::ToDoubleSeconds(elapsed);
    m_bytesPerSecond += MeasurementWeight * (rate - m_bytesPerSecond);
    m_bytesPerSecond =
            std::clamp(m_bytesPerSecond, m_linkBytesPerSecond * MinRateShare, m_linkBytesPerSecond);
    m_measureStart = now;
    m_measuredBytes = 0;
}

std::vector<AttemptId> BodyIntake::overdue(absl::Time now) const
{
    std::vector<AttemptId> attempts;
    for (const Transfer &transfer : m_transfers) {
        // A body in progress is given up only once it is late: much of it has been transferred.
        const absl::Duration left =
                transfer.granted == 0 ? transmitTime(transfer.remaining()) : absl::ZeroDuration();
        if (now + left > transfer.announcement.latestArrival)
            attempts.push_back(transfer.announcement.attempt);
    }
    return attempts;
}

} // namespace godwitlift
