/// \file
/// For how long a node may accept keys by what it knows, and when it asks for newer knowledge.
#pragma once

#include <absl/time/time.h>

namespace godwitlift {

/// Bounds the age of the knowledge by which a node accepts keys. Not thread-safe.
///
/// The age is the time since the version in force is proved to have been the newest one. A request
/// that is admitted at an age below the revocation limit was sent before the limit of any later
/// revocation has passed; it does not matter when it runs. All points in time are readings of a
/// clock that also advances while the host is suspended.
class AccessFreshness final
{
public:
    /// Share of the revocation limit up to which keys are accepted. The rest is for a store whose
    /// watches lag behind its acknowledgements, and for clocks of different rates.
    static constexpr double AcceptedShare = 0.8;
    /// Share of the revocation limit from which the node asks peers of all zones. Later than any
    /// read that is due by the lease of the configuration.
    static constexpr double AskShare = 0.5;
    /// Bounds of the time between two questions; it doubles while no answer helps.
    static constexpr absl::Duration MinAskInterval = absl::Milliseconds(200);
    static constexpr absl::Duration MaxAskInterval = absl::Seconds(2);

    /// \p revocationLimit is infinite where revocations are not strict.
    explicit AccessFreshness(absl::Duration revocationLimit)
        : m_limit(revocationLimit)
    {}

    void setLimit(absl::Duration revocationLimit) { m_limit = revocationLimit; }
    bool isStrict() const { return m_limit < absl::InfiniteDuration(); }
    /// Whether keys may be accepted by knowledge of that age.
    bool isCurrent(absl::Duration age) const
    {
        return !isStrict() || age <= m_limit * AcceptedShare;
    }
    /// Whether the node has to ask peers now, because its knowledge has reached \p age.
    bool shouldAsk(absl::Duration age, absl::Duration now);

private:
    absl::Duration m_limit;
    absl::Duration m_askInterval = MinAskInterval;
    absl::Duration m_nextAsk = -absl::InfiniteDuration();
};

} // namespace godwitlift
