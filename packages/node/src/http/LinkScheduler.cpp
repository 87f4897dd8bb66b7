/// \file
/// One answer after the other, a piece at a time.
#include "http/LinkScheduler.h"

namespace godwitlift {

LinkScheduler::LinkScheduler(asio::io_context &loop, double megabits)
    : m_pacer(megabits)
    , m_timer(loop.get_executor())
{}

void LinkScheduler::requestTurn(std::uint64_t ticket, std::size_t waiting, Turn turn)
{
    m_turns.emplace(ticket, WaitingTurn{ waiting, std::move(turn) });
    run();
}

absl::Duration LinkScheduler::backlog() const
{
    std::size_t bytes = 0;
    for (const auto &[ticket, waiting] : m_turns)
        bytes += waiting.bytes;
    return m_pacer.timeToTransmit(bytes, steadyNow());
}

void LinkScheduler::run()
{
    if (m_isRunning || m_isTimerSet)
        return;
    m_isRunning = true; // A turn may ask for the next one.
    while (!m_turns.empty()) {
        const absl::Duration delay = m_pacer.delay(steadyNow());
        if (delay > absl::ZeroDuration()) {
            m_isTimerSet = true;
            expireAfter(m_timer, delay);
            m_timer.async_wait([this](const boost::system::error_code &error) {
                m_isTimerSet = false;
                if (!error)
                    run();
            });
            break;
        }
        const Turn turn = std::move(m_turns.extract(m_turns.begin()).mapped().turn);
        m_pacer.onSent(turn(), steadyNow());
    }
    m_isRunning = false;
}

} // namespace godwitlift
