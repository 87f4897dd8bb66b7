/// \file
/// Answers of the servers of a service during a roll-out, and the comparison of the two versions.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace godwitlift {

/// Answers of one server on one route since the order.
struct RouteEvidence
{
    /// Classes of service times: each begins at the square root of two times the one before.
    static constexpr std::size_t TimeClasses = 36;
    /// Beginning of the second class; all shorter times are in the first one.
    static constexpr absl::Duration FirstClassLimit = absl::Milliseconds(1);

    std::uint32_t failures = 0; ///< Server errors, and answers that are incomplete or missing.
    /// Other answers by the class of their service time. An attempt that was given up while it ran
    /// counts by the time it had run until then.
    std::array<std::uint32_t, TimeClasses> serviceTimes{};

    void recordFailure() { ++failures; }
    void recordAnswer(absl::Duration serviceTime) { ++serviceTimes[timeClass(serviceTime)]; }
    std::uint32_t total() const;
    /// Answers in class \p timeClass or above.
    std::uint32_t countFrom(std::size_t timeClass) const;
    RouteEvidence &operator+=(const RouteEvidence &other);

    static std::size_t timeClass(absl::Duration serviceTime);

    friend bool operator==(const RouteEvidence &, const RouteEvidence &) = default;
};

/// What the gate of one server has seen since the order. The counts only grow, so that the latest
/// report of a gate replaces all earlier ones.
struct ServerEvidence
{
    BackendServerId server;
    ServerVersion version;
    std::uint32_t busy = 0; ///< Requests that run or wait now.
    std::map<RouteId, RouteEvidence> routes;
};

/// What the comparison of a version with the others shows.
struct VersionComparison
{
    bool isBad = false;
    /// Answers of the new version that failed or took several times as long as usual.
    std::uint32_t badAnswers = 0;
    std::uint32_t answers = 0; ///< Of the new version.
    bool hasReference = false; ///< The other versions have enough answers to compare with.
};

/// Collects the evidence of all servers of a service and compares the versions. Not thread-safe.
class RolloutEvidence final
{
public:
    void onReport(const HostId &host, const ServerEvidence &evidence);
    /// Compares the servers of \p target with all others over the same time and the same routes:
    /// since the order, and since the last baseline but one.
    VersionComparison compare(const ServerVersion &target) const;
    /// Begins a time for comparison unless \p interval has not passed since the last one began.
    /// Without it, a version that turns bad after many good answers would be seen late.
    void keepBaseline(absl::Time now, absl::Duration interval);
    /// Answers of all servers since the order, as far as they have reported.
    std::uint32_t allAnswers() const;
    /// Requests that run or wait at \p server, by its latest report; none without one.
    std::optional<std::uint32_t> busy(const HostId &host, const BackendServerId &server) const;

private:
    using VersionEvidence = std::map<RouteId, RouteEvidence>;
    using ServerKey = std::pair<HostId, BackendServerId>;
    using Servers = std::map<ServerKey, ServerEvidence>;

    static VersionEvidence sumOf(const Servers &servers, const ServerVersion &target, bool isTarget,
                                 const ServerKey *excluded);
    static VersionComparison compare(const Servers &servers, const ServerVersion &target);
    /// What \p servers have answered since \p baseline.
    static Servers difference(Servers servers, const Servers &baseline);

    /// Of the processes of the servers, also of those that have ended.
    Servers m_servers;
    std::optional<Servers> m_lastBaseline;
    std::optional<Servers> m_earlierBaseline; ///< The one before.
    absl::Time m_baselineTime = absl::InfinitePast();
};

} // namespace godwitlift
