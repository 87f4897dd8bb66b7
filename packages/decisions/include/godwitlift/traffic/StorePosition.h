/// \file
/// Position in the history of the platform's store.
#pragma once

#include <compare>
#include <cstdint>

namespace godwitlift {

/// Position in the store's total order of transactions, within one era.
using StoreRevision = std::uint64_t;

/// Counts how often the store has returned from a copy, which gives revisions out again. 0 if the
/// store does not state it.
using StoreEra = std::uint64_t;

/// A revision together with its era: revisions of different eras say nothing about each other.
struct StorePosition
{
    StoreEra era = 0;
    StoreRevision revision = 0;

    friend auto operator<=>(const StorePosition &, const StorePosition &) = default;
};

} // namespace godwitlift
