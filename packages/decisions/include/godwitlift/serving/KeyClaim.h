/// \file
/// Determines the owner of an idempotency key that the caller chose, by a conditional write.
#pragma once

#include "godwitlift/platform/PlatformMessages.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <variant>

namespace godwitlift {

/// Owner of a key that the caller chose.
struct KeyOwner
{
    HostId host;
    Incarnation incarnation;
    absl::Time claimTime;
};

/// The owner could not be determined.
struct ClaimFailed
{};

using ClaimResult = std::variant<KeyOwner, ClaimFailed>;

/// State machine of one claim: writes the row if it is absent, otherwise reads its owner. The first
/// process that writes the row owns the key permanently; there is no takeover. If the outcome of
/// the write is unknown, the row is read to resolve it. Not thread-safe.
class KeyClaim final
{
public:
    KeyClaim(const IdempotencyKey &key, KeyOwner self, absl::Time deadline);

    /// Returns the conditional write.
    PlatformOperation start();
    /// Returns the next operation, or nothing once result() is set.
    std::optional<PlatformOperation> onPlatformAnswer(const PlatformAnswer &answer, absl::Time now);
    const std::optional<ClaimResult> &result() const { return m_result; }

    /// Row key of the claim for \p key.
    static std::string rowKey(const IdempotencyKey &key);

private:
    std::string m_rowKey;
    KeyOwner m_self;
    absl::Time m_deadline;
    bool m_isWriting = true;
    std::optional<ClaimResult> m_result;
};

} // namespace godwitlift
