/// \file
/// The published configuration as the request path uses it: routes by host name and path prefix.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace godwitlift {

/// How often a request of a route may run.
enum class Replay : std::uint8_t {
    Idempotent, ///< May run more than once.
    AtMostOnce  ///< Runs once at most for each request id.
};

/// One destination of a route with its share of the requests.
struct WeightedService
{
    ServiceId service;
    double weight = 1; ///< Relative to the other destinations of the route; never negative.

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

/// Requests of one host name and path prefix.
struct TrafficRoute
{
    RouteId id;
    std::string hostName;
    std::string prefix;                        ///< Begins and ends with '/'.
    std::vector<WeightedService> destinations; ///< Never empty.
    Replay replay = Replay::AtMostOnce;
    bool isBulk = false;            ///< Large answers, judged by bytes more than by latency.
    absl::Duration timeout;         ///< Longest time a request may wait for its answer.
    absl::Duration objective;       ///< Latency within which an answer is worth its full credit.
    int urgency = 0;                ///< 0 is the most urgent.
    std::uint32_t attemptLimit = 1; ///< Backend servers that one request may be sent to.

    friend bool operator==(const TrafficRoute &, const TrafficRoute &) = default;
};

/// What the operator says about a service.
struct TrafficService
{
    ServiceId id;
    std::string healthPath;
    std::uint32_t connectionLimit = 0; ///< Connections a backend server accepts; 0 is unknown.

    friend bool operator==(const TrafficService &, const TrafficService &) = default;
};

/// What a client may send and how long it may take.
struct ClientLimits
{
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 1'048'576;
    absl::Duration headerTimeout = absl::Seconds(5);
    absl::Duration idleTimeout = absl::Seconds(15);

    friend bool operator==(const ClientLimits &, const ClientLimits &) = default;
};

/// A route as versions share it.
using SharedRoute = std::shared_ptr<const TrafficRoute>;

/// One whole version. Immutable once built; shared by pointer. Versions that follow each other
/// share the routes that did not change.
///
/// Invariants: prefixes are unique per host name; every route has a destination.
class RouteCatalogue final
{
public:
    /// Builds the lookup tables. Of two routes with the same id, or the same host name and prefix,
    /// the first one counts.
    static std::shared_ptr<const RouteCatalogue> create(Version version,
                                                        std::vector<SharedRoute> routes,
                                                        std::vector<TrafficService> services,
                                                        ClientLimits limits);

    Version version() const { return m_version; }
    const ClientLimits &limits() const { return m_limits; }
    std::size_t routeCount() const { return m_routes.size(); }
    const std::map<RouteId, SharedRoute> &routes() const { return m_routes; }
    const std::map<ServiceId, TrafficService> &services() const { return m_services; }
    /// Hash of the whole content without the version; the same on every node.
    std::uint64_t digest() const;
    /// The route with the longest prefix that begins \p path; null if none matches.
    const TrafficRoute *route(std::string_view hostName, std::string_view path) const;
    /// Null for a service that this version does not contain.
    const TrafficService *service(const ServiceId &id) const;

private:
    RouteCatalogue() = default;

    using PrefixTable = std::map<std::string_view, const TrafficRoute *>; ///< Views into m_routes.

    Version m_version;
    ClientLimits m_limits;
    std::map<RouteId, SharedRoute> m_routes;
    std::map<std::string_view, PrefixTable> m_byHostName;
    std::map<ServiceId, TrafficService> m_services;
};

} // namespace godwitlift
