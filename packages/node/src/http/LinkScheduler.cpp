/// \file
/// Paced sending of large answers in ticket order.
#include "http/LinkScheduler.h"

namespace godwitlift {

LinkScheduler::LinkScheduler(asio::io_context &loop, double linkMbps)
    : m_pacer(linkMbps)
    , m_timer(loop.get_executor())
{}

void LinkScheduler::scheduleSend(std::uint64_t ticket, std::size_t queuedBytes, SendCallback send)
{
    m_pendingSends.emplace(ticket, PendingSend{ queuedBytes, std::move(send) });
    runPendingSends();
}

absl::Duration LinkScheduler::backlogTime() const
{
    std::size_t bytes = 0;
    for (const auto &[ticket, pending] : m_pendingSends)
        bytes += pending.queuedBytes;
    return m_pacer.timeToTransmit(bytes, steadyNow());
}

void LinkScheduler::runPendingSends()
{
    if (m_isRunning || m_isTimerSet)
        return;
    m_isRunning = true; // A callback may schedule the next send.
    while (!m_pendingSends.empty()) {
        const absl::Duration delay = m_pacer.delay(steadyNow());
        if (delay > absl::ZeroDuration()) {
            m_isTimerSet = true;
            expireAfter(m_timer, delay);
            m_timer.async_wait([this](const boost::system::error_code &error) {
                m_isTimerSet = false;
                if (!error)
                    runPendingSends();
            });
            break;
        }
        const SendCallback send =
                std::move(m_pendingSends.extract(m_pendingSends.begin()).mapped().send);
        m_pacer.onSent(send(), steadyNow());
    }
    m_isRunning = false;
}

} // namespace godwitlift
