/// \file
/// Computes and applies deltas, in the same way for each kind of item.
#include "godwitlift/configuration/ConfigurationDelta.h"

#include <array>

namespace godwitlift {

namespace {

constexpr std::array<std::string_view, 3> ItemKindNames = { "rank", "service", "route" };

template<typename Map>
void addDifference(ItemKind kind, const Map &base, const Map &target, Map &puts,
                   std::set<ItemName> &removals)
{
    for (const auto &[id, object] : target) {
        const auto existing = base.find(id);
        if (existing == base.end() || existing->second != object)
            puts.emplace(id, object);
    }
    for (const auto &[id, object] : base) {
        if (!target.contains(id))
            removals.insert({ kind, id.value() });
    }
}

template<typename Map>
void applyPuts(const Map &puts, Map &target)
{
    for (const auto &[id, object] : puts)
        target.insert_or_assign(id, object);
}

template<typename Map>
void addItemNames(ItemKind kind, const Map &objects, std::set<ItemName> &names)
{
    for (const auto &entry : objects)
        names.insert({ kind, entry.first.value() });
}

} // namespace

std::string ItemName::text() const
{
    return std::string(ItemKindNames[static_cast<std::size_t>(kind)]) + "/" + id;
}

std::set<ItemName> itemNames(const Configuration &configuration)
{
    std::set<ItemName> names;
    addItemNames(ItemKind::Rank, configuration.ranks, names);
    addItemNames(ItemKind::Service, configuration.services, names);
    addItemNames(ItemKind::Route, configuration.routes, names);
    return names;
}

std::set<ItemName> ConfigurationDelta::changedItems() const
{
    std::set<ItemName> names = itemNames(puts);
    names.insert(removals.begin(), removals.end());
    return names;
}

ConfigurationDelta ConfigurationDelta::between(const Configuration &base,
                                               const Configuration &target)
{
    ConfigurationDelta delta;
    addDifference(ItemKind::Rank, base.ranks, target.ranks, delta.puts.ranks, delta.removals);
    addDifference(ItemKind::Service, base.services, target.services, delta.puts.services,
                  delta.removals);
    addDifference(ItemKind::Route, base.routes, target.routes, delta.puts.routes, delta.removals);
    return delta;
}

Configuration ConfigurationDelta::appliedTo(const Configuration &base) const
{
    Configuration target = base;
    for (const ItemName &name : removals) {
        switch (name.kind) {
        case ItemKind::Rank:
            target.ranks.erase(RankId(name.id));
            break;
        case ItemKind::Service:
            target.services.erase(ServiceId(name.id));
            break;
        case ItemKind::Route:
            target.routes.erase(RouteId(name.id));
            break;
        }
    }
    applyPuts(puts.ranks, target.ranks);
    applyPuts(puts.services, target.services);
    applyPuts(puts.routes, target.routes);
    return target;
}

} // namespace godwitlift
