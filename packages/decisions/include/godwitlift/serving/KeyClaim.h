/// \file
/// Finding the owner of a key that the caller chose, by one conditional write.
#pragma once

#include "godwitlift/platform/PlatformMessages.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <variant>

namespace godwitlift {

/// Who owns a caller-chosen key.
struct KeyOwner
{
    HostId host;
    Incarnation incarnation;
    absl::Time claimed;
};

/// The owner cannot be found now.
struct ClaimFailed
{};

using ClaimEnd = std::variant<KeyOwner, ClaimFailed>;

/// State machine of one claim: write the row if it is absent, otherwise read who wrote it.
/// The first process to write the row owns the key for good; there is no takeover. An answer that
/// is lost is resolved by reading. Not thread-safe.
class KeyClaim final
{
public:
    KeyClaim(const IdempotencyKey &key, KeyOwner self, absl::Time deadline);

    PlatformOperation begin();
    std::optional<PlatformOperation> advance(const PlatformAnswer &answer, absl::Time now);
    const std::optional<ClaimEnd> &end() const { return m_end; }

    /// Row key under which the claim for \p key is kept.
    static std::string rowKey(const IdempotencyKey &key);

private:
    std::string m_rowKey;
    KeyOwner m_self;
    absl::Time m_deadline;
    bool m_writing = true;
    std::optional<ClaimEnd> m_end;
};

} // namespace godwitlift
