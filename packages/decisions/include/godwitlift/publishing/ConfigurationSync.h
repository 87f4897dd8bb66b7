/// \file
/// The node's configuration: held version, offers from peers, polls and publications.
#pragma once

#include "godwitlift/configuration/ConfigurationHolder.h"
#include "godwitlift/node/ControlEffects.h"
#include "godwitlift/publishing/PlatformWatcher.h"
#include "godwitlift/publishing/Publication.h"

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace godwitlift {

/// Timing of publishing and watching.
struct PublishingPolicy
{
    absl::Duration pollPeriod = absl::Seconds(1);
    absl::Duration publishingTimeout = absl::Seconds(10);
    absl::Duration requestTimeout = absl::Seconds(3); ///< Then an answer counts as lost.
    std::uint64_t retainedVersions = 1000;            ///< Versions whose objects are kept.
};

/// What an input changed in the configuration.
struct ConfigurationChange
{
    bool applied = false;
    bool publishedHere = false;    ///< The version was published by this node.
    bool wantsSnapshot = false;    ///< A step did not fit; a whole configuration is needed.
    std::optional<DeltaStep> step; ///< The step that was applied, if it was one.
};

/// Owns the holder, the watcher and running publications. Not thread-safe.
class ConfigurationSync final
{
public:
    explicit ConfigurationSync(PublishingPolicy policy);

    const ConfigurationHolder &holder() const { return m_holder; }
    const PlatformWatcher &watcher() const { return m_watcher; }
    /// Highest version any peer or the platform was heard to hold.
    Version newestKnown() const { return m_newestKnown; }
    void noteKnown(Version version);
    /// A version whose whole content was refused here; 0 if none.
    Version refusedVersion() const { return m_refusedWhole; }

    ConfigurationChange takeSteps(const std::vector<DeltaStep> &steps);
    ConfigurationChange takeSnapshot(const SnapshotContent &snapshot);

    /// Starts a poll if one is due.
    void poll(absl::Time now, ControlEffects &effects);
    void publish(OperatorRequestId request, Confirmation confirmation, absl::Time now,
                 ControlEffects &effects);
    void listHistory(OperatorRequestId request, Version after, std::size_t limit, absl::Time now,
                     ControlEffects &effects);
    void readVersion(OperatorRequestId request, Version version, absl::Time now,
                     ControlEffects &effects);
    ConfigurationChange platformAnswered(const PlatformAnswer &answer, absl::Time now,
                                         ControlEffects &effects);
    /// Treats platform requests without an answer as lost.
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
    struct CollectPurpose
    {};
    struct IgnorePurpose
    {};
    using Purpose = std::variant<PollPurpose, PublicationPurpose, HistoryPurpose, VersionRowPurpose,
                                 VersionContentPurpose, CollectPurpose, IgnorePurpose>;
    struct Pending
    {
        Purpose purpose;
        absl::Time sent;
    };

    void ask(Purpose purpose, PlatformOperation operation, absl::Time now, ControlEffects &effects);
    ConfigurationChange onPoll(const PlatformAnswer &answer, absl::Time now,
                               ControlEffects &effects);
    ConfigurationChange onPublication(OperatorRequestId request, const PlatformAnswer &answer,
                                      absl::Time now, ControlEffects &effects);
    ConfigurationChange published(const Publication &publication, const Published &published,
                                  absl::Time now, ControlEffects &effects);
    void onHistory(OperatorRequestId request, const PlatformAnswer &answer,
                   ControlEffects &effects);
    void onVersionRow(OperatorRequestId request, const PlatformAnswer &answer, absl::Time now,
                      ControlEffects &effects);
    void onVersionContent(OperatorRequestId request, const PlatformAnswer &answer,
                          ControlEffects &effects);
    void onCollect(const PlatformAnswer &answer, absl::Time now, ControlEffects &effects);

    PublishingPolicy m_policy;
    ConfigurationHolder m_holder;
    PlatformWatcher m_watcher;
    Version m_newestKnown;
    Version m_refusedWhole;
    std::uint64_t m_nextRequest = 1;
    std::map<PlatformRequestId, Pending> m_pending;
    std::map<OperatorRequestId, Publication> m_publications;
};

} // namespace godwitlift
