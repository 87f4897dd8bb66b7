/// \file
/// Offers, polls and publications of one node.
#include "godwitlift/publishing/ConfigurationSync.h"

#include "godwitlift/configuration/ConfigurationCodec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace godwitlift {

ConfigurationSync::ConfigurationSync(PublishingPolicy policy)
    : m_policy(policy)
    , m_watcher(policy.pollPeriod)
{}

void ConfigurationSync::noteKnown(Version version)
{
    m_newestKnown = std::max(m_newestKnown, version);
}

ConfigurationChange ConfigurationSync::takeSteps(const std::vector<DeltaStep> &steps)
{
    ConfigurationChange change;
    for (const DeltaStep &step : steps) {
        noteKnown(step.to);
        switch (m_holder.applyStep(step)) {
        case ApplyOutcome::Applied:
            change.applied = true;
            change.step = step;
            break;
        case ApplyOutcome::NotNewer:
            break;
        case ApplyOutcome::Gap:
        case ApplyOutcome::Refused:
            change.wantsSnapshot = step.to != m_refusedWhole;
            return change;
        }
    }
    return change;
}

ConfigurationChange ConfigurationSync::takeSnapshot(const SnapshotContent &snapshot)
{
    ConfigurationChange change;
    noteKnown(snapshot.version);
    const ApplyOutcome outcome =
            m_holder.applySnapshot(snapshot.version, snapshot.digest, snapshot.text);
    change.applied = outcome == ApplyOutcome::Applied;
    if (outcome == ApplyOutcome::Refused)
        m_refusedWhole = std::max(m_refusedWhole, snapshot.version);
    return change;
}

void ConfigurationSync::ask(Purpose purpose, PlatformOperation operation, absl::Time now,
                            ControlEffects &effects)
{
    const PlatformRequestId id(m_nextRequest++);
    m_pending.emplace(id, Pending{ purpose, now });
    effects.platformRequests.push_back({ id, std::move(operation) });
}

void ConfigurationSync::poll(absl::Time now, ControlEffects &effects)
{
    if (auto operation = m_watcher.poll(now))
        ask(PollPurpose{}, std::move(*operation), now, effects);
}

void ConfigurationSync::publish(OperatorRequestId request, Confirmation confirmation,
                                absl::Time now, ControlEffects &effects)
{
    Publication publication(std::move(confirmation), m_holder.current(),
                            now + m_policy.publishingTimeout);
    ask(PublicationPurpose{ request }, publication.begin(), now, effects);
    m_publications.emplace(request, std::move(publication));
}

void ConfigurationSync::listHistory(OperatorRequestId request, Version after, std::size_t limit,
                                    absl::Time now, ControlEffects &effects)
{
    ask(HistoryPurpose{ request }, ScanRows{ versionPrefix(), versionKey(after), limit }, now,
        effects);
}

void ConfigurationSync::readVersion(OperatorRequestId request, Version version, absl::Time now,
                                    ControlEffects &effects)
{
    ask(VersionRowPurpose{ request }, FetchRow{ versionKey(version) }, now, effects);
}

ConfigurationChange ConfigurationSync::platformAnswered(const PlatformAnswer &answer,
                                                        absl::Time now, ControlEffects &effects)
{
    const auto it = m_pending.find(answer.id);
    if (it == m_pending.end())
        return {}; // Late: the request was already counted as lost.
    const Purpose purpose = it->second.purpose;
    m_pending.erase(it);
    if (std::holds_alternative<PollPurpose>(purpose))
        return onPoll(answer, now, effects);
    if (const auto *publication = std::get_if<PublicationPurpose>(&purpose))
        return onPublication(publication->request, answer, now, effects);
    if (const auto *history = std::get_if<HistoryPurpose>(&purpose))
        onHistory(history->request, answer, effects);
    else if (const auto *row = std::get_if<VersionRowPurpose>(&purpose))
        onVersionRow(row->request, answer, now, effects);
    else if (const auto *content = std::get_if<VersionContentPurpose>(&purpose))
        onVersionContent(content->request, answer, effects);
    else if (std::holds_alternative<CollectPurpose>(purpose))
        onCollect(answer, now, effects);
    return {};
}

ConfigurationChange ConfigurationSync::expireRequests(absl::Time now, ControlEffects &effects)
{
    std::vector<PlatformRequestId> lost;
    for (const auto &[id, pending] : m_pending) {
        if (now - pending.sent >= m_policy.requestTimeout)
            lost.push_back(id);
    }
    ConfigurationChange all;
    for (const PlatformRequestId id : lost) {
        PlatformAnswer answer;
        answer.id = id;
        answer.outcome = PlatformOutcome::Unknown;
        const ConfigurationChange change = platformAnswered(answer, now, effects);
        all.applied = all.applied || change.applied;
    }
    return all;
}

ConfigurationChange ConfigurationSync::onPoll(const PlatformAnswer &answer, absl::Time now,
                                              ControlEffects &effects)
{
    PlatformWatcher::Found found;
    if (auto next = m_watcher.advance(answer, m_holder.version(), found))
        ask(PollPurpose{}, std::move(*next), now, effects);
    if (const auto *step = std::get_if<DeltaStep>(&found)) {
        ConfigurationChange change = takeSteps({ *step });
        change.wantsSnapshot = false; // The next poll fetches the snapshot itself.
        return change;
    }
    if (const auto *snapshot = std::get_if<SnapshotContent>(&found))
        return takeSnapshot(*snapshot);
    return {};
}

ConfigurationChange ConfigurationSync::onPublication(OperatorRequestId request,
                                                     const PlatformAnswer &answer, absl::Time now,
                                                     ControlEffects &effects)
{
    const auto it = m_publications.find(request);
    if (it == m_publications.end())
        return {};
    if (auto next = it->second.advance(answer, now)) {
        ask(PublicationPurpose{ request }, std::move(*next), now, effects);
        return {};
    }
    const Publication publication = std::move(it->second);
    m_publications.erase(it);
    effects.answers.push_back({ request, *publication.end() });
    if (const auto *done = std::get_if<Published>(&*publication.end()))
        return published(publication, *done, now, effects);
    return {};
}

ConfigurationChange ConfigurationSync::published(const Publication &publication,
                                                 const Published &published, absl::Time now,
                                                 ControlEffects &effects)
{
    noteKnown(published.record.version);
    const std::uint64_t version = published.record.version.value();
    if (version > m_policy.retainedVersions)
        ask(CollectPurpose{}, FetchRow{ versionKey(Version(version - m_policy.retainedVersions)) },
            now, effects);
    if (!publication.plan() || published.record.version != publication.plan()->baseVersion().next())
        return {};
    const DeltaStep step{ publication.plan()->baseVersion(), published.record.version,
                          published.record.digest, encode(publication.plan()->delta()) };
    ConfigurationChange change = takeSteps({ step });
    change.wantsSnapshot = false; // A gap here is closed by the next poll.
    change.publishedHere = true;
    change.step = step;
    return change;
}

void ConfigurationSync::onHistory(OperatorRequestId request, const PlatformAnswer &answer,
                                  ControlEffects &effects)
{
    HistoryListing listing;
    if (answer.outcome != PlatformOutcome::Ok)
        listing.problem =
                absl::StrCat("the platform does not answer: ", std::string(name(answer.outcome)));
    for (const TableRow &row : answer.rows) {
        if (auto record = versionFromRow(row))
            listing.versions.push_back(std::move(*record));
    }
    effects.answers.push_back({ request, std::move(listing) });
}

void ConfigurationSync::onVersionRow(OperatorRequestId request, const PlatformAnswer &answer,
                                     absl::Time now, ControlEffects &effects)
{
    const auto record = answer.rows.empty() ? std::nullopt : versionFromRow(answer.rows.front());
    if (!record) {
        effects.answers.push_back(
                { request, VersionContent{ {},
                                           absl::StrCat("no such version: ",
                                                        std::string(name(answer.outcome))) } });
        return;
    }
    ask(VersionContentPurpose{ request }, FetchObject{ record->snapshotName() }, now, effects);
}

void ConfigurationSync::onVersionContent(OperatorRequestId request, const PlatformAnswer &answer,
                                         ControlEffects &effects)
{
    VersionContent content{ answer.content, {} };
    if (answer.outcome != PlatformOutcome::Ok)
        content.problem =
                absl::StrCat("the content is not kept: ", std::string(name(answer.outcome)));
    effects.answers.push_back({ request, std::move(content) });
}

void ConfigurationSync::onCollect(const PlatformAnswer &answer, absl::Time now,
                                  ControlEffects &effects)
{
    const auto record = answer.rows.empty() ? std::nullopt : versionFromRow(answer.rows.front());
    if (!record)
        return;
    ask(IgnorePurpose{}, RemoveObject{ record->snapshotName() }, now, effects);
    ask(IgnorePurpose{}, RemoveObject{ record->deltaName() }, now, effects);
}

} // namespace godwitlift
