/// \file
/// Compilation and lookup of routing tables.
#include "godwitlift/serving/RoutingTable.h"

#include <absl/strings/str_cat.h>

namespace godwitlift {

namespace {

Proximity proximityOf(const HostRecord &record, const ZoneId &zone, const RegionId &region)
{
    if (record.zone == zone)
        return Proximity::SameZone;
    return record.region == region ? Proximity::SameRegion : Proximity::OtherRegion;
}

bool isEligible(const Service &service, const HostRecord &record)
{
    return (service.zones.empty() || service.zones.contains(record.zone))
           && !service.withheldHosts.contains(record.host);
}

} // namespace

std::size_t ServiceTargets::size() const
{
    std::size_t count = 0;
    for (const auto &list : byProximity)
        count += list.size();
    return count;
}

std::shared_ptr<const RoutingTable> RoutingTable::compile(const SharedConfiguration &configuration,
                                                          const HostDirectory &directory,
                                                          const ZoneId &zone,
                                                          const RegionId &region)
{
    std::shared_ptr<RoutingTable> table(new RoutingTable());
    table->m_configuration = configuration;
    const Configuration &content = configuration->content;
    for (const auto &[id, service] : content.services)
        table->m_services[id].service = service;
    for (const auto &entry : directory.records()) {
        const HostRecord &record = entry.second;
        if (record.isMember() && record.state == HostState::Serving)
            table->addTargets(record, zone, region);
    }
    for (const auto &[id, route] : content.routes) {
        ResolvedRoute resolved{ route, content.ranks.at(route.rank),
                                &table->m_services.at(route.service) };
        table->m_routes.emplace(route.pathPrefix, std::move(resolved));
    }
    return table;
}

void RoutingTable::addTargets(const HostRecord &record, const ZoneId &zone, const RegionId &region)
{
    const auto proximity = static_cast<std::size_t>(proximityOf(record, zone, region));
    for (const BackendServer &server : record.backendServers) {
        const auto it = m_services.find(server.service);
        if (it == m_services.end() || server.state != BackendServerState::Ready
            || !isEligible(it->second.service, record))
            continue;
        it->second.byProximity[proximity].push_back({ record.host, server.id, record.address,
                                                      server.slots, server.startedUnixMs,
                                                      record.stamp.liveness == Liveness::Suspect });
        ++m_targetCount;
    }
}

const ResolvedRoute *RoutingTable::route(std::string_view path) const
{
    while (true) {
        const auto it = m_routes.find(path);
        if (it != m_routes.end())
            return &it->second;
        if (path.empty() || path == "/")
            return nullptr;
        const std::size_t separator = path.rfind('/');
        if (separator == std::string_view::npos)
            return nullptr;
        path = separator == 0 ? path.substr(0, 1) : path.substr(0, separator);
    }
}

const ServiceTargets *RoutingTable::targets(const ServiceId &service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : &it->second;
}

std::vector<std::string> RoutingTable::invariantViolations(const HostDirectory &directory) const
{
    std::vector<std::string> violations;
    for (const auto &[prefix, resolved] : m_routes) {
        if (targets(resolved.route.service) != resolved.targets)
            violations.push_back(
                    absl::StrCat("route ", prefix, " refers to a service of another table"));
        if (!configuration().ranks.contains(resolved.route.rank))
            violations.push_back(absl::StrCat("route ", prefix, " refers to an unknown rank"));
    }
    for (const auto &entry : m_services) {
        for (const auto &list : entry.second.byProximity) {
            for (const Target &target : list) {
                if (directory.find(target.host) == nullptr)
                    violations.push_back(
                            absl::StrCat("target on unknown host ", target.host.value()));
            }
        }
    }
    return violations;
}

} // namespace godwitlift
