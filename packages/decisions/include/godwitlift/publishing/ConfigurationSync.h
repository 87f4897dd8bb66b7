/// \file
/// Configuration of one node: current version, updates from peers, polls and publications.
#pragma once

#include "godwitlift/configuration/ConfigurationHolder.h"
#include "godwitlift/node/ControlEffects.h"
#include "godwitlift/publishing/PlatformPoller.h"
#include "godwitlift/publishing/Publication.h"

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace godwitlift {

/// Timing of publications and polls, and retention of published versions.
struct PublishingPolicy
{
    absl::Duration pollPeriod = absl::Seconds(1);
    absl::Duration publishingTimeout = absl::Seconds(10);
    absl::Duration requestTimeout = absl::Seconds(3); ///< Then the outcome is unknown.
    std::uint64_t retainedVersions = 1000; ///< Snapshots and deltas of older versions are deleted.
};

/// Effect of one input on the configuration.
struct ConfigurationChange
{
    bool applied = false;
    bool publishedLocally = false; ///< This node published the version.
    bool needsSnapshot = false; ///< A delta was refused or does not start at the current version.
    std::optional<DeltaStep> step; ///< The applied or published delta, if any.
};

/// Owns the configuration holder, the platform poller and running publications. Not thread-safe.
class ConfigurationSync final
{
public:
    explicit ConfigurationSync(PublishingPolicy policy);

    const ConfigurationHolder &holder() const { return m_holder; }
    const PlatformPoller &poller() const { return m_poller; }
    /// Highest version that a peer or the platform is known to hold.
    Version newestKnownVersion() const { return m_newestKnownVersion; }
    void recordKnownVersion(Version version);
    /// Highest version whose snapshot this node refused; 0 if none.
    Version refusedVersion() const { return m_refusedVersion; }

    ConfigurationChange applySteps(const std::vector<DeltaStep> &steps);
    ConfigurationChange applySnapshot(const SnapshotContent &snapshot);

    void pollIfDue(absl::Time now, ControlEffects &effects);
    void publish(OperatorRequestId request, Confirmation confirmation, absl::Time now,
                 ControlEffects &effects);
    void listHistory(OperatorRequestId request, Version after, std::size_t limit, absl::Time now,
                     ControlEffects &effects);
    void readVersion(OperatorRequestId request, Version version, absl::Time now,
                     ControlEffects &effects);
    ConfigurationChange onPlatformAnswer(const PlatformAnswer &answer, absl::Time now,
                                         ControlEffects &effects);
    /// Completes requests older than requestTimeout with an unknown outcome.
    ConfigurationChange expireRequests(absl::Time now, ControlEffects &effects);

private:
    struct PollPurpose
    {};
    struct PublicationPurpose
    {
        OperatorRequestId request;
    };
    struct HistoryPurpose
    {
        OperatorRequestId request;
    };
    struct VersionRowPurpose
    {
        OperatorRequestId request;
    };
    struct VersionContentPurpose
    {
        OperatorRequestId request;
    };
    struct ExpiredVersionRowPurpose
    {};
    struct ObjectRemovalPurpose
    {};
    /// The operation that a platform request belongs to; selects the handler of its answer.
    using Purpose =
            std::variant<PollPurpose, PublicationPurpose, HistoryPurpose, VersionRowPurpose,
                         VersionContentPurpose, ExpiredVersionRowPurpose, ObjectRemovalPurpose>;
    struct PendingRequest
    {
        Purpose purpose;
        absl::Time sentAt;
    };

    void sendRequest(Purpose purpose, PlatformOperation operation, absl::Time now,
                     ControlEffects &effects);
    ConfigurationChange onPoll(const PlatformAnswer &answer, absl::Time now,
                               ControlEffects &effects);
    ConfigurationChange onPublication(OperatorRequestId request, const PlatformAnswer &answer,
                                      absl::Time now, ControlEffects &effects);
    ConfigurationChange onPublished(const Publication &publication, const Published &published,
                                    absl::Time now, ControlEffects &effects);
    void onHistory(OperatorRequestId request, const PlatformAnswer &answer,
                   ControlEffects &effects);
    void onVersionRow(OperatorRequestId request, const PlatformAnswer &answer, absl::Time now,
                      ControlEffects &effects);
    void onVersionContent(OperatorRequestId request, const PlatformAnswer &answer,
                          ControlEffects &effects);
    void onExpiredVersionRow(const PlatformAnswer &answer, absl::Time now, ControlEffects &effects);

    PublishingPolicy m_policy;
    ConfigurationHolder m_holder;
    PlatformPoller m_poller;
    Version m_newestKnownVersion;
    Version m_refusedVersion;
    std::uint64_t m_nextRequestId = 1;
    std::map<PlatformRequestId, PendingRequest> m_pending;
    std::map<OperatorRequestId, Publication> m_publications;
};

} // namespace godwitlift
