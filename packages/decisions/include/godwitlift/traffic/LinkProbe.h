/// \file
/// Decides when a connection to a peer is probed and when it has failed.
#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace godwitlift {

/// Probing of one connection by pings. Not thread-safe.
///
/// A connection that carries requests is probed often, since requests wait on it if it is dead. An
/// idle one is probed rarely: a fleet has far more idle connections than used ones. The first
/// request on an idle connection makes a ping due at once.
class LinkProbe final
{
public:
    static constexpr absl::Duration UsedInterval = absl::Milliseconds(600);
    /// Bounds of the interval on idle connections: the larger of the minimum and the interval per
    /// peer times the peers, so that a node sends at most a hundred such pings a second in a fleet
    /// of any size.
    static constexpr absl::Duration MinIdleInterval = absl::Milliseconds(1800);
    static constexpr absl::Duration IdleIntervalPerPeer = absl::Milliseconds(10);
    /// Time without an answer to a ping after which the connection has failed: round trips take
    /// milliseconds, but a host may be slow or its link congested.
    static constexpr absl::Duration PongTimeout = absl::Milliseconds(1400);
    /// Time without an answer to the hello; a peer that has just started has many to answer.
    static constexpr absl::Duration HelloTimeout = absl::Milliseconds(2000);
    /// Time after its latest request in which a connection counts as used.
    static constexpr absl::Duration UseExpiry = absl::Seconds(3);
    static absl::Duration idleInterval(std::size_t peerCount);
    /// Longest time without data from a peer whose connection works: two idle intervals, after
    /// which the peer itself has given the connection up.
    static absl::Duration silenceLimit(std::size_t peerCount)
    {
        return 2 * idleInterval(peerCount) + PongTimeout;
    }

    /// A hello has been sent on a new connection.
    void onConnected(absl::Time now)
    {
        m_lastPing = now;
        m_unansweredSince = now + (HelloTimeout - PongTimeout);
    }
    void onUsed(absl::Time now) { m_lastUse = now; }
    void onPingSent(absl::Time now);
    /// The peer has answered a ping or the hello.
    void onAnswer() { m_unansweredSince = absl::InfiniteFuture(); }
    bool isPingDue(absl::Time now, std::size_t peerCount) const;
    bool hasFailed(absl::Time now) const { return now - m_unansweredSince > PongTimeout; }

private:
    absl::Time m_lastUse = absl::InfinitePast();
    absl::Time m_lastPing = absl::InfinitePast();
    /// When the oldest ping without an answer was sent; infinite future if there is none.
    absl::Time m_unansweredSince = absl::InfiniteFuture();
};

} // namespace godwitlift
