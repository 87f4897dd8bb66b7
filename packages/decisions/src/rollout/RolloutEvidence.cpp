/// \file
/// Comparison of the versions by failures and by service times.
#include "godwitlift/rollout/RolloutEvidence.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace godwitlift {

namespace {

/// A service time is bad if it is this number of classes above the usual one: about three times as
/// long.
constexpr std::size_t SlowClasses = 4;
/// Answers of the old version from which its service times are known.
constexpr std::uint32_t MinReference = 20;
/// Share of bad answers that is assumed of the old version in addition to those seen.
constexpr double AssumedBadShare = 0.01;
/// Bad answers beyond the expected ones, in standard deviations and in answers, from which the
/// difference is no coincidence.
constexpr double SignificantDeviations = 4;
constexpr double SignificantExcess = 4;
/// Answers of a server from which it counts in the comparison of servers.
constexpr std::uint32_t MinServerAnswers = 5;

/// Answers of the old version from which some of the new one are expected as well.
constexpr std::uint32_t FrequentAnswers = 1000;

struct RouteComparison
{
    std::uint32_t bad = 0;
    std::uint32_t total = 0;
    double expected = 0; ///< Bad answers, if the new version were as the old one.
};

std::uint32_t answerCount(const RouteEvidence &evidence)
{
    return evidence.total() - evidence.failures;
}

/// Class of the median service time.
std::size_t medianClass(const RouteEvidence &evidence)
{
    const std::uint32_t count = answerCount(evidence);
    std::size_t timeClass = 0;
    for (std::uint32_t below = evidence.serviceTimes[0];
         below * 2 < count && timeClass + 1 < RouteEvidence::TimeClasses;)
        below += evidence.serviceTimes[++timeClass];
    return timeClass;
}

RouteComparison compareRoute(const RouteEvidence &target, const RouteEvidence &reference)
{
    RouteComparison comparison;
    comparison.total = target.total();
    comparison.bad = target.failures;
    std::uint32_t referenceBad = reference.failures;
    if (answerCount(reference) >= MinReference) {
        const std::size_t slow = medianClass(reference) + SlowClasses;
        comparison.bad += target.countFrom(slow);
        referenceBad += reference.countFrom(slow);
    }
    const double referenceShare =
            reference.total() == 0 ? 0 : static_cast<double>(referenceBad) / reference.total();
    comparison.expected = comparison.total * std::min(1.0, referenceShare + AssumedBadShare);
    return comparison;
}

bool isSignificant(double bad, double expected)
{
    return bad > expected + SignificantDeviations * std::sqrt(expected) + SignificantExcess;
}

} // namespace

std::size_t RouteEvidence::timeClass(absl::Duration serviceTime)
{
    if (serviceTime <= FirstClassLimit)
        return 0;
    const double ratio = absl::FDivDuration(serviceTime, FirstClassLimit);
    return std::min(static_cast<std::size_t>(1 + std::floor(2 * std::log2(ratio))),
                    TimeClasses - 1);
}

std::uint32_t RouteEvidence::total() const
{
    return std::accumulate(serviceTimes.begin(), serviceTimes.end(), failures);
}

std::uint32_t RouteEvidence::countFrom(std::size_t timeClass) const
{
    if (timeClass >= TimeClasses)
        return 0;
    return std::accumulate(serviceTimes.begin() + static_cast<std::ptrdiff_t>(timeClass),
                           serviceTimes.end(), std::uint32_t(0));
}

RouteEvidence &RouteEvidence::operator+=(const RouteEvidence &other)
{
    failures += other.failures;
    for (std::size_t i = 0; i < TimeClasses; ++i)
        serviceTimes[i] += other.serviceTimes[i];
    return *this;
}

void RolloutEvidence::onReport(const HostId &host, const ServerEvidence &evidence)
{
    ServerEvidence &known = m_servers[{ host, evidence.server }];
    known.server = evidence.server;
    known.version = evidence.version;
    known.busy = evidence.busy;
    for (auto &[route, counts] : evidence.routes) {
        RouteEvidence &entry = known.routes[route];
        // A restarted gate counts from 0 again, and its earlier answers still count.
        if (counts.total() >= entry.total())
            entry = counts;
    }
}

std::uint32_t RolloutEvidence::allAnswers() const
{
    std::uint32_t answers = 0;
    for (const auto &[key, server] : m_servers) {
        for (const auto &[route, counts] : server.routes)
            answers += counts.total();
    }
    return answers;
}

std::optional<std::uint32_t> RolloutEvidence::busy(const HostId &host,
                                                   const BackendServerId &server) const
{
    const auto it = m_servers.find({ host, server });
    if (it == m_servers.end())
        return std::nullopt;
    return it->second.busy;
}

RolloutEvidence::VersionEvidence RolloutEvidence::sumOf(const Servers &servers,
                                                        const ServerVersion &target, bool isTarget,
                                                        const ServerKey *excluded)
{
    VersionEvidence sum;
    for (const auto &[key, server] : servers) {
        if ((server.version == target) != isTarget || (excluded != nullptr && key == *excluded))
            continue;
        for (const auto &[route, counts] : server.routes)
            sum[route] += counts;
    }
    return sum;
}

RolloutEvidence::Servers RolloutEvidence::difference(Servers servers, const Servers &baseline)
{
    const auto subtract = [](std::uint32_t &count, std::uint32_t before) {
        count -= std::min(count, before);
    };
    for (auto &[key, server] : servers) {
        const auto before = baseline.find(key);
        if (before == baseline.end())
            continue;
        for (auto &[route, counts] : server.routes) {
            const auto it = before->second.routes.find(route);
            if (it == before->second.routes.end())
                continue;
            subtract(counts.failures, it->second.failures);
            for (std::size_t i = 0; i < RouteEvidence::TimeClasses; ++i)
                subtract(counts.serviceTimes[i], it->second.serviceTimes[i]);
        }
    }
    return servers;
}

void RolloutEvidence::keepBaseline(absl::Time now, absl::Duration interval)
{
    if (now - m_baselineTime < interval)
        return;
    m_baselineTime = now;
    m_earlierBaseline = std::move(m_lastBaseline);
    m_lastBaseline = m_servers;
}

VersionComparison RolloutEvidence::compare(const ServerVersion &target) const
{
    VersionComparison result = compare(m_servers, target);
    if (!result.isBad && m_earlierBaseline)
        result.isBad = compare(difference(m_servers, *m_earlierBaseline), target).isBad;
    return result;
}

VersionComparison RolloutEvidence::compare(const Servers &servers, const ServerVersion &target)
{
    VersionComparison result;
    const VersionEvidence reference = sumOf(servers, target, false, nullptr);
    const auto referenceOf = [&reference](const RouteId &route) {
        const auto it = reference.find(route);
        return it == reference.end() ? RouteEvidence() : it->second;
    };
    const auto isBadIn = [&](const VersionEvidence &evidence) {
        RouteComparison sum;
        bool isRouteBad = false;
        for (const auto &[route, counts] : evidence) {
            const RouteComparison comparison = compareRoute(counts, referenceOf(route));
            sum.bad += comparison.bad;
            sum.total += comparison.total;
            sum.expected += comparison.expected;
            isRouteBad = isRouteBad || isSignificant(comparison.bad, comparison.expected);
        }
        result.badAnswers = std::max(result.badAnswers, sum.bad);
        result.answers = std::max(result.answers, sum.total);
        return isRouteBad || isSignificant(sum.bad, sum.expected);
    };
    const VersionEvidence all = sumOf(servers, target, true, nullptr);
    result.isBad = isBadIn(all);
    // A single server that fails for a reason of its own says nothing about its version.
    if (result.isBad) {
        std::vector<ServerKey> answering;
        for (const auto &[key, server] : servers) {
            std::uint32_t answers = 0;
            for (const auto &[route, counts] : server.routes)
                answers += counts.total();
            if (server.version == target && answers >= MinServerAnswers)
                answering.push_back(key);
        }
        if (answering.size() > 2)
            result.isBad = std::all_of(answering.begin(), answering.end(), [&](const auto &key) {
                return isBadIn(sumOf(servers, target, true, &key));
            });
    }
    std::uint32_t referenceAnswers = 0;
    for (const auto &[route, counts] : reference)
        referenceAnswers += counts.total();
    result.hasReference = referenceAnswers >= FrequentAnswers;
    return result;
}

} // namespace godwitlift
