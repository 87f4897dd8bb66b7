/// \file
/// Steps of a poll.
#include "godwitlift/publishing/PlatformPoller.h"

namespace godwitlift {

PlatformPoller::PlatformPoller(absl::Duration period)
    : m_period(period)
{}

std::optional<PlatformOperation> PlatformPoller::startPollIfDue(absl::Time now)
{
    if (m_step != Step::Idle || now < m_nextPoll)
        return std::nullopt;
    m_nextPoll = now + m_period;
    m_step = Step::Head;
    return FetchRow{ headKey() };
}

std::optional<PlatformOperation> PlatformPoller::finishPoll(bool reachable)
{
    m_step = Step::Idle;
    m_platformReachable = reachable;
    m_pollCompleted = true;
    return std::nullopt;
}

std::optional<PlatformOperation> PlatformPoller::onAnswer(const PlatformAnswer &answer,
                                                          Version heldVersion, PollResult &result)
{
    const Step step = m_step;
    if (step == Step::Idle)
        return std::nullopt;
    if (step == Step::Head && answer.outcome == PlatformOutcome::NotFound)
        return finishPoll(true);
    if (answer.outcome != PlatformOutcome::Ok) {
        const bool reachable = answer.outcome == PlatformOutcome::NotFound;
        if (step == Step::Delta && reachable)
            m_triedDeltaVersion = m_targetRecord.version;
        return finishPoll(reachable);
    }
    switch (step) {
    case Step::Head:
        return onHead(answer, heldVersion);
    case Step::VersionRow:
        return onVersionRow(answer, heldVersion);
    case Step::Delta:
        m_triedDeltaVersion = m_targetRecord.version;
        result = DeltaStep{ Version(m_targetRecord.version.value() - 1), m_targetRecord.version,
                            m_targetRecord.digest, answer.content };
        break;
    case Step::Snapshot:
        result = SnapshotContent{ m_targetRecord.version, m_targetRecord.digest, answer.content };
        break;
    case Step::Idle:
        break;
    }
    return finishPoll(true);
}

std::optional<PlatformOperation> PlatformPoller::onHead(const PlatformAnswer &answer,
                                                        Version heldVersion)
{
    const auto head = answer.rows.empty() ? std::nullopt : headFromRow(answer.rows.front());
    if (!head || head->version <= heldVersion)
        return finishPoll(true);
    m_step = Step::VersionRow;
    return FetchRow{ versionKey(head->version) };
}

std::optional<PlatformOperation> PlatformPoller::onVersionRow(const PlatformAnswer &answer,
                                                              Version heldVersion)
{
    const auto record = answer.rows.empty() ? std::nullopt : versionFromRow(answer.rows.front());
    if (!record || record->version <= heldVersion)
        return finishPoll(true);
    m_targetRecord = *record;
    if (record->version == heldVersion.next() && record->version != m_triedDeltaVersion) {
        m_step = Step::Delta;
        return FetchObject{ record->deltaObjectName() };
    }
    m_step = Step::Snapshot;
    return FetchObject{ record->snapshotObjectName() };
}

} // namespace godwitlift
