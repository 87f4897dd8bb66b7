/// \file
/// Difference between two configurations and how to apply it.
#pragma once

#include "godwitlift/configuration/Configuration.h"

#include <string>
#include <vector>

namespace godwitlift {

/// Kinds of items in a configuration.
enum class ItemKind : std::uint8_t { Rank, Service, Route };

/// Identifies one item of a configuration.
struct ItemName
{
    ItemKind kind = ItemKind::Rank;
    std::string id;

    /// Text form such as `route/booking`.
    std::string text() const;
    friend auto operator<=>(const ItemName &, const ItemName &) = default;
};

/// Items to insert or replace and items to remove. Applying the delta to its base yields the
/// target.
struct ConfigurationDelta
{
    Configuration
            puts; ///< Items to insert or replace. May refer to items that only the base contains.
    std::set<ItemName> removals;

    bool isEmpty() const { return puts.isEmpty() && removals.empty(); }
    /// Names of all items that the delta inserts, replaces or removes.
    std::set<ItemName> changedItems() const;

    /// The delta that turns \p base into \p target.
    static ConfigurationDelta between(const Configuration &base, const Configuration &target);
    /// The result of applying the delta to \p base. The result is not validated.
    Configuration appliedTo(const Configuration &base) const;

    friend bool operator==(const ConfigurationDelta &, const ConfigurationDelta &) = default;
};

/// Names of all items of \p configuration.
std::set<ItemName> itemNames(const Configuration &configuration);

} // namespace godwitlift
