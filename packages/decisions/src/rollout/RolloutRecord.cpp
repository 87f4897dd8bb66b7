/// \file
/// Sequence of the reads and conditional writes of a status row.
#include "godwitlift/rollout/RolloutRecord.h"

#include <algorithm>

namespace godwitlift {

namespace {

/// Two phases that the status row does not tell apart are the same there.
RolloutPhase recordedPhase(RolloutPhase phase)
{
    return phase == RolloutPhase::Shift ? RolloutPhase::Trial : phase;
}

} // namespace

RolloutRecordCall RolloutRecord::startCall(const RolloutState &state, absl::Time now)
{
    if (m_isCalling || now < m_nextCall)
        return RolloutRecordCall::None;
    const bool isKnown = m_recorded == recordedPhase(state.phase);
    if (isKnown && (state.isFinal() || now - m_known < m_rereadInterval))
        return RolloutRecordCall::None;
    m_isCalling = true;
    return isKnown || !m_revision ? RolloutRecordCall::Read : RolloutRecordCall::Write;
}

std::optional<RolloutState> RolloutRecord::onRead(const RolloutState &state,
                                                  const RolloutStatusRow &row, absl::Time now,
                                                  std::optional<absl::Time> wallTime)
{
    m_isCalling = false;
    m_known = now;
    m_revision = row.revision;
    m_recorded.reset();
    if (row.status && row.status->order > state.order.revision) {
        // The order that this node knows has been replaced, which it will learn.
        m_revision.reset();
        m_nextCall = now + RetryInterval;
    }
    if (!row.status || row.status->order != state.order.revision)
        return std::nullopt;
    m_recorded = row.status->phase;
    RolloutState read = state;
    read.phase = row.status->phase;
    read.step = 0;
    read.isRecorded = read.isFinal();
    if (wallTime && row.status->orderedUnixMs > 0)
        read.ordered = std::min(
                state.ordered, now - (*wallTime - absl::FromUnixMillis(row.status->orderedUnixMs)));
    return read;
}

std::optional<RolloutState> RolloutRecord::onWritten(const RolloutState &state,
                                                     std::uint64_t revision, absl::Time now)
{
    m_isCalling = false;
    m_known = now;
    m_revision = revision;
    m_recorded = recordedPhase(state.phase);
    if (!state.isFinal())
        return std::nullopt;
    RolloutState recorded = state;
    recorded.isRecorded = true;
    return recorded;
}

void RolloutRecord::onReadFailed(absl::Time now)
{
    m_isCalling = false;
    m_nextCall = now + RetryInterval;
}

void RolloutRecord::onWriteFailed(bool isConflict, absl::Time now)
{
    m_isCalling = false;
    // The write may have been executed, or another node may have written.
    m_revision.reset();
    m_recorded.reset();
    if (!isConflict)
        m_nextCall = now + RetryInterval;
}

RolloutStatus RolloutRecord::statusOf(const RolloutState &state, absl::Time now,
                                      absl::Time wallTime)
{
    RolloutStatus status;
    status.target = state.order.target;
    status.phase = recordedPhase(state.phase);
    status.order = state.order.revision;
    status.orderedUnixMs = absl::ToUnixMillis(wallTime - (now - state.ordered));
    return status;
}

} // namespace godwitlift
