/// \file
/// Computes the plan for an intent on a base version.
#include "godwitlift/configuration/Plan.h"

#include "godwitlift/base/Hashing.h"
#include "godwitlift/configuration/ConfigurationCodec.h"

#include <absl/strings/str_cat.h>

namespace godwitlift {

namespace {

/// Canonical JSON of the single item \p name, empty if \p configuration does not contain it.
std::string itemJson(const Configuration &configuration, const ItemName &name)
{
    Configuration single;
    if (name.kind == ItemKind::Rank) {
        if (const auto it = configuration.ranks.find(RankId(name.id));
            it != configuration.ranks.end())
            single.ranks.insert(*it);
    } else if (name.kind == ItemKind::Service) {
        if (const auto it = configuration.services.find(ServiceId(name.id));
            it != configuration.services.end())
            single.services.insert(*it);
    } else {
        if (const auto it = configuration.routes.find(RouteId(name.id));
            it != configuration.routes.end())
            single.routes.insert(*it);
    }
    return single.isEmpty() ? std::string() : encode(single);
}

PlannedChange describeChange(const Configuration &base, const Configuration &target,
                             const ItemName &name)
{
    PlannedChange change;
    change.item = name;
    change.before = itemJson(base, name);
    change.after = itemJson(target, name);
    if (change.before.empty())
        change.kind = PlannedChange::Kind::Add;
    else if (change.after.empty())
        change.kind = PlannedChange::Kind::Remove;
    else
        change.kind = PlannedChange::Kind::Replace;
    return change;
}

} // namespace

std::string_view name(PlannedChange::Kind kind)
{
    switch (kind) {
    case PlannedChange::Kind::Add:
        return "add";
    case PlannedChange::Kind::Replace:
        return "replace";
    case PlannedChange::Kind::Remove:
        break;
    }
    return "remove";
}

Result<Plan> Plan::make(const VersionedConfiguration &base, const ConfigurationDelta &delta)
{
    for (const ItemName &name : delta.removals) {
        if (itemJson(base.content, name).empty())
            return makeInputError("remove", absl::StrCat("no object ", name.text()));
    }
    Plan plan;
    plan.m_baseVersion = base.version;
    plan.m_target = delta.appliedTo(base.content);
    auto faults = plan.m_target.validate();
    if (!faults.empty())
        return boost::leaf::new_error(InputError{ std::move(faults) });
    plan.m_delta = ConfigurationDelta::between(base.content, plan.m_target);
    std::string changeText;
    for (const ItemName &name : plan.m_delta.changedItems()) {
        plan.m_changes.push_back(describeChange(base.content, plan.m_target, name));
        const PlannedChange &change = plan.m_changes.back();
        absl::StrAppend(&changeText, name.text(), "\n", change.before, "\n", change.after, "\n");
    }
    plan.m_changesDigest = digestOf(changeText);
    plan.m_digest = digestOf(absl::StrCat(base.version.value(), "\n", changeText));
    return plan;
}

} // namespace godwitlift
