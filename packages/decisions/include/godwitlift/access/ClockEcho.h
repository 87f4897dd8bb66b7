/// \file
/// States points in time by the clock of a peer, without an estimate of transit delays.
#pragma once

#include <absl/time/time.h>

#include <optional>

namespace godwitlift {

/// A point in time, relative to a reading that the peer has sent of its own clock.
struct EchoedTime
{
    absl::Duration reading; ///< Of the peer's clock, as the peer sent it.
    absl::Duration offset;  ///< From the arrival of the reading here; may be negative.

    /// At this time of the peer's clock at the latest; none if the peer cannot have sent the
    /// reading. \p now is the peer's clock.
    std::optional<absl::Duration> lowerBound(absl::Duration now) const;
};

/// Keeps a reading of a peer's clock. Not thread-safe.
///
/// The peer sent the reading before it arrived here. What happened some time after the arrival
/// therefore happened at least that time after the reading, however long messages take in either
/// direction, are held in buffers, or wait for a suspended host. Only the rates of the clocks must
/// agree, and both must advance while their host is suspended.
class ClockEcho final
{
public:
    /// After this time a reading is replaced also by one that took longer to arrive, since the
    /// rates of clocks differ.
    static constexpr absl::Duration PreferredAge = absl::Seconds(30);
    /// Older readings are not used.
    static constexpr absl::Duration MaxAge = absl::Minutes(2);

    /// \p sent is the peer's clock, \p received this node's.
    void onReading(absl::Duration sent, absl::Duration received);
    /// \p time in the peer's terms; none without a recent reading.
    std::optional<EchoedTime> echo(absl::Duration time, absl::Duration now) const;
    bool isRenewalDue(absl::Duration now) const { return now - m_received > PreferredAge; }

private:
    absl::Duration m_sent;
    absl::Duration m_received = -absl::InfiniteDuration(); ///< Infinitely long ago: no reading.
};

} // namespace godwitlift
