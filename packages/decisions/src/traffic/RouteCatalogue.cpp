/// \file
/// Longest-prefix lookup and content digest.
#include "godwitlift/traffic/RouteCatalogue.h"

#include "godwitlift/base/Hashing.h"

#include <absl/strings/str_cat.h>

#include <cassert>

namespace godwitlift {

std::shared_ptr<const RouteCatalogue> RouteCatalogue::create(Version version,
                                                             std::vector<SharedRoute> routes,
                                                             std::vector<TrafficService> services,
                                                             ClientLimits limits,
                                                             std::vector<SharedAccount> accounts)
{
    const std::shared_ptr<RouteCatalogue> catalogue(new RouteCatalogue);
    catalogue->m_version = version;
    catalogue->m_limits = limits;
    for (SharedRoute &route : routes) {
        assert(route != nullptr && !route->destinations.empty());
        const TrafficRoute *added = route.get();
        if (catalogue->m_routes.emplace(route->id, std::move(route)).second)
            catalogue->m_byHostName[added->hostName].emplace(added->prefix, added);
    }
    for (TrafficService &service : services) {
        ServiceId id = service.id;
        catalogue->m_services.emplace(std::move(id), std::move(service));
    }
    for (SharedAccount &account : accounts) {
        const ClientAccount *added = account.get();
        if (!catalogue->m_accounts.emplace(account->id, std::move(account)).second)
            continue;
        for (const KeyDigest &key : added->keys)
            catalogue->m_accountByKey.emplace(key, added);
    }
    return catalogue;
}

namespace {

std::uint64_t routeDigest(const TrafficRoute &route)
{
    std::string text = absl::StrCat(route.id.value(), "\n", route.hostName, "\n", route.prefix,
                                    "\n", static_cast<int>(route.retrySafety), route.isBulk, "\n",
                                    absl::ToInt64Microseconds(route.timeout), " ",
                                    absl::ToInt64Microseconds(route.latencyObjective), " ",
                                    route.urgency, " ", route.attemptLimit);
    // Absent for routes that nodes without accounts and uploads describe, so that digests agree.
    if (route.isUpload || route.isPublic)
        absl::StrAppend(&text, "\n", route.isUpload ? "upload" : "",
                        route.isPublic ? "public" : "");
    for (const WeightedService &destination : route.destinations)
        absl::StrAppend(&text, "\n", destination.service.value(), " ", destination.weight);
    return hashOf(text);
}

std::uint64_t accountDigest(const ClientAccount &account)
{
    std::string text =
            absl::StrCat("account\n", account.id.value(), "\n",
                         account.urgency ? absl::StrCat(*account.urgency) : std::string("route"),
                         "\n", account.quota.requestsPerSecond, " ", account.quota.burst, "\n");
    for (const KeyDigest &key : account.keys)
        text.append(key.bytes());
    return hashOf(text);
}

} // namespace

std::uint64_t RouteCatalogue::digest() const
{
    // A sum does not depend on the order of the routes.
    std::uint64_t sum = 0;
    for (const auto &[id, route] : m_routes)
        sum += routeDigest(*route);
    for (const auto &[id, service] : m_services)
        sum += hashOf(absl::StrCat("service\n", id.value(), "\n", service.healthPath, "\n",
                                   service.connectionLimit));
    for (const auto &[id, account] : m_accounts)
        sum += accountDigest(*account);
    sum += hashOf(absl::StrCat("limits\n", m_limits.headerBytes, " ", m_limits.bodyBytes, " ",
                               absl::ToInt64Microseconds(m_limits.headerTimeout), " ",
                               absl::ToInt64Microseconds(m_limits.idleTimeout)));
    return sum;
}

const TrafficRoute *RouteCatalogue::route(std::string_view hostName, std::string_view path) const
{
    const auto prefixTable = m_byHostName.find(hostName);
    if (prefixTable == m_byHostName.end())
        return nullptr;
    const std::string_view pathWithoutQuery = path.substr(0, path.find('?'));
    std::size_t end = pathWithoutQuery.rfind('/');
    while (end != std::string_view::npos) {
        const auto it = prefixTable->second.find(pathWithoutQuery.substr(0, end + 1));
        if (it != prefixTable->second.end())
            return it->second;
        if (end == 0)
            break;
        end = pathWithoutQuery.rfind('/', end - 1);
    }
    return nullptr;
}

const TrafficService *RouteCatalogue::service(const ServiceId &id) const
{
    const auto it = m_services.find(id);
    return it == m_services.end() ? nullptr : &it->second;
}

const ClientAccount *RouteCatalogue::accountOfKey(const KeyDigest &key) const
{
    const auto it = m_accountByKey.find(key);
    return it == m_accountByKey.end() ? nullptr : it->second;
}

const ClientAccount *RouteCatalogue::account(const ClientAccountId &id) const
{
    const auto it = m_accounts.find(id);
    return it == m_accounts.end() ? nullptr : it->second.get();
}

} // namespace godwitlift
