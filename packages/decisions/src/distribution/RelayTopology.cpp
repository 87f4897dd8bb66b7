/// \file
/// Rendezvous hashing of relays and parents.
#include "godwitlift/distribution/RelayTopology.h"

#include "godwitlift/base/Hashing.h"

#include <algorithm>
#include <cmath>

namespace godwitlift {

namespace {

struct ScoredHost
{
    std::uint64_t score = 0;
    HostId host;

    friend auto operator<=>(const ScoredHost &, const ScoredHost &) = default;
};

/// The \p count reachable serving hosts of \p zone with the highest rendezvous scores.
std::vector<HostId> highestScoringHosts(const HostDirectory &directory, const ZoneId &zone,
                                        const std::set<HostId> &unreachable, std::size_t count)
{
    const std::uint64_t zoneSeed = hashOf(zone.value());
    std::vector<ScoredHost> scored;
    for (const HostRecord *member : directory.members(zone)) {
        if (member->state == HostState::Serving && !unreachable.contains(member->host))
            scored.push_back({ hashOf(member->host.value(), zoneSeed), member->host });
    }
    count = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count),
                      scored.end(), std::greater<>());
    std::vector<HostId> best;
    for (std::size_t i = 0; i < count; ++i)
        best.push_back(scored[i].host);
    return best;
}

bool contains(const std::vector<HostId> &hosts, const HostId &host)
{
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

} // namespace

std::string_view name(RelayLevel level)
{
    switch (level) {
    case RelayLevel::Root:
        return "root";
    case RelayLevel::Relay:
        return "relay";
    case RelayLevel::Leaf:
        break;
    }
    return "leaf";
}

RelayTopology::RelayTopology(const HostDirectory &directory, const ZoneId &zone,
                             const std::set<HostId> &unreachable, FanOutShape shape)
{
    const auto memberCount = static_cast<double>(directory.memberCount(zone));
    const auto relayCount =
            shape == FanOutShape::Flat
                    ? RootCount
                    : std::max(RootCount,
                               static_cast<std::size_t>(std::ceil(std::sqrt(memberCount))));
    m_relays = highestScoringHosts(directory, zone, unreachable, relayCount);
    m_roots.assign(m_relays.begin(),
                   m_relays.begin()
                           + static_cast<std::ptrdiff_t>(std::min(RootCount, m_relays.size())));
}

RelayLevel RelayTopology::level(const HostId &host) const
{
    if (contains(m_roots, host))
        return RelayLevel::Root;
    return contains(m_relays, host) ? RelayLevel::Relay : RelayLevel::Leaf;
}

HostId RelayTopology::parent(const HostId &host) const
{
    switch (level(host)) {
    case RelayLevel::Root:
        return host == m_roots.front() ? HostId() : m_roots.front();
    case RelayLevel::Relay:
        return rendezvousChoice(host.value(), m_roots);
    case RelayLevel::Leaf:
        break;
    }
    return rendezvousChoice(host.value(), m_relays);
}

std::vector<HostId> RelayTopology::rootsOf(const HostDirectory &directory, const ZoneId &zone,
                                           const std::set<HostId> &unreachable)
{
    return highestScoringHosts(directory, zone, unreachable, RootCount);
}

HostId rendezvousChoice(std::string_view key, const std::vector<HostId> &candidates)
{
    const std::uint64_t seed = hashOf(key);
    ScoredHost best;
    for (const HostId &candidate : candidates)
        best = std::max(best, ScoredHost{ hashOf(candidate.value(), seed), candidate });
    return best.host;
}

} // namespace godwitlift
