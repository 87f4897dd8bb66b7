/// \file
/// Difference and application, the same for each kind of object.
#include "godwitlift/configuration/ConfigurationDelta.h"

#include <array>

namespace godwitlift {

namespace {

constexpr std::array<std::string_view, 3> KindNames = { "rank", "service", "route" };

template<typename Map>
void difference(ItemKind kind, const Map &base, const Map &target, Map &puts,
                std::set<ItemName> &removals)
{
    for (const auto &[id, object] : target) {
        const auto held = base.find(id);
        if (held == base.end() || held->second != object)
            puts.emplace(id, object);
    }
    for (const auto &[id, object] : base) {
        if (!target.contains(id))
            removals.insert({ kind, id.value() });
    }
}

template<typename Map>
void putAll(const Map &puts, Map &target)
{
    for (const auto &[id, object] : puts)
        target.insert_or_assign(id, object);
}

template<typename Map>
void nameAll(ItemKind kind, const Map &objects, std::set<ItemName> &names)
{
    for (const auto &entry : objects)
        names.insert({ kind, entry.first.value() });
}

} // namespace

std::string ItemName::text() const
{
    return std::string(KindNames[static_cast<std::size_t>(kind)]) + "/" + id;
}

std::set<ItemName> itemNames(const Configuration &configuration)
{
    std::set<ItemName> names;
    nameAll(ItemKind::Rank, configuration.ranks, names);
    nameAll(ItemKind::Service, configuration.services, names);
    nameAll(ItemKind::Route, configuration.routes, names);
    return names;
}

std::set<ItemName> ConfigurationDelta::touched() const
{
    std::set<ItemName> names = itemNames(puts);
    names.insert(removals.begin(), removals.end());
    return names;
}

ConfigurationDelta ConfigurationDelta::between(const Configuration &base,
                                               const Configuration &target)
{
    ConfigurationDelta delta;
    difference(ItemKind::Rank, base.ranks, target.ranks, delta.puts.ranks, delta.removals);
    difference(ItemKind::Service, base.services, target.services, delta.puts.services,
               delta.removals);
    difference(ItemKind::Route, base.routes, target.routes, delta.puts.routes, delta.removals);
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
    putAll(puts.ranks, target.ranks);
    putAll(puts.services, target.services);
    putAll(puts.routes, target.routes);
    return target;
}

} // namespace godwitlift
