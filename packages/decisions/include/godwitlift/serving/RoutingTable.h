/// \file
/// Routing table of a node: one configuration version joined with the known backend servers.
#pragma once

#include "godwitlift/configuration/VersionedConfiguration.h"
#include "godwitlift/membership/HostDirectory.h"

#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace godwitlift {

/// Distance of a backend server from this node, nearest first.
enum class Proximity : std::uint8_t { SameZone, SameRegion, OtherRegion };

/// A backend server that accepts requests, reached through the node on its host.
struct Target
{
    HostId host;
    BackendServerId server;
    Address nodeAddress;
    std::uint32_t slots = 0;
    std::int64_t startedUnixMs = 0;
    /// Failure detection suspects the host. The target is picked only if more than half of the
    /// service's targets are suspect or ejected.
    bool isSuspect = false;
};

/// The targets of one service by proximity, each list sorted by host and server.
struct ServiceTargets
{
    Service service;
    std::vector<Target> byProximity[3];

    const std::vector<Target> &at(Proximity proximity) const
    {
        return byProximity[static_cast<std::size_t>(proximity)];
    }
    std::size_t size() const;
};

/// A route with its rank and targets resolved.
struct ResolvedRoute
{
    Route route;
    Rank rank;
    const ServiceTargets *targets = nullptr; ///< Never null; owned by the same table.
};

/// Immutable; replaced as a whole and read without a lock.
///
/// Invariant: the rank and service of every route belong to the same configuration version, and the
/// host of every target was a member in the host directory when the table was compiled.
class RoutingTable final
{
public:
    /// Joins \p configuration with \p directory for a node of \p zone in \p region.
    /// \p configuration must be valid.
    static std::shared_ptr<const RoutingTable> compile(const SharedConfiguration &configuration,
                                                       const HostDirectory &directory,
                                                       const ZoneId &zone, const RegionId &region);

    RoutingTable(const RoutingTable &) = delete;
    RoutingTable &operator=(const RoutingTable &) = delete;

    Version version() const { return m_configuration->version; }
    const Configuration &configuration() const { return m_configuration->content; }
    /// The route with the longest matching prefix of complete path segments; null if none matches.
    const ResolvedRoute *route(std::string_view path) const;
    const ServiceTargets *targets(const ServiceId &service) const;
    std::size_t targetCount() const { return m_targetCount; }
    /// Describes each violation of the class invariant; empty if it holds. For tests.
    std::vector<std::string> invariantViolations(const HostDirectory &directory) const;

private:
    RoutingTable() = default;
    void addTargets(const HostRecord &record, const ZoneId &zone, const RegionId &region);

    SharedConfiguration m_configuration;
    std::map<ServiceId, ServiceTargets> m_services;
    std::map<std::string, ResolvedRoute, std::less<>> m_routes; ///< By path prefix.
    std::size_t m_targetCount = 0;
};

} // namespace godwitlift
