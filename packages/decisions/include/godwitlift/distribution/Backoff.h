/// \file
/// Full-jitter exponential backoff.
#pragma once

#include "godwitlift/base/RandomSource.h"

#include <absl/time/time.h>

namespace godwitlift {

/// Retry delays: uniform between zero and a bound that doubles with each failure, up to a ceiling.
class Backoff final
{
public:
    Backoff(absl::Duration base, absl::Duration ceiling)
        : m_base(base)
        , m_ceiling(ceiling)
    {}

    /// Records a failure and returns the delay before the next attempt.
    absl::Duration delayAfterFailure(RandomSource &random);
    void reset() { m_failures = 0; }
    int failures() const { return m_failures; }

private:
    absl::Duration m_base;
    absl::Duration m_ceiling;
    int m_failures = 0;
};

} // namespace godwitlift
