/// \file
/// Differences between two versions of the configuration.
#include "godwitlift/review/ConfigurationReview.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <iterator>

namespace godwitlift {

namespace {

using Members = std::vector<std::pair<std::string, std::string>>;

std::string textOf(bool value)
{
    return value ? "yes" : "no";
}

std::string kindOf(const TrafficRoute &route)
{
    if (route.isUpload)
        return "upload";
    if (route.isBulk)
        return "download";
    return route.retrySafety == RetrySafety::Idempotent ? "repeatable" : "at most once";
}

std::string destinationsOf(const TrafficRoute &route)
{
    if (route.destinations.size() == 1)
        return route.destinations.front().service.value();
    return absl::StrJoin(
            route.destinations, ", ", [](std::string *out, const WeightedService &destination) {
                absl::StrAppend(out, destination.service.value(), " ", destination.weight);
            });
}

Members membersOf(const TrafficRoute &route)
{
    return { { "host", route.hostName },
             { "prefix", route.prefix },
             { "destinations", destinationsOf(route) },
             { "kind", kindOf(route) },
             { "public", textOf(route.isPublic) },
             { "timeout", absl::FormatDuration(route.timeout) },
             { "latency objective", absl::FormatDuration(route.latencyObjective) },
             { "urgency", absl::StrCat(route.urgency) },
             { "attempts", absl::StrCat(route.attemptLimit) } };
}

Members membersOf(const TrafficService &service)
{
    return { { "health path", service.healthPath },
             { "connections", absl::StrCat(service.connectionLimit) } };
}

Members membersOf(const ClientAccount &account)
{
    return { { "keys", absl::StrCat(account.keys.size()) },
             { "urgency", account.urgency ? absl::StrCat(*account.urgency) : "of the route" },
             { "rate", account.quota.isLimited() ? absl::StrCat(account.quota.requestsPerSecond)
                                                 : "no limit" },
             { "burst", absl::StrCat(account.quota.burst) } };
}

Members membersOf(const ClientLimits &limits)
{
    return { { "header bytes", absl::StrCat(limits.headerBytes) },
             { "body bytes", absl::StrCat(limits.bodyBytes) },
             { "header timeout", absl::FormatDuration(limits.headerTimeout) },
             { "idle timeout", absl::FormatDuration(limits.idleTimeout) } };
}

std::vector<MemberChange> changedMembers(const Members &before, const Members &after)
{
    std::vector<MemberChange> changes;
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (before[i].second != after[i].second)
            changes.push_back({ before[i].first, before[i].second, after[i].second });
    }
    return changes;
}

/// What the numbers of keys do not show: that keys were exchanged.
void addKeyExchange(const ClientAccount &before, const ClientAccount &after,
                    std::vector<MemberChange> &changes)
{
    std::vector<KeyDigest> added;
    std::set_difference(after.keys.begin(), after.keys.end(), before.keys.begin(),
                        before.keys.end(), std::back_inserter(added));
    const std::size_t removed = before.keys.size() + added.size() - after.keys.size();
    if (added.empty() && removed == 0)
        return;
    std::erase_if(changes, [](const MemberChange &change) { return change.member == "keys"; });
    changes.insert(changes.begin(), { "keys", absl::StrCat(before.keys.size()),
                                      absl::StrCat(after.keys.size(), " (", added.size(),
                                                   " added, ", removed, " removed)") });
}

void addKeyExchange(const TrafficRoute &, const TrafficRoute &, std::vector<MemberChange> &) {}
void addKeyExchange(const TrafficService &, const TrafficService &, std::vector<MemberChange> &) {}

const TrafficService &valueOf(const TrafficService &service)
{
    return service;
}

template<typename Entry>
const Entry &valueOf(const std::shared_ptr<const Entry> &entry)
{
    return *entry;
}

template<typename Map>
void compareEntries(const std::string &object, const Map &before, const Map &after,
                    std::vector<EntryChange> &changes)
{
    for (const auto &[id, entry] : before) {
        if (!after.contains(id))
            changes.push_back({ ChangeKind::Removed, object, id.value(), {} });
    }
    for (const auto &[id, entry] : after) {
        const auto old = before.find(id);
        if (old == before.end()) {
            changes.push_back({ ChangeKind::Added, object, id.value(), {} });
            continue;
        }
        const auto &was = valueOf(old->second);
        const auto &is = valueOf(entry);
        auto members = changedMembers(membersOf(was), membersOf(is));
        addKeyExchange(was, is, members);
        if (!members.empty())
            changes.push_back({ ChangeKind::Changed, object, id.value(), std::move(members) });
    }
}

void addAccessFindings(const RouteCatalogue &inForce, const RouteCatalogue &next,
                       std::vector<ReviewFinding> &findings)
{
    const auto add = [&](const char *kind, std::string text) {
        findings.push_back({ FindingSeverity::Warning, kind, "", std::move(text) });
    };
    if (inForce.requiresKeys() && !next.requiresKeys()) {
        add("access-opened", "removes all accounts: no route needs a key any more");
        return;
    }
    if (!inForce.requiresKeys() && next.requiresKeys())
        add("access-closed",
            "is the first one with accounts: requests without a key are answered 401, except to "
            "public routes");
    for (const auto &[id, route] : next.routes()) {
        const auto old = inForce.routes().find(id);
        if (old == inForce.routes().end() || old->second->isPublic == route->isPublic
            || !inForce.requiresKeys())
            continue;
        if (route->isPublic)
            add("access-opened",
                absl::StrCat("makes the route '", id.value(), "' public: it needs no key"));
        else
            add("access-closed",
                absl::StrCat("makes the route '", id.value(),
                             "' need a key: requests without one are answered 401"));
    }
}

} // namespace

std::string_view name(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        break;
    }
    return "changed";
}

ConfigurationComparison compareConfigurations(const RouteCatalogue &inForce,
                                              const RouteCatalogue &next)
{
    ConfigurationComparison comparison;
    auto &changes = comparison.changes;
    compareEntries("route", inForce.routes(), next.routes(), changes);
    compareEntries("service", inForce.services(), next.services(), changes);
    compareEntries("account", inForce.accounts(), next.accounts(), changes);
    auto limits = changedMembers(membersOf(inForce.limits()), membersOf(next.limits()));
    if (!limits.empty())
        changes.push_back({ ChangeKind::Changed, "limits", "", std::move(limits) });

    const bool isSame = next.version() == inForce.version() && next.digest() == inForce.digest();
    if (next.version() <= inForce.version() && !isSame)
        comparison.findings.push_back(
                { FindingSeverity::Error, "version-not-newer", "",
                  absl::StrCat("is ", absl::Hex(next.version().value(), absl::kZeroPad8),
                               ", which is not above ",
                               absl::Hex(inForce.version().value(), absl::kZeroPad8),
                               ", the one in force: nodes keep that") });
    addAccessFindings(inForce, next, comparison.findings);
    for (const auto &[id, route] : inForce.routes()) {
        if (next.routes().contains(id))
            continue;
        if (const TrafficRoute *other = next.route(route->hostName, route->prefix);
            other != nullptr && other->prefix != route->prefix)
            comparison.findings.push_back(
                    { FindingSeverity::Warning, "requests-move", "",
                      absl::StrCat("removes the route '", id.value(), "': its requests then take '",
                                   other->id.value(), "' instead of being answered 404") });
    }
    return comparison;
}

} // namespace godwitlift
