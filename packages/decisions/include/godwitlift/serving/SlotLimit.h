/// \file
/// How many requests a backend server is given at a time.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace godwitlift {

/// The announced slots, lowered while the backend server is cold or sheds load. Not thread-safe.
///
/// Shedding lowers the limit by a fifth at most once per ReactionTime; every answer raises it again
/// by a fraction of a slot, so that a limit that was lowered recovers within tens of answers.
class SlotLimit final
{
public:
    static constexpr absl::Duration ReactionTime = absl::Milliseconds(200);

    /// \p leastShare is the part of the slots that shedding never takes away. A backend server
    /// that states its slots exactly sheds for another reason than their number.
    SlotLimit(std::uint32_t slots, absl::Time started, absl::Duration slowStart,
              double leastShare = 0);

    void update(std::uint32_t slots, absl::Time started, absl::Duration slowStart);
    /// At least 1.
    std::uint32_t current(absl::Time now) const;
    void answered();
    void shed(std::uint32_t inUse, absl::Time now);

private:
    double m_leastShare;
    std::uint32_t m_slots;
    absl::Time m_started;
    absl::Duration m_slowStart;
    double m_learnt; ///< Limit learnt from shedding; at most m_slots.
    absl::Time m_lowered = absl::InfinitePast();
};

} // namespace godwitlift
