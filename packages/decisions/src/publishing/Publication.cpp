/// \file
/// Steps of a publication.
#include "godwitlift/publishing/Publication.h"

#include "godwitlift/configuration/ConfigurationCodec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace godwitlift {

namespace {

/// A plan is rebased if its base is at most this many versions behind the head; otherwise the
/// publication ends with a conflict.
constexpr std::size_t RebaseVersionLimit = 64;

std::vector<std::string> changedItemNames(const ConfigurationDelta &delta)
{
    std::vector<std::string> names;
    for (const ItemName &item : delta.changedItems())
        names.push_back(item.text());
    return names;
}

} // namespace

Publication::Publication(Confirmation confirmation, SharedConfiguration currentConfiguration,
                         absl::Time deadline)
    : m_confirmation(std::move(confirmation))
    , m_currentConfiguration(std::move(currentConfiguration))
    , m_deadline(deadline)
{}

PlatformOperation Publication::begin()
{
    return *issueOperation(Step::ReadOperationRow,
                           FetchRow{ operationKey(m_confirmation.operation) });
}

Publication::NextOperation Publication::issueOperation(Step step, PlatformOperation operation)
{
    m_step = step;
    m_lastOperation = operation;
    return operation;
}

Publication::NextOperation Publication::finish(PublicationOutcome outcome)
{
    m_outcome = std::move(outcome);
    return std::nullopt;
}

Publication::NextOperation Publication::onAnswer(const PlatformAnswer &answer, absl::Time now)
{
    m_answerTime = now;
    if (m_step == Step::Commit)
        return answer.outcome == PlatformOutcome::Unavailable ? retryOrFail(answer, now)
                                                              : onCommit(answer);
    if (answer.outcome == PlatformOutcome::Unavailable
        || answer.outcome == PlatformOutcome::Unknown)
        return retryOrFail(answer, now);
    switch (m_step) {
    case Step::ReadOperationRow:
        return onOperationRow(answer);
    case Step::ReadHead:
        return onHead(answer);
    case Step::ReadHistory:
        return onHistory(answer);
    case Step::ReadHeadVersion:
        return onHeadVersion(answer);
    case Step::ReadHeadSnapshot:
        return onHeadSnapshot(answer);
    case Step::PutSnapshot:
        return issueOperation(Step::PutDelta,
                              PutObject{ m_newRecord.deltaObjectName(), encode(m_plan->delta()) });
    case Step::PutDelta:
        return issueOperation(Step::Commit, commitTransaction());
    case Step::Commit:
        break;
    }
    return std::nullopt;
}

Publication::NextOperation Publication::retryOrFail(const PlatformAnswer &answer, absl::Time now)
{
    if (now < m_deadline)
        return m_lastOperation;
    return finish(PublishingFailed{
            absl::StrCat("platform request failed: ", std::string(name(answer.outcome))),
            m_commitUnresolved });
}

Publication::NextOperation Publication::onOperationRow(const PlatformAnswer &answer)
{
    if (answer.outcome == PlatformOutcome::Ok && !answer.rows.empty()) {
        if (auto record = versionFromRow(answer.rows.front()))
            return finish(Published{ std::move(*record) });
        return finish(PublishingFailed{ "the operation row is malformed", false });
    }
    return issueOperation(Step::ReadHead, FetchRow{ headKey() });
}

Publication::NextOperation Publication::onHead(const PlatformAnswer &answer)
{
    m_head = HeadRecord();
    if (answer.outcome == PlatformOutcome::Ok && !answer.rows.empty()) {
        const auto head = headFromRow(answer.rows.front());
        if (!head)
            return finish(PublishingFailed{ "the head row is malformed", false });
        m_head = *head;
    }
    if (m_confirmation.baseVersion > m_head.version)
        return finish(Conflict{ absl::StrCat("the plan is based on version ",
                                             m_confirmation.baseVersion.value(), ", the head is ",
                                             m_head.version.value()) });
    if (m_head.version == m_confirmation.baseVersion) // No later versions to check for conflicts.
        return onHistory(PlatformAnswer{ {}, PlatformOutcome::Ok, {}, {} });
    if (m_head.version.value() - m_confirmation.baseVersion.value() > RebaseVersionLimit)
        return finish(Conflict{ absl::StrCat("the head has advanced to version ",
                                             m_head.version.value(), "; plan again") });
    return issueOperation(Step::ReadHistory,
                          ScanRows{ versionPrefix(), versionKey(m_confirmation.baseVersion),
                                    RebaseVersionLimit });
}

Publication::NextOperation Publication::onHistory(const PlatformAnswer &answer)
{
    const std::vector<std::string> names = changedItemNames(m_confirmation.delta);
    const std::set<std::string> ownItems(names.begin(), names.end());
    for (const TableRow &row : answer.rows) {
        const auto other = versionFromRow(row);
        if (!other)
            return finish(PublishingFailed{ "a version row is malformed", false });
        for (const std::string &changedItem : other->changedItems) {
            if (ownItems.contains(changedItem))
                return finish(Conflict{ absl::StrCat(
                        changedItem, " was changed by ", other->author, " in version ",
                        other->version.value(), " (operation ", other->operation.value(), ")") });
        }
    }
    if (m_currentConfiguration->version == m_head.version)
        return planAgainst(*m_currentConfiguration, m_answerTime);
    if (m_head.version == Version())
        return planAgainst(VersionedConfiguration(), m_answerTime);
    return issueOperation(Step::ReadHeadVersion, FetchRow{ versionKey(m_head.version) });
}

Publication::NextOperation Publication::onHeadVersion(const PlatformAnswer &answer)
{
    if (answer.rows.empty())
        return finish(PublishingFailed{ "the head's version row is missing", false });
    const auto record = versionFromRow(answer.rows.front());
    if (!record)
        return finish(PublishingFailed{ "the head's version row is malformed", false });
    return issueOperation(Step::ReadHeadSnapshot, FetchObject{ record->snapshotObjectName() });
}

Publication::NextOperation Publication::onHeadSnapshot(const PlatformAnswer &answer)
{
    std::string problem;
    auto content = valueOrErrorText([&] { return decodeConfiguration(answer.content); }, problem);
    if (!content || digestOf(*content) != m_head.digest)
        return finish(PublishingFailed{ "the head's snapshot is missing or damaged", false });
    VersionedConfiguration base;
    base.version = m_head.version;
    base.digest = m_head.digest;
    base.content = std::move(*content);
    return planAgainst(base, m_answerTime);
}

Publication::NextOperation Publication::planAgainst(const VersionedConfiguration &base,
                                                    absl::Time now)
{
    std::string problem;
    auto plan = valueOrErrorText([&] { return Plan::make(base, m_confirmation.delta); }, problem);
    if (!plan) {
        if (base.version != m_confirmation.baseVersion)
            return finish(Conflict{ absl::StrCat("the plan is no longer valid on version ",
                                                 base.version.value(), ": ", problem) });
        return finish(PlanRejected{ problem });
    }
    if (plan->changesDigest() != m_confirmation.changesDigest)
        return finish(
                Conflict{ "the plan now yields other changes than were confirmed; plan again" });
    if (plan->isEmpty())
        return finish(PlanRejected{ "the plan changes nothing" });
    m_plan = std::move(plan);
    m_newRecord.version = base.version.next();
    m_newRecord.digest = digestOf(m_plan->target());
    m_newRecord.operation = m_confirmation.operation;
    m_newRecord.author = m_confirmation.author;
    m_newRecord.note = m_confirmation.note;
    m_newRecord.publishedUnixMs = absl::ToUnixMillis(now);
    m_newRecord.changedItems = changedItemNames(m_plan->delta());
    return issueOperation(Step::PutSnapshot,
                          PutObject{ m_newRecord.snapshotObjectName(), encode(m_plan->target()) });
}

Transact Publication::commitTransaction() const
{
    const RowCondition headCondition = m_head.version == Version()
                                               ? RowCondition::absent()
                                               : RowCondition::revisionIs(m_head.version.value());
    return { { { toRow(HeadRecord{ m_newRecord.version, m_newRecord.digest }), headCondition },
               { toRow(m_newRecord), RowCondition::absent() },
               { toOperationRow(m_newRecord), RowCondition::absent() } } };
}

Publication::NextOperation Publication::onCommit(const PlatformAnswer &answer)
{
    if (answer.outcome == PlatformOutcome::Ok)
        return finish(Published{ m_newRecord });
    if (answer.outcome == PlatformOutcome::Unknown)
        m_commitUnresolved = true;
    // Reading the operation's row resolves both a lost answer and a failed condition.
    return issueOperation(Step::ReadOperationRow,
                          FetchRow{ operationKey(m_confirmation.operation) });
}

} // namespace godwitlift
