/// \file
/// Announced bodies, from their announcement to the gate.
#include "peers/BodyReceiver.h"

#include <utility>

namespace godwitlift {

namespace {

/// Interval at which bodies that come too late are refused and stalled senders are noticed.
constexpr absl::Duration CheckInterval = absl::Milliseconds(20);

} // namespace

BodyReceiver::BodyReceiver(asio::io_context &loop, double linkMbps, BackendServerGate &gate)
    : m_gate(gate)
    , m_intake(linkMbps)
    , m_checkTimer(loop.get_executor())
{}

void BodyReceiver::announce(AttemptId key, AttemptRequest request, std::size_t bytes,
                            std::weak_ptr<BodySender> sender)
{
    const absl::Time now = steadyNow();
    std::optional<Reason> refusal = m_gate.reasonToRefuse(request);
    if (!refusal
        && !m_intake.announce({ key, bytes, request.urgency, m_gate.latestArrival(request) }, now))
        refusal = Reason::LinkBusy;
    m_bodies[key] = { std::move(request), {}, bytes, std::move(sender) };
    if (refusal) {
        refuse(key, *refusal);
        return;
    }
    grantCredit();
    scheduleCheck();
}

bool BodyReceiver::onPiece(AttemptId key, std::string_view data)
{
    const auto it = m_bodies.find(key);
    if (it == m_bodies.end())
        return true; // It was refused while the piece was on its way.
    if (!m_intake.onReceived(key, data.size(), steadyNow()))
        return false;
    Body &body = it->second;
    if (body.received.empty())
        body.received.reserve(body.bytes);
    body.received += data;
    if (body.received.size() == body.bytes) {
        Body complete = std::move(body);
        m_bodies.erase(it);
        m_intake.remove(key, steadyNow());
        complete.request.body = std::make_shared<const std::string>(std::move(complete.received));
        if (const auto sender = complete.sender.lock())
            sender->onBodyComplete(std::move(complete.request));
    }
    grantCredit();
    return true;
}

bool BodyReceiver::cancel(AttemptId key)
{
    if (m_bodies.erase(key) == 0)
        return false;
    m_intake.remove(key, steadyNow());
    grantCredit();
    return true;
}

void BodyReceiver::refuse(AttemptId key, Reason reason)
{
    const auto it = m_bodies.find(key);
    const Body body = std::move(it->second);
    m_bodies.erase(it);
    m_intake.remove(key, steadyNow());
    m_gate.recordRefusal(body.request, reason);
    if (const auto sender = body.sender.lock())
        sender->onBodyRefused(body.request.id, reason);
}

void BodyReceiver::grantCredit()
{
    for (const BodyIntake::Grant &grant : m_intake.takeGrants(steadyNow())) {
        const Body &body = m_bodies.at(grant.attempt);
        if (const auto sender = body.sender.lock())
            sender->requestBody(body.request.id, grant.bytes);
    }
}

void BodyReceiver::scheduleCheck()
{
    if (m_isCheckScheduled || m_intake.isEmpty())
        return;
    m_isCheckScheduled = true;
    expireAfter(m_checkTimer, CheckInterval);
    m_checkTimer.async_wait([this](const boost::system::error_code &error) {
        m_isCheckScheduled = false;
        if (error)
            return;
        for (const AttemptId key : m_intake.overdue(steadyNow()))
            refuse(key, Reason::LinkBusy);
        grantCredit();
        scheduleCheck();
    });
}

} // namespace godwitlift
