/// \file
/// Division of a node's requests, and the check at the gates.
#include "godwitlift/rollout/RolloutTraffic.h"

#include "godwitlift/base/Hashing.h"

#include <algorithm>
#include <cmath>

namespace godwitlift {

namespace {

/// Servers in a trial, as a share of all servers of the new version times the share of its
/// requests: each of them has somewhat more requests than after the shift.
constexpr double TrialServersPerShare = 0.7;

} // namespace

bool RolloutTraffic::adopt(const RolloutState &state, absl::Time now)
{
    const auto [it, isNew] = m_services.try_emplace(state.order.service);
    Service &service = it->second;
    const bool isSameOrder = !isNew && service.state.order.revision == state.order.revision;
    if (isSameOrder) // A node that has started later does not know how old the order is.
        service.state.ordered = std::min(service.state.ordered, state.ordered);
    if (!isNew && !isNewer(state, service.state))
        return false;
    const absl::Time ordered =
            isSameOrder ? std::min(service.state.ordered, state.ordered) : state.ordered;
    if (!isSameOrder)
        service.credit = m_random.uniformReal();
    service.state = state;
    service.state.ordered = ordered;
    service.stepTime = now;
    return true;
}

const RolloutState *RolloutTraffic::find(const ServiceId &service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : &it->second.state;
}

std::vector<RolloutState> RolloutTraffic::states() const
{
    std::vector<RolloutState> states;
    for (const auto &[id, service] : m_services)
        states.push_back(service.state);
    return states;
}

absl::Time RolloutTraffic::stepTime(const ServiceId &service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? absl::InfinitePast() : it->second.stepTime;
}

void RolloutTraffic::setServers(const ServiceId &service, const std::vector<RolloutServer> &servers)
{
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return;
    Service &entry = it->second;
    const RolloutOrder &order = entry.state.order;
    std::vector<std::pair<std::uint64_t, HostId>> ranked;
    entry.hasOtherServers = false;
    for (const RolloutServer &server : servers) {
        if (!server.acceptsRequests)
            continue;
        if (server.version == order.target)
            ranked.emplace_back(hashOf(server.server.value(), order.revision), server.host);
        else
            entry.hasOtherServers = true;
    }
    std::sort(ranked.begin(), ranked.end());
    const double share = m_exposureShare * RolloutShare::TrialPart * TrialServersPerShare;
    const auto count = std::max(
            MinTrialServers, static_cast<std::size_t>(share * static_cast<double>(ranked.size())));
    entry.trialHosts.clear();
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i)
        entry.trialHosts.insert(ranked[i].second);
}

bool RolloutTraffic::isDivided(const Service &service, absl::Time now) const
{
    return service.state.phase != RolloutPhase::Completed
           || now - service.stepTime < CompletionSpread;
}

RolloutCohort RolloutTraffic::nextCohort(const ServiceId &service, absl::Time now)
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || !isDivided(it->second, now))
        return RolloutCohort::Any;
    Service &entry = it->second;
    const double share = RolloutShare::of(entry.state, m_exposureShare);
    if (share >= 1)
        return RolloutCohort::Target;
    // Credit does not pile up while no server of the new version is there.
    entry.credit = std::min(entry.credit + share, 2.0);
    return entry.credit >= 1 ? RolloutCohort::Target : RolloutCohort::Other;
}

RolloutCohort RolloutTraffic::repeatCohort(const ServiceId &service, absl::Time now) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || !isDivided(it->second, now))
        return RolloutCohort::Any;
    const RolloutState &state = it->second.state;
    return RolloutShare::of(state, m_exposureShare) >= 1 ? RolloutCohort::Target
                                                         : RolloutCohort::Other;
}

void RolloutTraffic::onTargetSent(const ServiceId &service)
{
    const auto it = m_services.find(service);
    if (it != m_services.end())
        it->second.credit = std::max(it->second.credit - 1, 0.0);
}

HostFilter RolloutTraffic::filter(const ServiceId &service, RolloutCohort cohort) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || cohort == RolloutCohort::Any)
        return nullptr;
    const Service &entry = it->second;
    const bool isTrial = entry.state.phase == RolloutPhase::Trial;
    return [&entry, cohort, isTrial](const HostId &host, const GateReport &report) {
        if ((report.version == entry.state.order.target) != (cohort == RolloutCohort::Target))
            return false;
        return cohort == RolloutCohort::Other || !isTrial || entry.trialHosts.contains(host);
    };
}

bool RolloutTraffic::admits(const ServiceId &service, const ServerVersion &version,
                            std::uint64_t order) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || version != it->second.state.order.target)
        return true;
    const Service &entry = it->second;
    switch (entry.state.phase) {
    case RolloutPhase::Trial:
    case RolloutPhase::Shift:
        // Without a server of another version, the new one is all that is left.
        return order == entry.state.order.revision || !entry.hasOtherServers;
    case RolloutPhase::RolledBack:
        return false;
    case RolloutPhase::Completed:
        return true;
    }
    return true;
}

} // namespace godwitlift
