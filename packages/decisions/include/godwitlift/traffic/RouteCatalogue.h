/// \file
/// Immutable snapshot of the published configuration, indexed for routing by host name and path
/// prefix.
#pragma once

#include "godwitlift/access/ClientAccount.h"
#include "godwitlift/base/StrongId.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace godwitlift {

/// Lowest urgency with a queue of its own at each gate (0 is the highest); requests below it share
/// this queue.
inline constexpr int LowestUrgency = 7;

/// Whether a request may be sent again after an attempt that may have run.
enum class RetrySafety : std::uint8_t {
    Idempotent, ///< May run more than once.
    AtMostOnce  ///< Runs at most once per request id.
};

/// A destination of a route and its weight.
struct WeightedService
{
    ServiceId service;
    double weight = 1; ///< Relative to the other destinations of the route; never negative.

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

/// Routing rule for requests with one host name and path prefix.
struct TrafficRoute
{
    RouteId id;
    std::string hostName;
    std::string prefix;                        ///< Begins and ends with '/'.
    std::vector<WeightedService> destinations; ///< Never empty.
    RetrySafety retrySafety = RetrySafety::AtMostOnce;
    bool isBulk = false;             ///< Large downloads; throughput matters more than latency.
    bool isUpload = false;           ///< Large request bodies.
    bool isPublic = false;           ///< Needs no key where the configuration has accounts.
    absl::Duration timeout;          ///< Longest time until the answer.
    absl::Duration latencyObjective; ///< Latency up to which an answer counts as in time.
    int urgency = 0;                 ///< 0 is the most urgent.
    std::uint32_t attemptLimit = 1;  ///< Backend servers that one request may reach.

    friend bool operator==(const TrafficRoute &, const TrafficRoute &) = default;
};

/// Operator settings of a service.
struct TrafficService
{
    ServiceId id;
    std::string healthPath;
    std::uint32_t connectionLimit = 0; ///< Connections a backend server accepts; 0 if unknown.

    friend bool operator==(const TrafficService &, const TrafficService &) = default;
};

/// Size limits and timeouts for client requests.
struct ClientLimits
{
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 1'048'576;
    absl::Duration headerTimeout = absl::Seconds(5);
    absl::Duration idleTimeout = absl::Seconds(15);

    friend bool operator==(const ClientLimits &, const ClientLimits &) = default;
};

/// A route that consecutive versions share while it is unchanged.
using SharedRoute = std::shared_ptr<const TrafficRoute>;

/// An account that consecutive versions share while it is unchanged.
using SharedAccount = std::shared_ptr<const ClientAccount>;

/// One version of the configuration. Immutable and shared by pointer; consecutive versions share
/// unchanged routes.
///
/// Invariants: prefixes are unique per host name; every route has a destination; a key belongs to
/// at most one account.
class RouteCatalogue final
{
public:
    /// Builds the lookup tables. If two routes have the same id, or the same host name and prefix,
    /// the first one is used; so it is if two accounts have the same id or share a key.
    static std::shared_ptr<const RouteCatalogue>
    create(Version version, std::vector<SharedRoute> routes, std::vector<TrafficService> services,
           ClientLimits limits, std::vector<SharedAccount> accounts = {});

    Version version() const { return m_version; }
    const ClientLimits &limits() const { return m_limits; }
    std::size_t routeCount() const { return m_routes.size(); }
    const std::map<RouteId, SharedRoute> &routes() const { return m_routes; }
    const std::map<ServiceId, TrafficService> &services() const { return m_services; }
    const std::map<ClientAccountId, SharedAccount> &accounts() const { return m_accounts; }
    /// Whether requests to routes that are not public must present the key of an account.
    bool requiresKeys() const { return !m_accounts.empty(); }
    /// The account that holds the key; null if none does.
    const ClientAccount *accountOfKey(const KeyDigest &key) const;
    /// Null if this version does not contain the account.
    const ClientAccount *account(const ClientAccountId &id) const;
    /// Hash of the content without the version; equal on all nodes with the same content.
    std::uint64_t digest() const;
    /// The route with the longest prefix of \p path; null if none matches.
    const TrafficRoute *route(std::string_view hostName, std::string_view path) const;
    /// Null if this version does not contain the service.
    const TrafficService *service(const ServiceId &id) const;

private:
    RouteCatalogue() = default;

    using PrefixTable = std::map<std::string_view, const TrafficRoute *>; ///< Views into m_routes.

    Version m_version;
    ClientLimits m_limits;
    std::map<RouteId, SharedRoute> m_routes;
    std::map<std::string_view, PrefixTable> m_byHostName;
    std::map<ServiceId, TrafficService> m_services;
    std::map<ClientAccountId, SharedAccount> m_accounts;
    absl::flat_hash_map<KeyDigest, const ClientAccount *> m_accountByKey; ///< Into m_accounts.
};

} // namespace godwitlift
