/// \file
/// The difference between two configurations and its application.
#pragma once

#include "godwitlift/configuration/Configuration.h"

#include <string>
#include <vector>

namespace godwitlift {

/// The kinds of objects that a configuration consists of.
enum class ItemKind : std::uint8_t { Rank, Service, Route };

/// Names one object of a configuration.
struct ItemName
{
    ItemKind kind = ItemKind::Rank;
    std::string id;

    /// Text form such as `route/booking`.
    std::string text() const;
    friend auto operator<=>(const ItemName &, const ItemName &) = default;
};

/// Objects put and objects removed; applying it to its base gives the target configuration.
struct ConfigurationDelta
{
    Configuration puts; ///< Objects that are new or replaced. Not a closed configuration by itself.
    std::set<ItemName> removals;

    bool isEmpty() const { return puts.isEmpty() && removals.empty(); }
    /// Names of all objects that the delta puts or removes.
    std::set<ItemName> touched() const;

    /// The delta that leads from \p base to \p target.
    static ConfigurationDelta between(const Configuration &base, const Configuration &target);
    /// The result of applying the delta to \p base. The result is not checked here.
    Configuration appliedTo(const Configuration &base) const;

    friend bool operator==(const ConfigurationDelta &, const ConfigurationDelta &) = default;
};

/// Names of all objects of \p configuration.
std::set<ItemName> itemNames(const Configuration &configuration);

} // namespace godwitlift
