/// \file
/// Slow start, and additive increase and multiplicative decrease of the limit.
#include "godwitlift/serving/SlotLimit.h"

#include <algorithm>

namespace godwitlift {

namespace {

constexpr double SlowStartShare = 0.2; ///< Share of the slots at the beginning of slow start.
constexpr double DecreaseFactor = 0.8;
constexpr double SlotsRegainedPerRound = 0.5; ///< A round is as many answers as the limit.

} // namespace

SlotLimit::SlotLimit(std::uint32_t slots, absl::Time serverStart, absl::Duration slowStart,
                     double minShare)
    : m_minShare(minShare)
    , m_slots(slots)
    , m_serverStart(serverStart)
    , m_slowStart(slowStart)
    , m_adaptiveLimit(slots)
{}

void SlotLimit::update(std::uint32_t slots, absl::Time serverStart, absl::Duration slowStart)
{
    if (slots != m_slots || serverStart != m_serverStart)
        m_adaptiveLimit = slots;
    m_slots = slots;
    m_serverStart = serverStart;
    m_slowStart = slowStart;
}

std::uint32_t SlotLimit::current(absl::Time now) const
{
    double limit = std::min(m_adaptiveLimit, static_cast<double>(m_slots));
    const absl::Duration age = now - m_serverStart;
    if (age < m_slowStart) {
        const double progress = std::max(0.0, absl::FDivDuration(age, m_slowStart));
        limit = std::min(limit, m_slots * (SlowStartShare + (1 - SlowStartShare) * progress));
    }
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(limit));
}

void SlotLimit::onAnswered()
{
    m_adaptiveLimit = std::min<double>(
            m_slots, m_adaptiveLimit + SlotsRegainedPerRound / std::max(1.0, m_adaptiveLimit));
}

void SlotLimit::onShed(std::uint32_t inUse, absl::Time now)
{
    if (now - m_lastDecrease < MinDecreaseInterval)
        return;
    m_lastDecrease = now;
    const double minLimit = std::max(1.0, m_slots * m_minShare);
    m_adaptiveLimit = std::max(minLimit, std::min<double>(inUse, m_adaptiveLimit) * DecreaseFactor);
}

} // namespace godwitlift
