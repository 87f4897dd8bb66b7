/// \file
/// Decides when the large request bodies that other hosts hold for this one are transferred.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <absl/time/time.h>

#include <cstddef>
#include <list>
#include <optional>
#include <vector>

namespace godwitlift {

/// Admits announced request bodies and grants their senders credit, piece by piece, as fast as the
/// host's link carries them. Not thread-safe.
///
/// Without it, every host sends its bodies at once, they queue up in front of the link, and
/// everything else for this host waits behind them. Here the bodies wait at their senders. Few are
/// transferred at a time, since sharing the link evenly would delay all of them.
///
/// Invariants: a body gets no more credit than its size; the credit that senders have not used,
/// except for those that make no progress, does not exceed windowBytes().
class BodyIntake final
{
public:
    /// A body that a request is about to send to this host.
    struct Announcement
    {
        AttemptId attempt; ///< Unique among the attempts at this host.
        std::size_t bytes = 0;
        int urgency = 0; ///< 0 is the most urgent.
        /// The body is useless if it is complete later.
        absl::Time latestArrival;
    };
    struct Grant
    {
        AttemptId attempt;
        std::size_t bytes = 0;

        friend bool operator==(const Grant &, const Grant &) = default;
    };

    /// \p linkMbps is the bandwidth of the host's link in Mbit/s; 0 if unknown.
    explicit BodyIntake(double linkMbps);

    /// Size from which bodies are to be announced; none if the bandwidth is unknown.
    std::optional<std::size_t> threshold() const;
    std::size_t windowBytes() const { return m_windowBytes; }

    /// False if the body would arrive too late behind those that were announced before.
    bool announce(const Announcement &announcement, absl::Time now);
    /// A piece has arrived. False if it exceeds the credit of its sender.
    bool onReceived(AttemptId attempt, std::size_t bytes, absl::Time now);
    /// Forgets a body that is complete or no longer wanted.
    void remove(AttemptId attempt, absl::Time now);
    /// Credit to give now. To be called after each of the above and, while bodies are announced,
    /// every 20 ms.
    std::vector<Grant> takeGrants(absl::Time now);
    /// Bodies that can no longer arrive in time; to be removed.
    std::vector<AttemptId> overdue(absl::Time now) const;

    bool isEmpty() const { return m_transfers.empty(); }
    /// Time until a body that is announced now begins to arrive.
    absl::Duration backlogTime() const;

private:
    struct Transfer
    {
        Announcement announcement;
        std::size_t granted = 0;
        std::size_t received = 0;
        absl::Time lastProgress;

        std::size_t unusedCredit() const { return granted - received; }
        std::size_t remaining() const { return announcement.bytes - received; }
    };

    std::list<Transfer>::iterator find(AttemptId attempt);
    absl::Duration transmitTime(std::size_t bytes) const;
    std::size_t unusedCredit(absl::Time now) const;
    void measureRate(std::size_t bytes, absl::Time now);

    double m_linkBytesPerSecond; ///< 0 if unknown.
    double m_bytesPerSecond;     ///< As observed; at most m_linkBytesPerSecond.
    std::size_t m_windowBytes;
    std::size_t m_pieceBytes;
    /// Those that have credit first, then by urgency and time of the announcement.
    std::list<Transfer> m_transfers;
    /// Begin of the current measurement of the rate; none while no body is being transferred.
    std::optional<absl::Time> m_measureStart;
    std::size_t m_measuredBytes = 0;
};

} // namespace godwitlift
