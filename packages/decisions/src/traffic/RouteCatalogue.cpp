/// \file
/// Longest-prefix lookup.
#include "godwitlift/traffic/RouteCatalogue.h"

#include <cassert>

namespace godwitlift {

std::shared_ptr<const RouteCatalogue> RouteCatalogue::create(Version version,
                                                             std::vector<TrafficRoute> routes,
                                                             std::vector<TrafficService> services,
                                                             ClientLimits limits)
{
    const std::shared_ptr<RouteCatalogue> catalogue(new RouteCatalogue);
    catalogue->m_version = version;
    catalogue->m_limits = limits;
    for (TrafficRoute &route : routes) {
        assert(!route.destinations.empty());
        PrefixTable &table = catalogue->m_byHostName[route.hostName];
        std::string prefix = route.prefix;
        if (table.emplace(std::move(prefix), std::move(route)).second)
            ++catalogue->m_routeCount;
    }
    for (TrafficService &service : services) {
        ServiceId id = service.id;
        catalogue->m_services.emplace(std::move(id), std::move(service));
    }
    return catalogue;
}

const TrafficRoute *RouteCatalogue::route(std::string_view hostName, std::string_view path) const
{
    const auto host = m_byHostName.find(hostName);
    if (host == m_byHostName.end())
        return nullptr;
    const std::string_view plain = path.substr(0, path.find('?'));
    std::size_t end = plain.rfind('/');
    while (end != std::string_view::npos) {
        const auto it = host->second.find(plain.substr(0, end + 1));
        if (it != host->second.end())
            return &it->second;
        if (end == 0)
            break;
        end = plain.rfind('/', end - 1);
    }
    return nullptr;
}

const TrafficService *RouteCatalogue::service(const ServiceId &id) const
{
    const auto it = m_services.find(id);
    return it == m_services.end() ? nullptr : &it->second;
}

} // namespace godwitlift
