/// \file
/// Schedules large answers on the host's network link.
#pragma once

#include "http/Network.h"

#include "godwitlift/traffic/LinkPacer.h"

#include <cstdint>
#include <functional>
#include <map>

namespace godwitlift {

/// Sends large answers one after the other, piece by piece, at the rate of the link. One per node;
/// it outlives its users.
class LinkScheduler final
{
public:
    /// Sends one piece and returns its size in bytes; 0 if there is nothing left to send.
    using SendCallback = std::function<std::size_t()>;

    /// \p linkMbps is the link's bandwidth in Mbit/s; 0 if unknown, which disables pacing.
    LinkScheduler(asio::io_context &loop, double linkMbps);

    /// Accounts for bytes that were sent without scheduleSend().
    void recordUnscheduledSend(std::size_t bytes) { m_pacer.onSent(bytes, steadyNow()); }
    std::size_t pieceBytes() const { return m_pacer.pieceBytes(); }
    /// Position of a new answer in the sending order. An answer that has begun is finished before
    /// later ones, since sharing the link evenly would delay all of them.
    std::uint64_t nextTicket() { return ++m_lastTicket; }
    /// Calls \p send once, before this returns or later; lower tickets come first. \p queuedBytes
    /// is the size of all that the sender still has to send by this function.
    void scheduleSend(std::uint64_t ticket, std::size_t queuedBytes, SendCallback send);
    /// Time that a new large answer would wait until its first piece is sent.
    absl::Duration backlogTime() const;

private:
    struct PendingSend
    {
        std::size_t queuedBytes = 0;
        SendCallback send;
    };

    void runPendingSends();

    LinkPacer m_pacer;
    LoopTimer m_timer;
    std::multimap<std::uint64_t, PendingSend> m_pendingSends; ///< By ticket.
    std::uint64_t m_lastTicket = 0;
    bool m_isRunning = false;
    bool m_isTimerSet = false;
};

} // namespace godwitlift
