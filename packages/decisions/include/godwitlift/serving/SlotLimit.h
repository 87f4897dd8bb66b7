/// \file
/// Adaptive concurrency limit of one backend server.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace godwitlift {

/// Starts at the announced slots and is reduced while the backend server is in slow start or sheds
/// load. Not thread-safe.
///
/// A shed request reduces the limit by a fifth, at most once per MinDecreaseInterval. Every answer
/// raises it by a fraction of a slot, so that a reduced limit recovers within tens of answers.
class SlotLimit final
{
public:
    static constexpr absl::Duration MinDecreaseInterval = absl::Milliseconds(200);

    /// \p minShare is the share of the slots below which shedding does not reduce the limit. A
    /// backend server that announces its exact number of slots sheds for other reasons than the
    /// number of requests.
    SlotLimit(std::uint32_t slots, absl::Time serverStart, absl::Duration slowStart,
              double minShare = 0);

    void update(std::uint32_t slots, absl::Time serverStart, absl::Duration slowStart);
    /// At least 1.
    std::uint32_t current(absl::Time now) const;
    void onAnswered();
    void onShed(std::uint32_t inUse, absl::Time now);

private:
    double m_minShare;
    std::uint32_t m_slots;
    absl::Time m_serverStart;
    absl::Duration m_slowStart;
    double m_adaptiveLimit; ///< Reduced by shedding; at most m_slots.
    absl::Time m_lastDecrease = absl::InfinitePast();
};

} // namespace godwitlift
