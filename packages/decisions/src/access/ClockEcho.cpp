/// \file
/// Choice of the reading that gives the closest bound.
#include "godwitlift/access/ClockEcho.h"

#include <algorithm>

namespace godwitlift {

std::optional<absl::Duration> EchoedTime::lowerBound(absl::Duration now) const
{
    if (reading <= absl::ZeroDuration() || reading > now)
        return std::nullopt;
    return std::min(reading + offset, now);
}

void ClockEcho::onReading(absl::Duration sent, absl::Duration received)
{
    const bool isCloser = received - sent < m_received - m_sent;
    if (isRenewalDue(received) || isCloser) {
        m_sent = sent;
        m_received = received;
    }
}

std::optional<EchoedTime> ClockEcho::echo(absl::Duration time, absl::Duration now) const
{
    if (now - m_received > MaxAge)
        return std::nullopt;
    return EchoedTime{ m_sent, time - m_received };
}

} // namespace godwitlift
