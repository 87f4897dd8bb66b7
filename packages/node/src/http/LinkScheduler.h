/// \file
/// Turns of large answers on the host's link.
#pragma once

#include "http/Network.h"

#include "godwitlift/traffic/LinkPacer.h"

#include <cstdint>
#include <functional>
#include <map>

namespace godwitlift {

/// Lets senders of large answers take turns, a piece each, at the pace of the link. One per node;
/// it outlives its users.
class LinkScheduler final
{
public:
    /// Sends a piece and returns its size; 0 if there is nothing left to send.
    using Turn = std::function<std::size_t()>;

    /// \p megabits is the link's bandwidth in Mbit/s; 0 if it is unknown: every turn comes at once.
    LinkScheduler(asio::io_context &loop, double megabits);

    /// Counts what was sent without a turn.
    void sent(std::size_t bytes) { m_pacer.onSent(bytes, steadyNow()); }
    std::size_t pieceBytes() const { return m_pacer.pieceBytes(); }
    /// Place in the order of answers. One that is begun is finished before later ones: sharing the
    /// link evenly would delay all of them.
    std::uint64_t nextTicket() { return ++m_lastTicket; }
    /// Calls \p turn once, before this returns or later. Lower tickets come first. \p waiting is
    /// the size in bytes of all that its sender has to send in turns.
    void requestTurn(std::uint64_t ticket, std::size_t waiting, Turn turn);
    /// Time that a large answer waits before its own first turn.
    absl::Duration backlog() const;

private:
    struct WaitingTurn
    {
        std::size_t bytes = 0;
        Turn turn;
    };

    void run();

    LinkPacer m_pacer;
    LoopTimer m_timer;
    std::multimap<std::uint64_t, WaitingTurn> m_turns; ///< By ticket.
    std::uint64_t m_lastTicket = 0;
    bool m_isRunning = false;
    bool m_isTimerSet = false;
};

} // namespace godwitlift
