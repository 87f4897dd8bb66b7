/// \file
/// Transitions between polls, reads and waiting for confirmations.
#include "godwitlift/traffic/ConfigurationFollower.h"

#include <algorithm>

namespace godwitlift {

void ConfigurationFollower::start(bool isFirstStart, absl::Duration now)
{
    if (isFirstStart)
        m_lease.beginFirstStart(now);
}

bool ConfigurationFollower::isLeaseRead(absl::Duration now) const
{
    const bool isWaitingForPoll = m_awaited && m_awaited->request.isLongPoll();
    return (!m_awaited || isWaitingForPoll)
           && now >= m_lease.nextRead(m_role.rank, m_role.nodeCount);
}

std::optional<FollowerCall> ConfigurationFollower::tick(absl::Duration now)
{
    // Another node has become the watcher since the poll was scheduled.
    if (m_scheduled && !m_role.isWatching && !m_watch.needsFullRead())
        m_scheduled.reset();
    if (m_scheduled && now >= m_scheduledTime)
        return send(*m_scheduled, now);
    if (m_scheduled)
        return std::nullopt;
    if (isLeaseRead(now))
        return send(m_watch.readRequest(), now);
    if (m_role.isWatching && m_isStarted && !m_awaited) {
        WatchRequest request = m_watch.readRequest();
        if (request.isWatch && !m_watch.isFailing())
            request.longPollTimeout = m_lease.pollTimeout();
        return send(request, now);
    }
    return std::nullopt;
}

absl::Duration ConfigurationFollower::nextTick() const
{
    if (m_scheduled)
        return m_scheduledTime;
    if (m_awaited && !m_awaited->request.isLongPoll())
        return absl::InfiniteDuration();
    return m_lease.nextRead(m_role.rank, m_role.nodeCount);
}

FollowerCall ConfigurationFollower::send(const WatchRequest &request, absl::Duration now)
{
    m_scheduled.reset();
    m_awaited = FollowerCall{ ++m_lastNumber, request, now };
    return *m_awaited;
}

void ConfigurationFollower::schedule(const WatchRequest &request, absl::Duration now)
{
    m_scheduled = request;
    m_scheduledTime = now + request.delay;
}

std::optional<ConfigurationConfirmation>
ConfigurationFollower::onAnswer(const FollowerCall &call, WatchResult result,
                                StorePosition position, Version version, absl::Duration now)
{
    const bool isAwaited = m_awaited && m_awaited->number == call.number;
    if (!isAwaited && result == WatchResult::Failed)
        return std::nullopt; // Another call has been made in its place.
    if (isAwaited) {
        m_awaited.reset();
        m_isStarted = true;
    }
    const WatchRequest next = m_watch.onResult(call.request, result, position);
    if (!m_awaited) {
        // A watcher keeps polling; others only complete a read.
        if (m_role.isWatching || (m_watch.needsFullRead() && result != WatchResult::Failed))
            schedule(next, now);
        else if (result == WatchResult::Failed)
            m_lease.onReadFailed(m_role.nodeCount - 1, m_random, now);
    }
    if (result == WatchResult::Failed || m_watch.needsFullRead())
        return std::nullopt;
    // An answer reflects the store at the time of the request at least; a poll that ends without a
    // change, at the end of its timeout.
    const absl::Duration waited =
            result == WatchResult::Unchanged ? call.request.longPollTimeout : absl::ZeroDuration();
    const absl::Duration asOf = now - call.sent >= waited ? call.sent + waited : call.sent;
    m_lease.onConfirmed(asOf);
    m_provenAsOf = std::max(m_provenAsOf, asOf);
    return ConfigurationConfirmation{ version, m_watch.position(), asOf, asOf };
}

void ConfigurationFollower::onPeerConfirmation(const ConfigurationConfirmation &confirmation,
                                               Version version)
{
    const bool isSameVersion =
            m_peerConfirmation && confirmation.version == m_peerConfirmation->version;
    const absl::Duration provenBefore =
            isSameVersion ? m_peerConfirmation->provenAsOf : -absl::InfiniteDuration();
    if (!m_peerConfirmation || confirmation.version >= m_peerConfirmation->version) {
        m_peerConfirmation = confirmation;
        m_peerConfirmation->provenAsOf = std::max(confirmation.provenAsOf, provenBefore);
    }
    onVersionFromPeer(version);
}

void ConfigurationFollower::onVersionFromPeer(Version version)
{
    if (!m_peerConfirmation || m_peerConfirmation->version != version)
        return;
    m_watch.adopt(m_peerConfirmation->position);
    m_lease.onConfirmed(m_peerConfirmation->asOf);
    m_provenAsOf = std::max(m_provenAsOf, m_peerConfirmation->provenAsOf);
    m_isStarted = true;
}

std::optional<ConfigurationConfirmation> ConfigurationFollower::latestProof(Version version) const
{
    if (m_provenAsOf == -absl::InfiniteDuration() || m_watch.needsFullRead())
        return std::nullopt;
    return ConfigurationConfirmation{ version, m_watch.position(), m_provenAsOf, m_provenAsOf };
}

} // namespace godwitlift
