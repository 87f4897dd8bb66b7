/// \file
/// State changes of the host's own backend server.
#include "godwitlift/traffic/ServerLifecycle.h"

#include <algorithm>

namespace godwitlift {

std::string_view name(ServerState state)
{
    switch (state) {
    case ServerState::Absent:
        return "absent";
    case ServerState::Ready:
        return "ready";
    case ServerState::Draining:
        return "draining";
    }
    return "unknown";
}

LifecycleChange ServerLifecycle::markDrained(const BackendServerId &id, std::int64_t startedUnixMs)
{
    m_drained.add({ id, startedUnixMs });
    return updateState(false);
}

void ServerLifecycle::awaitDrainRecall()
{
    m_isRecallAwaited = true;
    m_isConfirmationRequired = true;
}

LifecycleChange ServerLifecycle::onDrainsRecalled()
{
    m_isRecallAwaited = false;
    return updateState(false);
}

LifecycleChange ServerLifecycle::onFirstStart()
{
    m_isRecallAwaited = false;
    m_isConfirmationRequired = false;
    return updateState(false);
}

bool ServerLifecycle::needsProbe() const
{
    return m_isConfirmationRequired && !m_isConfirmed && !m_isLost && !m_current.id.isEmpty()
           && !m_current.isDraining && !hasDrained(m_current);
}

bool ServerLifecycle::hasDrained(const ServerAnnouncement &announcement) const
{
    return m_drained.covers(announcement.id, announcement.startedUnixMs);
}

ServerState ServerLifecycle::determineState() const
{
    if (m_isLost || m_current.id.isEmpty())
        return ServerState::Absent;
    if (m_current.isDraining || hasDrained(m_current))
        return ServerState::Draining;
    return needsProbe() ? ServerState::Absent : ServerState::Ready;
}

LifecycleChange ServerLifecycle::updateState(bool isOtherProcess)
{
    const ServerState previousState = m_state;
    m_state = determineState();
    if (m_state == previousState && (!isOtherProcess || m_state == ServerState::Absent))
        return LifecycleChange::None;
    switch (m_state) {
    case ServerState::Ready:
        return LifecycleChange::Started;
    case ServerState::Draining:
        return LifecycleChange::Draining;
    case ServerState::Absent:
        return LifecycleChange::Lost;
    }
    return LifecycleChange::None;
}

bool ServerLifecycle::isStale(const ServerAnnouncement &announcement) const
{
    if (m_current.id.isEmpty())
        return false;
    const bool isCurrentId = announcement.id == m_current.id;
    if (isCurrentId && m_current.startedUnixMs == 0 && announcement.startedUnixMs != 0)
        return false;
    // The order of two processes is unknown until the start times of both are known.
    if (!isCurrentId && m_current.startedUnixMs == 0 && m_state == ServerState::Ready
        && hasDrained(announcement))
        return true;
    if (announcement.startedUnixMs != m_current.startedUnixMs)
        return announcement.startedUnixMs < m_current.startedUnixMs;
    return isCurrentId && announcement.sequence <= m_current.sequence;
}

LifecycleChange ServerLifecycle::onAnnouncement(const ServerAnnouncement &announcement,
                                                absl::Time now)
{
    const bool isCurrentId = announcement.id == m_current.id;
    // A drain is acknowledged even if it is late, so that it is recorded before anything else.
    if (announcement.isDraining) {
        const bool isOfCurrent = isCurrentId && announcement.startedUnixMs == 0;
        m_drained.add({ announcement.id,
                        isOfCurrent ? m_current.startedUnixMs : announcement.startedUnixMs });
    }
    if (isStale(announcement)) {
        const LifecycleChange change = updateState(false);
        return change == LifecycleChange::None ? LifecycleChange::Stale : change;
    }
    // A probe does not tell the start time; the first announcement adds it.
    const bool isOtherProcess = !isCurrentId
                                || (m_current.startedUnixMs != 0
                                    && announcement.startedUnixMs != m_current.startedUnixMs);
    m_processNumber += isOtherProcess ? 1 : 0;
    m_current = announcement;
    m_lastAnnouncement = now;
    m_coldUntil = now + announcement.coldRemaining;
    m_isLost = false;
    if (isOtherProcess)
        resetConfirmation();
    m_firstAnnouncement = std::min(m_firstAnnouncement, now);
    if (!m_isRecallAwaited
        && ((m_unhealthySequence && announcement.sequence > *m_unhealthySequence)
            || now - m_firstAnnouncement > ConfirmationPeriod))
        m_isConfirmed = true;
    return updateState(isOtherProcess);
}

LifecycleChange ServerLifecycle::onHealthyProbe(const BackendServerId &id, std::uint32_t slots)
{
    const bool isOtherProcess = id != m_current.id;
    if (isOtherProcess) {
        ++m_processNumber;
        m_current = ServerAnnouncement();
        m_current.id = id;
        resetConfirmation();
    }
    if (slots != 0)
        m_current.slots = slots;
    m_isLost = false;
    m_isConfirmed = true;
    return updateState(isOtherProcess);
}

void ServerLifecycle::onUnhealthyProbe()
{
    m_unhealthySequence = m_current.sequence;
}

void ServerLifecycle::resetConfirmation()
{
    m_isConfirmed = false;
    m_unhealthySequence.reset();
    m_firstAnnouncement = absl::InfiniteFuture();
}

LifecycleChange ServerLifecycle::onDeregistration(const BackendServerId &id, absl::Time wallClock)
{
    const bool isCurrent = id == m_current.id;
    // A process that is known and already drained has only repeated itself.
    const bool isKnownDrain = isCurrent && m_current.startedUnixMs != 0 && hasDrained(m_current);
    if (!isKnownDrain) {
        const std::int64_t started = isCurrent ? m_current.startedUnixMs : 0;
        m_drained.add({ id, std::max(started, absl::ToUnixMillis(wallClock)) });
    }
    if (!isCurrent && !m_current.id.isEmpty())
        return LifecycleChange::Stale;
    return updateState(false);
}

LifecycleChange ServerLifecycle::onLeavingNotice(absl::Time wallClock)
{
    if (m_current.id.isEmpty())
        return LifecycleChange::None;
    const bool isStartKnown = m_current.startedUnixMs != 0;
    m_drained.add({ m_current.id,
                    isStartKnown ? m_current.startedUnixMs : absl::ToUnixMillis(wallClock) });
    return updateState(false);
}

LifecycleChange ServerLifecycle::onLost()
{
    m_isLost = true;
    resetConfirmation();
    return updateState(false);
}

bool ServerLifecycle::isOverdue(absl::Time now, absl::Duration limit) const
{
    return now - m_lastAnnouncement > limit;
}

} // namespace godwitlift
