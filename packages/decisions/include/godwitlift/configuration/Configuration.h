/// \file
/// The configuration aggregate: what operators intend, as one closed value.
#pragma once

#include "godwitlift/base/Failure.h"
#include "godwitlift/base/StrongId.h"

#include <absl/time/time.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace godwitlift {

/// A class of urgency with its policy under load. Shares are fractions of a backend server's slots.
struct Rank
{
    RankId id;
    int urgency = 0;               ///< 0 is the most urgent; unique among ranks.
    double floorShare = 0;         ///< Share of slots kept for this rank while it has work.
    double ceilingShare = 1;       ///< Share of slots the rank may hold at most.
    double retryRatio = 0.1;       ///< Retries allowed for each first attempt.
    std::uint32_t queueLimit = 64; ///< Requests of the rank that may wait at one gate.

    friend bool operator==(const Rank &, const Rank &) = default;
};

/// A service and the rules for the backend servers that may take its work.
struct Service
{
    ServiceId id;
    std::set<ZoneId> zones;         ///< Zones whose backend servers may take work; empty means all.
    std::set<HostId> withheldHosts; ///< Hosts whose backend servers get no new work.
    absl::Duration slowStart; ///< Time over which a cold backend server reaches its full slots.

    friend bool operator==(const Service &, const Service &) = default;
};

/// Whether a request may reach a backend server more than once.
enum class Repeatability : std::uint8_t {
    Repeatable, ///< Running it again is harmless.
    AtMostOnce  ///< Needs an idempotency key and runs at most once under that key.
};

/// Leads requests of one path prefix to a service at a rank.
struct Route
{
    RouteId id;
    std::string pathPrefix; ///< Starts with '/'; the longest matching prefix wins.
    ServiceId service;
    RankId rank;
    Repeatability repeatability = Repeatability::Repeatable;
    absl::Duration deadline;        ///< Upper bound for a request whose caller states none.
    absl::Duration stallTimeout;    ///< Longest pause of an answer's transfer.
    std::uint64_t requestLimit = 0; ///< Largest request body in bytes.

    friend bool operator==(const Route &, const Route &) = default;
};

/// A whole configuration. Values are immutable once shared between threads.
///
/// Invariant of a valid configuration: every route names a service and a rank that it contains,
/// urgencies and path prefixes are unique, and the floors of all ranks sum up to at most 1.
struct Configuration
{
    std::map<RankId, Rank> ranks;
    std::map<ServiceId, Service> services;
    std::map<RouteId, Route> routes;

    /// Every violated invariant, named by path; empty for a valid configuration.
    std::vector<InputFault> faults() const;
    bool isEmpty() const { return ranks.empty() && services.empty() && routes.empty(); }

    friend bool operator==(const Configuration &, const Configuration &) = default;
};

} // namespace godwitlift
