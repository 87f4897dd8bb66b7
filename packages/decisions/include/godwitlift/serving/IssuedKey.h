/// \file
/// Idempotency keys that are issued by a node and name this node as their owner.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <optional>

namespace godwitlift {

/// A key issued by a node. Its only owner is that node in the same incarnation.
struct IssuedKey
{
    HostId owner;
    Incarnation incarnation;
    std::uint64_t counter = 0;
    std::uint64_t authenticationTag = 0; ///< Hash of the counter, keyed with the issuer's secret.

    IdempotencyKey toIdempotencyKey() const;
    /// Empty if \p key does not have the format of an issued key.
    static std::optional<IssuedKey> parse(const IdempotencyKey &key);
};

} // namespace godwitlift
