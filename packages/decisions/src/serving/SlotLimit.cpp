/// \file
/// Slow start and the adaptive limit.
#include "godwitlift/serving/SlotLimit.h"

#include <algorithm>

namespace godwitlift {

namespace {

constexpr double ColdShare = 0.2; ///< Share of the slots a cold backend server starts with.
constexpr double Decrease = 0.8;
constexpr double Increase = 0.5; ///< Slots regained per `limit` answers.

} // namespace

SlotLimit::SlotLimit(std::uint32_t slots, absl::Time started, absl::Duration slowStart,
                     double leastShare)
    : m_leastShare(leastShare)
    , m_slots(slots)
    , m_started(started)
    , m_slowStart(slowStart)
    , m_learnt(slots)
{}

void SlotLimit::update(std::uint32_t slots, absl::Time started, absl::Duration slowStart)
{
    if (slots != m_slots || started != m_started)
        m_learnt = slots;
    m_slots = slots;
    m_started = started;
    m_slowStart = slowStart;
}

std::uint32_t SlotLimit::current(absl::Time now) const
{
    double limit = std::min(m_learnt, static_cast<double>(m_slots));
    const absl::Duration age = now - m_started;
    if (age < m_slowStart) {
        const double warmth = std::max(0.0, absl::FDivDuration(age, m_slowStart));
        limit = std::min(limit, m_slots * (ColdShare + (1 - ColdShare) * warmth));
    }
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(limit));
}

void SlotLimit::answered()
{
    m_learnt = std::min<double>(m_slots, m_learnt + Increase / std::max(1.0, m_learnt));
}

void SlotLimit::shed(std::uint32_t inUse, absl::Time now)
{
    if (now - m_lowered < ReactionTime)
        return;
    m_lowered = now;
    const double least = std::max(1.0, m_slots * m_leastShare);
    m_learnt = std::max(least, std::min<double>(inUse, m_learnt) * Decrease);
}

} // namespace godwitlift
