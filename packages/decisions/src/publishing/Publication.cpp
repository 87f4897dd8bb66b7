/// \file
/// The steps of a publication.
#include "godwitlift/publishing/Publication.h"

#include "godwitlift/configuration/ConfigurationCodec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace godwitlift {

namespace {

/// A plan that is further behind than this is made anew instead of rebased.
constexpr std::size_t RebaseLimit = 64;

std::vector<std::string> namesOf(const ConfigurationDelta &delta)
{
    std::vector<std::string> names;
    for (const ItemName &item : delta.changedItems())
        names.push_back(item.text());
    return names;
}

} // namespace

Publication::Publication(Confirmation confirmation, SharedConfiguration held, absl::Time deadline)
    : m_confirmation(std::move(confirmation))
    , m_held(std::move(held))
    , m_deadline(deadline)
{}

PlatformOperation Publication::begin()
{
    return *ask(Step::ReadOperation, FetchRow{ operationKey(m_confirmation.operation) });
}

Publication::Next Publication::ask(Step step, PlatformOperation operation)
{
    m_step = step;
    m_last = operation;
    return operation;
}

Publication::Next Publication::finish(PublicationEnd end)
{
    m_end = std::move(end);
    return std::nullopt;
}

Publication::Next Publication::advance(const PlatformAnswer &answer, absl::Time now)
{
    m_now = now;
    if (m_step == Step::MoveHead)
        return answer.outcome == PlatformOutcome::Unavailable ? retryOrFail(answer, now)
                                                              : onMoved(answer);
    if (answer.outcome == PlatformOutcome::Unavailable
        || answer.outcome == PlatformOutcome::Unknown)
        return retryOrFail(answer, now);
    switch (m_step) {
    case Step::ReadOperation:
        return onOperation(answer);
    case Step::ReadHead:
        return onHead(answer);
    case Step::ReadHistory:
        return onHistory(answer);
    case Step::ReadHeadVersion:
        return onHeadVersion(answer);
    case Step::ReadContent:
        return onContent(answer);
    case Step::PutSnapshot:
        return ask(Step::PutDelta, PutObject{ m_record.deltaName(), encode(m_plan->delta()) });
    case Step::PutDelta:
        return ask(Step::MoveHead, headMove());
    case Step::MoveHead:
        break;
    }
    return std::nullopt;
}

Publication::Next Publication::retryOrFail(const PlatformAnswer &answer, absl::Time now)
{
    if (now < m_deadline)
        return m_last;
    return finish(PublishingFailed{
            absl::StrCat("the platform does not answer: ", std::string(name(answer.outcome))),
            m_moveUnresolved });
}

Publication::Next Publication::onOperation(const PlatformAnswer &answer)
{
    if (answer.outcome == PlatformOutcome::Ok && !answer.rows.empty()) {
        if (auto record = versionFromRow(answer.rows.front()))
            return finish(Published{ std::move(*record) });
        return finish(PublishingFailed{ "the operation's row cannot be read", false });
    }
    return ask(Step::ReadHead, FetchRow{ headKey() });
}

Publication::Next Publication::onHead(const PlatformAnswer &answer)
{
    m_head = HeadRecord();
    if (answer.outcome == PlatformOutcome::Ok && !answer.rows.empty()) {
        const auto head = headFromRow(answer.rows.front());
        if (!head)
            return finish(PublishingFailed{ "the head row cannot be read", false });
        m_head = *head;
    }
    if (m_confirmation.base > m_head.version)
        return finish(Conflict{ absl::StrCat("the plan was made for version ",
                                             m_confirmation.base.value(), ", the head is ",
                                             m_head.version.value()) });
    if (m_head.version == m_confirmation.base)
        return onHistory(PlatformAnswer{ {}, PlatformOutcome::Ok, {}, {} });
    if (m_head.version.value() - m_confirmation.base.value() > RebaseLimit)
        return finish(Conflict{ absl::StrCat("the head moved on to version ",
                                             m_head.version.value(), "; plan again") });
    return ask(Step::ReadHistory,
               ScanRows{ versionPrefix(), versionKey(m_confirmation.base), RebaseLimit });
}

Publication::Next Publication::onHistory(const PlatformAnswer &answer)
{
    const std::vector<std::string> names = namesOf(m_confirmation.delta);
    const std::set<std::string> own(names.begin(), names.end());
    for (const TableRow &row : answer.rows) {
        const auto other = versionFromRow(row);
        if (!other)
            return finish(PublishingFailed{ "a version row cannot be read", false });
        for (const std::string &touched : other->touched) {
            if (own.contains(touched))
                return finish(Conflict{ absl::StrCat(
                        touched, " was changed by ", other->author, " in version ",
                        other->version.value(), " (operation ", other->operation.value(), ")") });
        }
    }
    if (m_held->version == m_head.version)
        return planOn(*m_held, m_now);
    if (m_head.version == Version())
        return planOn(VersionedConfiguration(), m_now);
    return ask(Step::ReadHeadVersion, FetchRow{ versionKey(m_head.version) });
}

Publication::Next Publication::onHeadVersion(const PlatformAnswer &answer)
{
    if (answer.rows.empty())
        return finish(PublishingFailed{ "the head's version row is missing", false });
    const auto record = versionFromRow(answer.rows.front());
    if (!record)
        return finish(PublishingFailed{ "the head's version row cannot be read", false });
    return ask(Step::ReadContent, FetchObject{ record->snapshotName() });
}

Publication::Next Publication::onContent(const PlatformAnswer &answer)
{
    std::string problem;
    auto content = valueOrErrorText([&] { return decodeConfiguration(answer.content); }, problem);
    if (!content || digestOf(*content) != m_head.digest)
        return finish(PublishingFailed{ "the head's snapshot is missing or damaged", false });
    VersionedConfiguration base;
    base.version = m_head.version;
    base.digest = m_head.digest;
    base.content = std::move(*content);
    return planOn(base, m_now);
}

Publication::Next Publication::planOn(const VersionedConfiguration &base, absl::Time now)
{
    std::string problem;
    auto plan = valueOrErrorText([&] { return Plan::make(base, m_confirmation.delta); }, problem);
    if (!plan) {
        if (base.version != m_confirmation.base)
            return finish(Conflict{ absl::StrCat("no longer valid on version ",
                                                 base.version.value(), ": ", problem) });
        return finish(PlanRejected{ problem });
    }
    if (plan->changesDigest() != m_confirmation.changesDigest)
        return finish(Conflict{ "the plan would now show other changes; plan again" });
    if (plan->isEmpty())
        return finish(PlanRejected{ "the plan changes nothing" });
    m_plan = std::move(plan);
    m_record.version = base.version.next();
    m_record.digest = digestOf(m_plan->target());
    m_record.operation = m_confirmation.operation;
    m_record.author = m_confirmation.author;
    m_record.note = m_confirmation.note;
    m_record.publishedUnixMs = absl::ToUnixMillis(now);
    m_record.touched = namesOf(m_plan->delta());
    return ask(Step::PutSnapshot, PutObject{ m_record.snapshotName(), encode(m_plan->target()) });
}

Transact Publication::headMove() const
{
    const RowCondition headCondition = m_head.version == Version()
                                               ? RowCondition::absent()
                                               : RowCondition::revisionIs(m_head.version.value());
    return { { { toRow(HeadRecord{ m_record.version, m_record.digest }), headCondition },
               { toRow(m_record), RowCondition::absent() },
               { toOperationRow(m_record), RowCondition::absent() } } };
}

Publication::Next Publication::onMoved(const PlatformAnswer &answer)
{
    if (answer.outcome == PlatformOutcome::Ok)
        return finish(Published{ m_record });
    if (answer.outcome == PlatformOutcome::Unknown)
        m_moveUnresolved = true;
    // Both a lost answer and a failed condition are resolved by reading what was published.
    return ask(Step::ReadOperation, FetchRow{ operationKey(m_confirmation.operation) });
}

} // namespace godwitlift
