/// \file
/// Publishes one confirmed plan by conditional writes.
#pragma once

#include "godwitlift/configuration/Plan.h"
#include "godwitlift/publishing/PublishedRecords.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <variant>

namespace godwitlift {

/// A plan that an operator confirmed, as received with the confirmation.
struct Confirmation
{
    OperationId operation;
    std::string author;
    std::string note;
    Version baseVersion; ///< Version that the plan was computed against.
    ConfigurationDelta delta;
    Digest changesDigest; ///< Digest of the changes that the operator was shown.
};

/// The operation is published as `record.version`, by this attempt or an earlier one.
struct Published
{
    VersionRecord record;
};

/// The plan conflicts with another operator's change; nothing was published.
struct Conflict
{
    std::string problem; ///< Describes the conflict; names the other change where one is known.
};

/// The plan is not valid; nothing was published.
struct PlanRejected
{
    std::string problem;
};

/// The platform did not answer in time or holds unreadable data. If `mayBePublished` is set, the
/// outcome of the commit is unknown; confirming again with the same operation id resolves it.
struct PublishingFailed
{
    std::string problem;
    bool mayBePublished = false;
};

using PublicationOutcome = std::variant<Published, Conflict, PlanRejected, PublishingFailed>;

/// State machine of one publication: takes platform answers and returns the next platform
/// operation.
///
/// Safety depends on the conditional write alone: the head advances from n to n+1 in the same
/// transaction that inserts the row of the operation id, or not at all. A lost answer is resolved
/// by reading that row. Repeating the same conditional write is harmless, because its condition
/// fails once it has been applied. Not thread-safe.
class Publication final
{
public:
    Publication(Confirmation confirmation, SharedConfiguration currentConfiguration,
                absl::Time deadline);

    PlatformOperation begin();
    /// Handles the answer to the last platform operation; returns the next one, or nothing once
    /// outcome() is set.
    std::optional<PlatformOperation> onAnswer(const PlatformAnswer &answer, absl::Time now);
    const std::optional<PublicationOutcome> &outcome() const { return m_outcome; }
    const OperationId &operation() const { return m_confirmation.operation; }
    /// The plan as rebased on the head; empty if an earlier attempt had already published the
    /// operation.
    const std::optional<Plan> &plan() const { return m_plan; }

private:
    enum class Step : std::uint8_t {
        ReadOperationRow,
        ReadHead,
        ReadHistory,
        ReadHeadVersion,
        ReadHeadSnapshot,
        PutSnapshot,
        PutDelta,
        Commit
    };

    using NextOperation = std::optional<PlatformOperation>;

    NextOperation issueOperation(Step step, PlatformOperation operation);
    NextOperation finish(PublicationOutcome outcome);
    NextOperation retryOrFail(const PlatformAnswer &answer, absl::Time now);
    NextOperation onOperationRow(const PlatformAnswer &answer);
    NextOperation onHead(const PlatformAnswer &answer);
    NextOperation onHistory(const PlatformAnswer &answer);
    NextOperation onHeadVersion(const PlatformAnswer &answer);
    NextOperation onHeadSnapshot(const PlatformAnswer &answer);
    NextOperation onCommit(const PlatformAnswer &answer);
    /// Computes the plan on \p base and stores its snapshot; finishes if the plan is invalid or
    /// empty, or if its changes differ from the confirmed ones.
    NextOperation planAgainst(const VersionedConfiguration &base, absl::Time now);
    Transact commitTransaction() const;

    Confirmation m_confirmation;
    SharedConfiguration m_currentConfiguration; ///< Saves reading the head's snapshot if it is the
                                                ///< same version.
    absl::Time m_deadline;
    Step m_step = Step::ReadOperationRow;
    PlatformOperation m_lastOperation;
    HeadRecord m_head; ///< Version 0 while nothing has been published.
    std::optional<Plan> m_plan;
    VersionRecord m_newRecord;       ///< The version being published.
    bool m_commitUnresolved = false; ///< The outcome of a commit that was sent is unknown.
    std::optional<PublicationOutcome> m_outcome;
    absl::Time m_answerTime; ///< Time of the last answer; becomes the publication time.
};

} // namespace godwitlift
