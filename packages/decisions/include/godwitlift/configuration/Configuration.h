/// \file
/// The configuration that operators publish, as one self-contained value.
#pragma once

#include "godwitlift/base/Failure.h"
#include "godwitlift/base/StrongId.h"

#include <absl/time/time.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace godwitlift {

/// A priority class and its overload policy. Shares are fractions of a backend server's slots.
struct Rank
{
    RankId id;
    int urgency = 0;         ///< 0 is the most urgent; unique among ranks.
    double floorShare = 0;   ///< Share of slots guaranteed to this rank while it has requests.
    double ceilingShare = 1; ///< Largest share of slots that this rank may use.
    double retryRatio = 0.1; ///< Retries allowed per first attempt.
    std::uint32_t queueLimit = 64; ///< Requests of this rank that may queue at one admission gate.

    friend bool operator==(const Rank &, const Rank &) = default;
};

/// A service and the rules for which backend servers may receive its requests.
struct Service
{
    ServiceId id;
    std::set<ZoneId> zones; ///< Zones whose backend servers may receive requests; empty means all.
    std::set<HostId> withheldHosts; ///< Hosts whose backend servers receive no new requests.
    absl::Duration slowStart; ///< Time over which a new backend server ramps up to all its slots.

    friend bool operator==(const Service &, const Service &) = default;
};

/// Whether a request may be sent to a backend server more than once.
enum class Repeatability : std::uint8_t {
    Repeatable, ///< Idempotent; may be executed again.
    AtMostOnce  ///< Requires an idempotency key and is executed at most once per key.
};

/// Maps requests with a path prefix to a service and a rank.
struct Route
{
    RouteId id;
    std::string pathPrefix; ///< Starts with '/'; the longest matching prefix wins.
    ServiceId service;
    RankId rank;
    Repeatability repeatability = Repeatability::Repeatable;
    /// Default and upper bound: a caller can only specify a shorter deadline.
    absl::Duration deadline;
    absl::Duration stallTimeout; ///< Longest time without progress in the transfer of an answer.
    std::uint64_t requestLimitBytes = 0; ///< Largest request body.

    friend bool operator==(const Route &, const Route &) = default;
};

/// A complete configuration. Immutable once shared between threads.
///
/// Invariants of a valid configuration: every route refers to an existing service and rank,
/// urgencies and path prefixes are unique, and the floor shares of all ranks add up to at most 1.
struct Configuration
{
    std::map<RankId, Rank> ranks;
    std::map<ServiceId, Service> services;
    std::map<RouteId, Route> routes;

    /// Returns every violated invariant with its path; empty for a valid configuration.
    std::vector<InputFault> validate() const;
    bool isEmpty() const { return ranks.empty() && services.empty() && routes.empty(); }

    friend bool operator==(const Configuration &, const Configuration &) = default;
};

} // namespace godwitlift
