/// \file
/// The steps of a poll.
#include "godwitlift/publishing/PlatformWatcher.h"

namespace godwitlift {

PlatformWatcher::PlatformWatcher(absl::Duration period)
    : m_period(period)
{}

std::optional<PlatformOperation> PlatformWatcher::poll(absl::Time now)
{
    if (m_step != Step::Idle || now < m_due)
        return std::nullopt;
    m_due = now + m_period;
    m_step = Step::Head;
    return FetchRow{ headKey() };
}

std::optional<PlatformOperation> PlatformWatcher::fail(bool reachable)
{
    m_step = Step::Idle;
    m_reachable = reachable;
    m_polled = true;
    return std::nullopt;
}

std::optional<PlatformOperation> PlatformWatcher::advance(const PlatformAnswer &answer,
                                                          Version held, Found &found)
{
    const Step step = m_step;
    if (step == Step::Idle)
        return std::nullopt;
    if (step == Step::Head && answer.outcome == PlatformOutcome::NotFound)
        return fail(true);
    if (answer.outcome != PlatformOutcome::Ok) {
        const bool reachable = answer.outcome == PlatformOutcome::NotFound;
        if (step == Step::Delta && reachable)
            m_failedDelta = m_wanted.version;
        return fail(reachable);
    }
    switch (step) {
    case Step::Head:
        return onHead(answer, held);
    case Step::Row:
        return onRow(answer, held);
    case Step::Delta:
        m_failedDelta = m_wanted.version;
        found = DeltaStep{ Version(m_wanted.version.value() - 1), m_wanted.version, m_wanted.digest,
                           answer.content };
        break;
    case Step::Snapshot:
        found = SnapshotContent{ m_wanted.version, m_wanted.digest, answer.content };
        break;
    case Step::Idle:
        break;
    }
    return fail(true);
}

std::optional<PlatformOperation> PlatformWatcher::onHead(const PlatformAnswer &answer, Version held)
{
    const auto head = answer.rows.empty() ? std::nullopt : headFromRow(answer.rows.front());
    if (!head || head->version <= held)
        return fail(true);
    m_step = Step::Row;
    return FetchRow{ versionKey(head->version) };
}

std::optional<PlatformOperation> PlatformWatcher::onRow(const PlatformAnswer &answer, Version held)
{
    const auto record = answer.rows.empty() ? std::nullopt : versionFromRow(answer.rows.front());
    if (!record || record->version <= held)
        return fail(true);
    m_wanted = *record;
    if (record->version == held.next() && record->version != m_failedDelta) {
        m_step = Step::Delta;
        return FetchObject{ record->deltaName() };
    }
    m_step = Step::Snapshot;
    return FetchObject{ record->snapshotName() };
}

} // namespace godwitlift
