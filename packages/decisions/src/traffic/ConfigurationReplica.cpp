/// \file
/// Taking versions and finding what changed.
#include "godwitlift/traffic/ConfigurationReplica.h"

namespace godwitlift {

namespace {

bool isSame(const SharedRoute &a, const SharedRoute &b)
{
    return a == b || *a == *b;
}

/// The same content, sharing the routes that \p before holds already.
std::shared_ptr<const RouteCatalogue> shareRoutes(const RouteCatalogue &next,
                                                  const RouteCatalogue &before)
{
    std::vector<SharedRoute> routes;
    routes.reserve(next.routeCount());
    for (const auto &[id, route] : next.routes()) {
        const auto held = before.routes().find(id);
        const bool isHeld = held != before.routes().end() && isSame(held->second, route);
        routes.push_back(isHeld ? held->second : route);
    }
    std::vector<TrafficService> services;
    for (const auto &entry : next.services())
        services.push_back(entry.second);
    return RouteCatalogue::create(next.version(), std::move(routes), std::move(services),
                                  next.limits());
}

} // namespace

ReplicaResult
ConfigurationReplica::acceptWhole(const std::shared_ptr<const RouteCatalogue> &catalogue)
{
    if (catalogue->version() <= version())
        return ReplicaResult::Stale;
    take(m_current == nullptr ? catalogue : shareRoutes(*catalogue, *m_current));
    return ReplicaResult::Applied;
}

ReplicaResult ConfigurationReplica::accept(const ConfigurationChanges &changes)
{
    if (changes.version <= version())
        return ReplicaResult::Stale;
    if (changes.base > version())
        return ReplicaResult::Gap;
    std::map<RouteId, SharedRoute> merged;
    if (!changes.isWhole() && m_current != nullptr)
        merged = m_current->routes();
    for (const RouteId &id : changes.removed)
        merged.erase(id);
    for (const SharedRoute &route : changes.routes)
        merged[route->id] = route;
    std::vector<SharedRoute> routes;
    routes.reserve(merged.size());
    for (auto &entry : merged)
        routes.push_back(std::move(entry.second));
    auto next = RouteCatalogue::create(changes.version, std::move(routes), changes.services,
                                       changes.limits);
    if (next->digest() != changes.digest)
        return ReplicaResult::Mismatch;
    take(std::move(next));
    return ReplicaResult::Applied;
}

void ConfigurationReplica::take(std::shared_ptr<const RouteCatalogue> next)
{
    if (m_current == nullptr) {
        m_completeSince = next->version();
    } else {
        for (const auto &[id, route] : m_current->routes()) {
            if (!next->routes().contains(id)) {
                m_removed.emplace(next->version(), id);
                m_changed.erase(id);
            }
        }
    }
    for (const auto &[id, route] : next->routes()) {
        const auto before =
                m_current == nullptr ? next->routes().end() : m_current->routes().find(id);
        const bool isHeld = m_current != nullptr && before != m_current->routes().end()
                            && isSame(before->second, route);
        if (!isHeld)
            m_changed[id] = next->version();
    }
    m_current = std::move(next);
    forgetOldRemovals();
}

void ConfigurationReplica::forgetOldRemovals()
{
    while (m_removed.size() > RemovalLimit) {
        m_completeSince = std::max(m_completeSince, m_removed.begin()->first);
        m_removed.erase(m_removed.begin());
    }
}

ConfigurationChanges ConfigurationReplica::changesSince(Version version) const
{
    ConfigurationChanges changes;
    if (m_current == nullptr)
        return changes;
    changes.version = m_current->version();
    changes.digest = m_current->digest();
    changes.limits = m_current->limits();
    for (const auto &entry : m_current->services())
        changes.services.push_back(entry.second);
    const bool isComplete = version != Version() && version >= m_completeSince;
    changes.base = isComplete ? version : Version();
    for (const auto &[id, route] : m_current->routes()) {
        if (!isComplete || m_changed.at(id) > version)
            changes.routes.push_back(route);
    }
    if (isComplete) {
        for (auto it = m_removed.upper_bound(version); it != m_removed.end(); ++it) {
            if (!m_current->routes().contains(it->second))
                changes.removed.push_back(it->second);
        }
    }
    return changes;
}

} // namespace godwitlift
