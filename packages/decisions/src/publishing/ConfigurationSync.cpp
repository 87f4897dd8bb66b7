/// \file
/// Updates from peers, polls and publications of one node.
#include "godwitlift/publishing/ConfigurationSync.h"

#include "godwitlift/configuration/ConfigurationCodec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace godwitlift {

ConfigurationSync::ConfigurationSync(PublishingPolicy policy)
    : m_policy(policy)
    , m_poller(policy.pollPeriod)
{}

void ConfigurationSync::recordKnownVersion(Version version)
{
    m_newestKnownVersion = std::max(m_newestKnownVersion, version);
}

ConfigurationChange ConfigurationSync::applySteps(const std::vector<DeltaStep> &steps)
{
    ConfigurationChange change;
    for (const DeltaStep &step : steps) {
        recordKnownVersion(step.to);
        switch (m_holder.applyStep(step)) {
        case ApplyOutcome::Applied:
            change.applied = true;
            change.step = step;
            break;
        case ApplyOutcome::NotNewer:
            break;
        case ApplyOutcome::Gap:
        case ApplyOutcome::Refused:
            change.needsSnapshot = step.to != m_refusedVersion;
            return change;
        }
    }
    return change;
}

ConfigurationChange ConfigurationSync::applySnapshot(const SnapshotContent &snapshot)
{
    ConfigurationChange change;
    recordKnownVersion(snapshot.version);
    const ApplyOutcome outcome =
            m_holder.applySnapshot(snapshot.version, snapshot.digest, snapshot.text);
    change.applied = outcome == ApplyOutcome::Applied;
    if (outcome == ApplyOutcome::Refused)
        m_refusedVersion = std::max(m_refusedVersion, snapshot.version);
    return change;
}

void ConfigurationSync::sendRequest(Purpose purpose, PlatformOperation operation, absl::Time now,
                                    ControlEffects &effects)
{
    const PlatformRequestId id(m_nextRequestId++);
    m_pending.emplace(id, PendingRequest{ purpose, now });
    effects.platformRequests.push_back({ id, std::move(operation) });
}

void ConfigurationSync::pollIfDue(absl::Time now, ControlEffects &effects)
{
    if (auto operation = m_poller.startPollIfDue(now))
        sendRequest(PollPurpose{}, std::move(*operation), now, effects);
}

void ConfigurationSync::publish(OperatorRequestId request, Confirmation confirmation,
                                absl::Time now, ControlEffects &effects)
{
    Publication publication(std::move(confirmation), m_holder.current(),
                            now + m_policy.publishingTimeout);
    sendRequest(PublicationPurpose{ request }, publication.begin(), now, effects);
    m_publications.emplace(request, std::move(publication));
}

void ConfigurationSync::listHistory(OperatorRequestId request, Version after, std::size_t limit,
                                    absl::Time now, ControlEffects &effects)
{
    sendRequest(HistoryPurpose{ request }, ScanRows{ versionPrefix(), versionKey(after), limit },
                now, effects);
}

void ConfigurationSync::readVersion(OperatorRequestId request, Version version, absl::Time now,
                                    ControlEffects &effects)
{
    sendRequest(VersionRowPurpose{ request }, FetchRow{ versionKey(version) }, now, effects);
}

ConfigurationChange ConfigurationSync::onPlatformAnswer(const PlatformAnswer &answer,
                                                        absl::Time now, ControlEffects &effects)
{
    const auto it = m_pending.find(answer.id);
    if (it == m_pending.end())
        return {}; // Late answer: the request has already timed out.
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
    else if (std::holds_alternative<ExpiredVersionRowPurpose>(purpose))
        onExpiredVersionRow(answer, now, effects);
    return {};
}

ConfigurationChange ConfigurationSync::expireRequests(absl::Time now, ControlEffects &effects)
{
    std::vector<PlatformRequestId> timedOut;
    for (const auto &[id, pending] : m_pending) {
        if (now - pending.sentAt >= m_policy.requestTimeout)
            timedOut.push_back(id);
    }
    ConfigurationChange combined;
    for (const PlatformRequestId id : timedOut) {
        PlatformAnswer answer;
        answer.id = id;
        answer.outcome = PlatformOutcome::Unknown;
        const ConfigurationChange change = onPlatformAnswer(answer, now, effects);
        combined.applied = combined.applied || change.applied;
    }
    return combined;
}

ConfigurationChange ConfigurationSync::onPoll(const PlatformAnswer &answer, absl::Time now,
                                              ControlEffects &effects)
{
    PlatformPoller::PollResult result;
    if (auto next = m_poller.onAnswer(answer, m_holder.version(), result))
        sendRequest(PollPurpose{}, std::move(*next), now, effects);
    if (const auto *step = std::get_if<DeltaStep>(&result)) {
        ConfigurationChange change = applySteps({ *step });
        change.needsSnapshot = false; // The next poll fetches the snapshot.
        return change;
    }
    if (const auto *snapshot = std::get_if<SnapshotContent>(&result))
        return applySnapshot(*snapshot);
    return {};
}

ConfigurationChange ConfigurationSync::onPublication(OperatorRequestId request,
                                                     const PlatformAnswer &answer, absl::Time now,
                                                     ControlEffects &effects)
{
    const auto it = m_publications.find(request);
    if (it == m_publications.end())
        return {};
    if (auto next = it->second.onAnswer(answer, now)) {
        sendRequest(PublicationPurpose{ request }, std::move(*next), now, effects);
        return {};
    }
    const Publication publication = std::move(it->second);
    m_publications.erase(it);
    effects.answers.push_back({ request, *publication.outcome() });
    if (const auto *published = std::get_if<Published>(&*publication.outcome()))
        return onPublished(publication, *published, now, effects);
    return {};
}

ConfigurationChange ConfigurationSync::onPublished(const Publication &publication,
                                                   const Published &published, absl::Time now,
                                                   ControlEffects &effects)
{
    recordKnownVersion(published.record.version);
    const std::uint64_t version = published.record.version.value();
    if (version > m_policy.retainedVersions)
        sendRequest(ExpiredVersionRowPurpose{},
                    FetchRow{ versionKey(Version(version - m_policy.retainedVersions)) }, now,
                    effects);
    if (!publication.plan() || published.record.version != publication.plan()->baseVersion().next())
        return {};
    const DeltaStep step{ publication.plan()->baseVersion(), published.record.version,
                          published.record.digest, encode(publication.plan()->delta()) };
    ConfigurationChange change = applySteps({ step });
    change.needsSnapshot = false; // If versions are missing, the next poll fetches them.
    change.publishedLocally = true;
    change.step = step;
    return change;
}

void ConfigurationSync::onHistory(OperatorRequestId request, const PlatformAnswer &answer,
                                  ControlEffects &effects)
{
    HistoryListing listing;
    if (answer.outcome != PlatformOutcome::Ok)
        listing.problem =
                absl::StrCat("platform request failed: ", std::string(name(answer.outcome)));
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
                                           absl::StrCat("version not found: ",
                                                        std::string(name(answer.outcome))) } });
        return;
    }
    sendRequest(VersionContentPurpose{ request }, FetchObject{ record->snapshotObjectName() }, now,
                effects);
}

void ConfigurationSync::onVersionContent(OperatorRequestId request, const PlatformAnswer &answer,
                                         ControlEffects &effects)
{
    VersionContent content{ answer.content, {} };
    if (answer.outcome != PlatformOutcome::Ok)
        content.problem =
                absl::StrCat("snapshot not available: ", std::string(name(answer.outcome)));
    effects.answers.push_back({ request, std::move(content) });
}

void ConfigurationSync::onExpiredVersionRow(const PlatformAnswer &answer, absl::Time now,
                                            ControlEffects &effects)
{
    const auto record = answer.rows.empty() ? std::nullopt : versionFromRow(answer.rows.front());
    if (!record)
        return;
    sendRequest(ObjectRemovalPurpose{}, RemoveObject{ record->snapshotObjectName() }, now, effects);
    sendRequest(ObjectRemovalPurpose{}, RemoveObject{ record->deltaObjectName() }, now, effects);
}

} // namespace godwitlift
