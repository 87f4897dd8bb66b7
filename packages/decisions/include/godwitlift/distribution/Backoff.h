/// \file
/// Full-jitter exponential backoff.
#pragma once

#include "godwitlift/base/RandomSource.h"

#include <absl/time/time.h>

namespace godwitlift {

/// Delays before the next attempt: uniform between zero and a ceiling that doubles per failure.
class Backoff final
{
public:
    Backoff(absl::Duration base, absl::Duration ceiling)
        : m_base(base)
        , m_ceiling(ceiling)
    {}

    /// Delay after one more failure.
    absl::Duration failed(RandomSource &random);
    void succeeded() { m_failures = 0; }
    int failures() const { return m_failures; }

private:
    absl::Duration m_base;
    absl::Duration m_ceiling;
    int m_failures = 0;
};

} // namespace godwitlift
