/// \file
/// Decides when a node reads the configuration itself, since nobody has confirmed it for too long.
#pragma once

#include "godwitlift/base/Failure.h"
#include "godwitlift/base/RandomSource.h"
#include "godwitlift/base/StrongId.h"
#include "godwitlift/traffic/StorePosition.h"

#include <absl/time/time.h>

#include <cstddef>

namespace godwitlift {

/// Statement that a version was the newest one in the store at a point in time.
struct ConfigurationConfirmation
{
    Version version;
    StorePosition position; ///< No row up to here holds a newer version.
    absl::Duration asOf;    ///< Reading of a clock that also advances while the host is suspended.
    /// As asOf, as far as it can be proved without an estimate of transit delays: the version held
    /// all that was published until then. Infinitely long ago if nothing is proved.
    absl::Duration provenAsOf = -absl::InfiniteDuration();
};

/// A node's lease on its version of the configuration. Not thread-safe.
///
/// The watchers of a zone confirm to the others which version is the newest. A confirmation is a
/// lease: a node that gets no further one in time reads the store itself, whatever may have failed
/// between the store and the node. The times are derived from the apply limit, the time in which a
/// version must be in force after the store has acknowledged it, so that the limit holds without
/// any failure being detected first.
///
/// All points in time are readings of a clock that also advances while the host is suspended.
///
/// Invariant: duration() + TakeoverSpread + ReadAllowance is the apply limit.
class ConfigurationLease final
{
public:
    /// Time for a read on a new connection and for bringing its result into force, on a slow host.
    static constexpr absl::Duration ReadAllowance = absl::Milliseconds(450);
    /// Reads of a zone whose leases expire together are spread over this time, so that the first
    /// ones confirm the version to the rest.
    static constexpr absl::Duration TakeoverSpread = absl::Milliseconds(250);
    /// Time by which a lease outlasts a poll: a poll that ends with a change confirms nothing later
    /// than its begin, and is followed by a read after ConfigurationWatch::CoalescingDelay.
    static constexpr absl::Duration PollMargin = absl::Milliseconds(500);
    /// Shortest apply limit that can be kept.
    static constexpr absl::Duration MinApplyLimit = absl::Milliseconds(1500);
    /// Delay of the first read when the whole system starts for the first time: until then nodes
    /// have found each other, and one of each zone reads the store.
    static constexpr absl::Duration FirstStartDelay = absl::Seconds(1);
    /// As TakeoverSpread, for that first read.
    static constexpr absl::Duration FirstStartSpread = absl::Seconds(1);
    /// Bounds of the delay before a failed read is repeated. A node with peers in its zone may wait
    /// longer, since their watcher keeps asking the store.
    static constexpr absl::Duration MinRetryDelay = absl::Milliseconds(250);
    static constexpr absl::Duration MaxRetryDelay = absl::Seconds(2);
    static constexpr absl::Duration MaxIsolatedRetryDelay = absl::Milliseconds(800);

    /// Fails if \p applyLimit is shorter than MinApplyLimit.
    static Result<ConfigurationLease> create(absl::Duration applyLimit);

    /// For how long a confirmation is relied on.
    absl::Duration duration() const { return m_duration; }
    /// How long a watcher's poll may wait at the store.
    absl::Duration pollTimeout() const { return m_duration - PollMargin; }

    /// The whole system starts for the first time: leaves the read to the first nodes of the zone.
    void beginFirstStart(absl::Duration now);
    /// The node's version was the newest one at \p asOf.
    void onConfirmed(absl::Duration asOf);
    /// A read of a node that has \p peerCount peers in its zone has failed.
    void onReadFailed(std::size_t peerCount, RandomSource &random, absl::Duration now);
    /// When the node at place \p rank of the \p nodeCount nodes of its zone reads the store unless
    /// a confirmation comes first. In the past for a node that has just started.
    absl::Duration nextRead(std::size_t rank, std::size_t nodeCount) const;
    /// Time since the node's version was last confirmed; infinite if never.
    absl::Duration age(absl::Duration now) const { return now - m_confirmed; }

private:
    explicit ConfigurationLease(absl::Duration duration)
        : m_duration(duration)
    {}

    absl::Duration m_duration;
    absl::Duration m_confirmed = -absl::InfiniteDuration();
    absl::Duration m_spread = TakeoverSpread;
    absl::Duration m_earliestRetry = -absl::InfiniteDuration();
    absl::Duration m_retryDelay; ///< Zero unless the latest read failed.
};

} // namespace godwitlift
