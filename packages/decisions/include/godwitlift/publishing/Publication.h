/// \file
/// Publishing one confirmed plan by conditional writes.
#pragma once

#include "godwitlift/configuration/Plan.h"
#include "godwitlift/publishing/PublishedRecords.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <variant>

namespace godwitlift {

/// A plan that an operator confirmed, as the confirming command sends it.
struct Confirmation
{
    OperationId operation;
    std::string author;
    std::string note;
    Version base; ///< Version that the plan was shown for.
    ConfigurationDelta delta;
    Digest changesDigest; ///< Digest of the changes that the operator was shown.
};

/// The operation is published as `record.version`, now or by an earlier attempt.
struct Published
{
    VersionRecord record;
};

/// Another operator's change stands in the way; nothing was published.
struct Conflict
{
    std::string problem; ///< Names the other change.
};

/// The plan is not valid; nothing was published.
struct PlanRejected
{
    std::string problem;
};

/// The platform could not be used in time. If `mayApply` is set, asking again with the same
/// operation id tells whether the version was published.
struct PublishingFailed
{
    std::string problem;
    bool mayApply = false;
};

using PublicationEnd = std::variant<Published, Conflict, PlanRejected, PublishingFailed>;

/// State machine of one publication. Feed it answers; it hands out the next request.
///
/// Safety rests on the conditional write alone: the head moves from n to n+1 together with the
/// operation's row, or not at all. An answer that is lost is resolved by reading the operation's
/// row. Repeating the same conditional write is harmless, because its condition fails once it has
/// been applied. Not thread-safe.
class Publication final
{
public:
    Publication(Confirmation confirmation, SharedConfiguration held, absl::Time deadline);

    /// The first platform operation.
    PlatformOperation begin();
    /// Takes the answer to the last operation; returns the next one unless the end is reached.
    std::optional<PlatformOperation> advance(const PlatformAnswer &answer, absl::Time now);
    const std::optional<PublicationEnd> &end() const { return m_end; }
    const OperationId &operation() const { return m_confirmation.operation; }
    /// The published content and step; set once the end is Published by this very attempt.
    const std::optional<Plan> &plan() const { return m_plan; }

private:
    enum class Step : std::uint8_t {
        ReadOperation,
        ReadHead,
        ReadHistory,
        ReadHeadVersion,
        ReadContent,
        PutSnapshot,
        PutDelta,
        MoveHead
    };

    using Next = std::optional<PlatformOperation>;

    Next ask(Step step, PlatformOperation operation);
    Next finish(PublicationEnd end);
    Next retryOrFail(const PlatformAnswer &answer, absl::Time now);
    Next onOperation(const PlatformAnswer &answer);
    Next onHead(const PlatformAnswer &answer);
    Next onHistory(const PlatformAnswer &answer);
    Next onHeadVersion(const PlatformAnswer &answer);
    Next onContent(const PlatformAnswer &answer);
    Next onMoved(const PlatformAnswer &answer);
    Next planOn(const VersionedConfiguration &base, absl::Time now);
    Transact headMove() const;

    Confirmation m_confirmation;
    SharedConfiguration m_held; ///< What the node holds; spares reading the head's content.
    absl::Time m_deadline;
    Step m_step = Step::ReadOperation;
    PlatformOperation m_last;
    HeadRecord m_head; ///< Version 0 while nothing has been published.
    std::optional<Plan> m_plan;
    VersionRecord m_record;        ///< The version being published.
    bool m_moveUnresolved = false; ///< A head move was sent whose outcome is unknown.
    std::optional<PublicationEnd> m_end;
    absl::Time m_now; ///< Time of the last answer; stamps the version's record.
};

} // namespace godwitlift
