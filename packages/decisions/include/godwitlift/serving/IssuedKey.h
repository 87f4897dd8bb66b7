/// \file
/// Idempotency keys that the system issues and that name their owner.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <optional>

namespace godwitlift {

/// A key made by a node. The node that issued it, in the same incarnation, is its only owner.
struct IssuedKey
{
    HostId owner;
    Incarnation incarnation;
    std::uint64_t counter = 0;
    std::uint64_t proof = 0; ///< Hash of the counter with the issuer's secret.

    IdempotencyKey text() const;
    /// Empty if \p key does not have the form of an issued key.
    static std::optional<IssuedKey> parse(const IdempotencyKey &key);
};

} // namespace godwitlift
