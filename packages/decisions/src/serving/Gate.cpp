/// \file
/// Admission and choice of the next request.
#include "godwitlift/serving/Gate.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace godwitlift {

namespace {

/// Weight of the newest service time in the moving mean.
constexpr double MeanWeight = 0.1;
/// Share of the slots that lesser ranks leave free at most for more urgent ranks in use.
constexpr double HeadroomShare = 0.1;
/// Service times are spread: of requests that wait until the mean still fits, half end late.
constexpr double WaitingMargin = 1.3;
/// Length of the window over which the demand of a rank counts as current.
constexpr absl::Duration PeakWindow = absl::Seconds(1);

std::uint32_t shareOf(double share, std::uint32_t limit)
{
    if (share <= 0)
        return 0;
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(share * limit)));
}

} // namespace

Gate::Gate(SlotLimit limit, const std::map<RankId, Rank> &ranks, GateDiscipline discipline)
    : m_limit(limit)
    , m_discipline(discipline)
{
    setRanks(ranks);
}

void Gate::setRanks(const std::map<RankId, Rank> &ranks)
{
    std::vector<Rank> ordered;
    ordered.reserve(ranks.size());
    for (const auto &entry : ranks)
        ordered.push_back(entry.second);
    if (ordered.empty())
        ordered.emplace_back();
    std::sort(ordered.begin(), ordered.end(),
              [](const Rank &a, const Rank &b) { return a.urgency < b.urgency; });
    std::map<RankId, std::size_t> byRank;
    for (std::size_t i = 0; i < ordered.size(); ++i)
        byRank[ordered[i].id] = i;
    if (m_discipline == GateDiscipline::InTimeFirst) {
        const std::vector<Rank> late = ordered;
        ordered.insert(ordered.end(), late.begin(), late.end());
    }
    std::vector<Lane> lanes(ordered.size());
    for (std::size_t i = 0; i < ordered.size(); ++i)
        lanes[i].policy = ordered[i];
    // Requests of a rank that is gone move to the least urgent one.
    std::vector<std::size_t> moved(m_lanes.size());
    for (std::size_t i = 0; i < m_lanes.size(); ++i) {
        const auto it = byRank.find(m_lanes[i].policy.id);
        moved[i] = it == byRank.end() ? lanes.size() - 1 : it->second;
        Lane &target = lanes[moved[i]];
        target.inUse += m_lanes[i].inUse;
        target.meanSeconds = std::max(target.meanSeconds, m_lanes[i].meanSeconds);
        while (auto call = m_lanes[i].queue.pop())
            target.queue.push(std::move(*call), SIZE_MAX);
    }
    for (auto &entry : m_running)
        entry.second.lane = moved[entry.second.lane];
    m_lanes = std::move(lanes);
    m_laneByRank = std::move(byRank);
}

std::size_t Gate::laneOf(const RankId &rank) const
{
    const auto it = m_laneByRank.find(rank);
    return it == m_laneByRank.end() ? m_lanes.size() - 1 : it->second;
}

std::uint32_t Gate::floorSlots(const Lane &lane, std::uint32_t limit) const
{
    if (m_discipline == GateDiscipline::StrictRank || m_discipline == GateDiscipline::InTimeFirst)
        return 0;
    return shareOf(lane.policy.floorShare, limit);
}

std::uint32_t Gate::ceilingSlots(const Lane &lane, std::uint32_t limit) const
{
    if (m_discipline == GateDiscipline::StrictRank || m_discipline == GateDiscipline::FirstCome
        || m_discipline == GateDiscipline::InTimeFirst)
        return limit;
    if (m_discipline == GateDiscipline::FixedShares)
        return std::max<std::uint32_t>(1, shareOf(lane.policy.floorShare, limit));
    return std::max<std::uint32_t>(1, shareOf(lane.policy.ceilingShare, limit));
}

std::uint32_t Gate::headroom(std::size_t lane, std::uint32_t limit) const
{
    if (m_discipline != GateDiscipline::Ranked && m_discipline != GateDiscipline::InTimeFirst)
        return 0;
    std::uint32_t wanted = 0;
    for (std::size_t i = 0; i < lane; ++i) {
        const Lane &urgent = m_lanes[i];
        // Short work of the lesser rank frees slots faster than the urgent rank needs them.
        if (urgent.meanSeconds >= m_lanes[lane].meanSeconds)
            continue;
        const std::uint32_t peak = std::max(urgent.peak, urgent.lastPeak);
        wanted += peak > urgent.inUse ? peak - urgent.inUse : 0;
    }
    std::uint32_t kept = std::min(wanted, shareOf(HeadroomShare, limit));
    // What is late does not take the slots that work in time has to leave.
    const std::size_t ranks = m_lanes.size() / 2;
    if (m_discipline == GateDiscipline::InTimeFirst && lane >= ranks)
        kept = std::max(kept, headroom(ranks - 1, limit));
    return kept;
}

bool Gate::mayStart(std::size_t lane, std::uint32_t limit) const
{
    const Lane &candidate = m_lanes[lane];
    if (m_inUse >= limit || candidate.inUse >= ceilingSlots(candidate, limit))
        return false;
    if (candidate.inUse < floorSlots(candidate, limit))
        return true;
    return m_inUse + headroom(lane, limit) < limit;
}

std::optional<std::size_t> Gate::nextLane(std::uint32_t limit) const
{
    if (m_inUse >= limit)
        return std::nullopt;
    for (std::size_t i = 0; i < m_lanes.size(); ++i) {
        if (!m_lanes[i].queue.isEmpty() && m_lanes[i].inUse < floorSlots(m_lanes[i], limit)
            && mayStart(i, limit))
            return i;
    }
    for (std::size_t i = 0; i < m_lanes.size(); ++i) {
        if (!m_lanes[i].queue.isEmpty() && mayStart(i, limit))
            return i;
    }
    return std::nullopt;
}

void Gate::start(std::size_t lane, AttemptId attempt, absl::Time now, GateStep &step)
{
    ++m_lanes[lane].inUse;
    ++m_inUse;
    m_running[attempt] = { lane, now };
    step.starts.push_back(attempt);
}

void Gate::startWaiting(absl::Time now, GateStep &step)
{
    const std::uint32_t limit = m_limit.current(now);
    while (const auto lane = nextLane(limit)) {
        const auto call = m_lanes[*lane].queue.pop();
        start(*lane, call->attempt, now, step);
    }
}

absl::Duration Gate::expectedService(std::size_t lane) const
{
    return absl::Seconds(m_lanes[lane].meanSeconds);
}

absl::Duration Gate::expectedWait(std::size_t lane, std::uint32_t limit) const
{
    const Lane &own = m_lanes[lane];
    std::uint32_t urgentInUse = 0;
    for (std::size_t i = 0; i < lane; ++i)
        urgentInUse += m_lanes[i].inUse;
    std::uint32_t available = limit > urgentInUse ? limit - urgentInUse : 0;
    available = std::min(available, ceilingSlots(own, limit));
    available = std::max({ available, floorSlots(own, limit), 1U });
    return expectedService(lane) * (static_cast<double>(own.queue.size() + 1) / available);
}

void Gate::notePeaks(absl::Time now)
{
    if (now - m_window >= PeakWindow) {
        m_window = now;
        for (Lane &lane : m_lanes) {
            lane.lastPeak = lane.peak;
            lane.peak = 0;
        }
    }
    for (Lane &lane : m_lanes)
        lane.peak = std::max(lane.peak, lane.demand());
}

GateStep Gate::arrive(const GateCall &call, absl::Time now)
{
    GateStep step;
    if (m_draining) {
        step.refusals.push_back({ call.attempt, Reason::Draining, absl::ZeroDuration() });
        return step;
    }
    if (m_discipline == GateDiscipline::InTimeFirst)
        return arriveInTimeFirst(call, now);
    refuseHopeless(now, step);
    const std::size_t lane = m_discipline == GateDiscipline::FirstCome ? 0 : laneOf(call.rank);
    const std::uint32_t limit = m_limit.current(now);
    if (now + expectedService(lane) > call.deadline) {
        step.refusals.push_back({ call.attempt, Reason::DeadlineUnmeetable, absl::ZeroDuration() });
        return step;
    }
    if (m_lanes[lane].queue.isEmpty() && mayStart(lane, limit)) {
        start(lane, call.attempt, now, step);
        notePeaks(now);
        return step;
    }
    const absl::Duration wait = expectedWait(lane, limit);
    if (now + wait + expectedService(lane) > call.deadline) {
        step.refusals.push_back({ call.attempt, Reason::DeadlineUnmeetable, wait });
        return step;
    }
    // A plain queue does not tell its callers apart.
    const CallerId caller = m_discipline == GateDiscipline::FirstCome ? CallerId() : call.caller;
    auto pushed = m_lanes[lane].queue.push({ call.attempt, caller, now, call.deadline },
                                           m_lanes[lane].policy.queueLimit);
    if (!pushed.queued)
        step.refusals.push_back({ call.attempt,
                                  pushed.isOverShare ? Reason::QueueShare : Reason::QueueFull,
                                  wait });
    if (pushed.displaced)
        step.refusals.push_back({ pushed.displaced->attempt, Reason::Displaced, wait });
    startWaiting(now, step);
    notePeaks(now);
    return step;
}

std::size_t Gate::lateLane(std::size_t lane) const
{
    const std::size_t ranks = m_lanes.size() / 2;
    return lane < ranks ? lane + ranks : lane;
}

absl::Duration Gate::queueWait(std::size_t lane, std::uint32_t limit) const
{
    double seconds = 0;
    for (std::size_t i = 0; i <= lane; ++i)
        seconds += static_cast<double>(m_lanes[i].queue.size()) * m_lanes[i].meanSeconds;
    for (const Lane &other : m_lanes)
        seconds += m_inUse == 0 ? 0 : other.meanSeconds * other.inUse / m_inUse;
    return absl::Seconds(seconds / std::max(limit, 1U));
}

GateStep Gate::arriveInTimeFirst(const GateCall &call, absl::Time now)
{
    GateStep step;
    refuseHopeless(now, step);
    std::size_t lane = laneOf(call.rank);
    const absl::Duration service = expectedService(lane);
    const bool isInTime = now + service <= call.objective;
    if (!isInTime)
        lane = lateLane(lane);
    const absl::Time due = isInTime ? std::min(call.objective, call.deadline) : call.deadline;
    const std::uint32_t limit = m_limit.current(now);
    const bool mayStartNow = mayStart(lane, limit) && m_lanes[lane].queue.isEmpty();
    const absl::Duration wait = mayStartNow ? absl::ZeroDuration() : queueWait(lane, limit);
    if (now + service > call.deadline) {
        step.refusals.push_back({ call.attempt, Reason::DeadlineUnmeetable, absl::ZeroDuration() });
        return step;
    }
    // A late request is not kept waiting for long: slots that are taken go to those in time.
    const absl::Time latestStart =
            isInTime ? due - service * WaitingMargin : std::min(due - service, now + service);
    if (!mayStartNow && now + wait > latestStart) {
        step.refusals.push_back({ call.attempt, Reason::DeadlineUnmeetable, wait });
        return step;
    }
    if (mayStartNow) {
        start(lane, call.attempt, now, step);
        notePeaks(now);
        return step;
    }
    auto pushed = m_lanes[lane].queue.push({ call.attempt, call.caller, now, due },
                                           m_lanes[lane].policy.queueLimit);
    if (!pushed.queued)
        step.refusals.push_back({ call.attempt, Reason::QueueFull, wait });
    if (pushed.displaced)
        step.refusals.push_back({ pushed.displaced->attempt, Reason::Displaced, wait });
    startWaiting(now, step);
    notePeaks(now);
    return step;
}

GateStep Gate::finished(AttemptId attempt, RunEnd end, absl::Time now)
{
    GateStep step;
    const auto it = m_running.find(attempt);
    if (it == m_running.end())
        return step;
    Lane &lane = m_lanes[it->second.lane];
    const double seconds = absl::ToDoubleSeconds(now - it->second.started);
    if (end == RunEnd::Answered) {
        lane.meanSeconds = lane.meanSeconds == 0
                                   ? seconds
                                   : lane.meanSeconds + MeanWeight * (seconds - lane.meanSeconds);
        if (m_discipline == GateDiscipline::InTimeFirst) {
            // In time or late, the work of a rank is the same.
            const std::size_t ranks = m_lanes.size() / 2;
            const std::size_t index = it->second.lane;
            m_lanes[index < ranks ? index + ranks : index - ranks].meanSeconds = lane.meanSeconds;
        }
        m_limit.answered();
    } else if (end == RunEnd::Shed) {
        m_limit.shed(m_inUse, now);
    }
    --lane.inUse;
    --m_inUse;
    m_running.erase(it);
    assert(m_inUse == m_running.size());
    refuseHopeless(now, step);
    startWaiting(now, step);
    return step;
}

bool Gate::cancel(AttemptId attempt)
{
    return std::any_of(m_lanes.begin(), m_lanes.end(),
                       [&](Lane &lane) { return lane.queue.remove(attempt); });
}

void Gate::refuseHopeless(absl::Time now, GateStep &step)
{
    for (std::size_t i = 0; i < m_lanes.size(); ++i) {
        if (m_lanes[i].queue.isEmpty())
            continue;
        const absl::Duration service = expectedService(i);
        const auto isHopeless = [&](const WaitingCall &call) {
            return now + service > call.deadline;
        };
        for (const WaitingCall &call : m_lanes[i].queue.removeIf(isHopeless))
            step.refusals.push_back({ call.attempt, Reason::DeadlineExpired, service });
    }
}

GateStep Gate::tick(absl::Time now)
{
    GateStep step;
    refuseHopeless(now, step);
    startWaiting(now, step);
    notePeaks(now);
    return step;
}

GateStep Gate::drain(absl::Time)
{
    GateStep step;
    m_draining = true;
    for (Lane &lane : m_lanes) {
        while (const auto call = lane.queue.pop())
            step.refusals.push_back({ call->attempt, Reason::Draining, absl::ZeroDuration() });
    }
    return step;
}

GateLoad Gate::load(absl::Time now) const
{
    GateLoad load;
    load.inUse = m_inUse;
    load.limit = m_limit.current(now);
    for (const Lane &lane : m_lanes)
        load.queued += static_cast<std::uint32_t>(lane.queue.size());
    return load;
}

} // namespace godwitlift
