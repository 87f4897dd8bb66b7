/// \file
/// Installing versions and computing changes.
#include "godwitlift/traffic/ConfigurationReplica.h"

#include <map>

namespace godwitlift {

namespace {

template<typename Id, typename Entry>
using Entries = std::map<Id, std::shared_ptr<const Entry>>;

/// Entries of \p next, those that are unchanged shared with \p previous.
template<typename Id, typename Entry>
std::vector<std::shared_ptr<const Entry>> reuseUnchanged(const Entries<Id, Entry> &next,
                                                         const Entries<Id, Entry> &previous)
{
    std::vector<std::shared_ptr<const Entry>> result;
    result.reserve(next.size());
    for (const auto &[id, entry] : next) {
        const bool isUnchanged = ChangeLog<Id, Entry>::isUnchanged(previous, id, entry);
        result.push_back(isUnchanged ? previous.at(id) : entry);
    }
    return result;
}

std::shared_ptr<const RouteCatalogue> reuseUnchanged(const RouteCatalogue &next,
                                                     const RouteCatalogue &previous)
{
    std::vector<TrafficService> services;
    for (const auto &entry : next.services())
        services.push_back(entry.second);
    return RouteCatalogue::create(next.version(), reuseUnchanged(next.routes(), previous.routes()),
                                  std::move(services), next.limits(),
                                  reuseUnchanged(next.accounts(), previous.accounts()));
}

/// \p entries without those in \p removed, and with those in \p changed.
template<typename Id, typename Entry>
std::vector<std::shared_ptr<const Entry>>
merge(Entries<Id, Entry> entries, const std::vector<Id> &removed,
      const std::vector<std::shared_ptr<const Entry>> &changed)
{
    for (const Id &id : removed)
        entries.erase(id);
    for (const auto &entry : changed)
        entries[entry->id] = entry;
    std::vector<std::shared_ptr<const Entry>> merged;
    merged.reserve(entries.size());
    for (auto &entry : entries)
        merged.push_back(std::move(entry.second));
    return merged;
}

} // namespace

ApplyResult
ConfigurationReplica::applySnapshot(const std::shared_ptr<const RouteCatalogue> &catalogue)
{
    if (catalogue->version() <= version())
        return ApplyResult::Stale;
    install(m_current == nullptr ? catalogue : reuseUnchanged(*catalogue, *m_current));
    return ApplyResult::Applied;
}

ApplyResult ConfigurationReplica::applyChanges(const ConfigurationChanges &changes)
{
    if (changes.version <= version())
        return ApplyResult::Stale;
    if (changes.base > version())
        return ApplyResult::Gap;
    // Without the accounts of the version every request would be admitted without a key.
    if (!changes.statesAccounts)
        return ApplyResult::Partial;
    const bool isDelta = !changes.isSnapshot() && m_current != nullptr;
    const auto routes = isDelta ? m_current->routes() : std::map<RouteId, SharedRoute>();
    const auto accounts =
            isDelta ? m_current->accounts() : std::map<ClientAccountId, SharedAccount>();
    auto next = RouteCatalogue::create(
            changes.version, merge(routes, changes.removed, changes.routes), changes.services,
            changes.limits, merge(accounts, changes.removedAccounts, changes.accounts));
    if (next->digest() != changes.digest)
        return ApplyResult::Mismatch;
    install(std::move(next));
    return ApplyResult::Applied;
}

void ConfigurationReplica::install(std::shared_ptr<const RouteCatalogue> next)
{
    m_routeChanges.record(m_current == nullptr ? nullptr : &m_current->routes(), next->routes(),
                          next->version());
    m_accountChanges.record(m_current == nullptr ? nullptr : &m_current->accounts(),
                            next->accounts(), next->version());
    m_current = std::move(next);
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
    const bool isDelta = version != Version() && m_routeChanges.isCompleteSince(version)
                         && m_accountChanges.isCompleteSince(version);
    changes.base = isDelta ? version : Version();
    for (const auto &[id, route] : m_current->routes()) {
        if (!isDelta || m_routeChanges.hasChangedSince(id, version))
            changes.routes.push_back(route);
    }
    for (const auto &[id, account] : m_current->accounts()) {
        if (!isDelta || m_accountChanges.hasChangedSince(id, version))
            changes.accounts.push_back(account);
    }
    if (isDelta) {
        changes.removed = m_routeChanges.removedSince(version, m_current->routes());
        changes.removedAccounts = m_accountChanges.removedSince(version, m_current->accounts());
    }
    return changes;
}

} // namespace godwitlift
