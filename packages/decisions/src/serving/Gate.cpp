/// \file
/// Admission of requests and selection of the next queued request to start.
#include "godwitlift/serving/Gate.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace godwitlift {

namespace {

/// Weight of the newest service time in the moving average.
constexpr double ServiceTimeWeight = 0.1;
/// Largest share of the slots that less urgent ranks leave free for more urgent ranks.
constexpr double HeadroomShare = 0.1;
/// Factor on the mean service time. Service times vary: if a request could wait until only the mean
/// service time remained, about half of such requests would be late.
constexpr double ServiceTimeMargin = 1.3;
/// A common wait limit leaves at least so many mean service times of work in the queue, so that
/// slots do not run idle.
constexpr double MinCommonWait = 0.5;
/// Queued calls of backend servers that start in a row while requests of clients wait.
constexpr std::uint32_t MaxCallsInRow = 9;
/// An urgent rank may be served so much less often than a less urgent one, as a share of its
/// requests, before its late requests go first.
constexpr double ServedShareTolerance = 0.02;
/// Share of the counts of earlier windows that remains at the end of a window.
constexpr double EarlierWindowShare = 0.5;
/// Length of the window over which the peak demand of a rank is measured.
constexpr absl::Duration PeakDemandWindow = CommonWaitLimit::Window;

std::uint32_t slotsForShare(double share, std::uint32_t limit)
{
    if (share <= 0)
        return 0;
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(share * limit)));
}

/// Why a request cannot start in time, given the waits for a slot and for the request limit.
Reason refusalReason(absl::Duration slotWait, absl::Duration limitWait)
{
    return limitWait > slotWait ? Reason::RequestLimit : Reason::DeadlineUnmeetable;
}

} // namespace

Gate::Gate(SlotLimit slotLimit, const std::map<RankId, Rank> &ranks, QueueDiscipline discipline)
    : m_slotLimit(slotLimit)
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
    std::map<RankId, std::size_t> levelByRank;
    for (std::size_t i = 0; i < ordered.size(); ++i)
        levelByRank[ordered[i].id] = i;
    if (m_discipline == QueueDiscipline::OnTimeFirst) {
        const std::vector<Rank> late = ordered;
        ordered.insert(ordered.end(), late.begin(), late.end());
    }
    std::vector<PriorityLevel> levels(ordered.size());
    for (std::size_t i = 0; i < ordered.size(); ++i)
        levels[i].policy = ordered[i];
    // Requests of a removed rank move to the least urgent level.
    std::vector<std::size_t> newLevels(m_levels.size());
    for (std::size_t i = 0; i < m_levels.size(); ++i) {
        const auto it = levelByRank.find(m_levels[i].policy.id);
        newLevels[i] = it == levelByRank.end() ? levels.size() - 1 : it->second;
        PriorityLevel &target = levels[newLevels[i]];
        target.inUse += m_levels[i].inUse;
        target.meanServiceSeconds =
                std::max(target.meanServiceSeconds, m_levels[i].meanServiceSeconds);
        while (auto request = m_levels[i].queue.pop())
            target.queue.push(std::move(*request), SIZE_MAX);
    }
    for (auto &entry : m_running)
        entry.second.level = newLevels[entry.second.level];
    m_levels = std::move(levels);
    m_levelByRank = std::move(levelByRank);
    orderLevels();
}

void Gate::orderLevels()
{
    m_order.resize(m_levels.size());
    std::iota(m_order.begin(), m_order.end(), 0);
    if (m_discipline != QueueDiscipline::OnTimeFirst)
        return;
    const std::size_t rankCount = m_levels.size() / 2;
    m_order.clear();
    std::vector<std::size_t> lateLevels;
    // From the least urgent rank on, so that the best served share of the ranks below is known.
    double bestShareBelow = 0;
    for (std::size_t rank = rankCount; rank-- > 0;) {
        const PriorityLevel &onTime = m_levels[rank];
        const PriorityLevel &late = m_levels[rank + rankCount];
        const double started = onTime.started + late.started;
        const double asked = started + onTime.refused + late.refused;
        const double share = asked == 0 ? 1 : started / asked;
        const bool isLateFirst = share < bestShareBelow - ServedShareTolerance;
        (isLateFirst ? m_order : lateLevels).push_back(rank + rankCount);
        m_order.push_back(rank);
        if (asked > 0)
            bestShareBelow = std::max(bestShareBelow, share);
    }
    std::reverse(m_order.begin(), m_order.end());
    m_order.insert(m_order.end(), lateLevels.rbegin(), lateLevels.rend());
}

std::span<const std::size_t> Gate::levelsBefore(std::size_t level) const
{
    const auto end = std::find(m_order.begin(), m_order.end(), level);
    return { m_order.begin(), end };
}

std::size_t Gate::levelOf(const RankId &rank) const
{
    const auto it = m_levelByRank.find(rank);
    return it == m_levelByRank.end() ? m_levels.size() - 1 : it->second;
}

std::uint32_t Gate::floorSlots(const PriorityLevel &level, std::uint32_t limit) const
{
    if (m_discipline == QueueDiscipline::StrictPriority
        || m_discipline == QueueDiscipline::OnTimeFirst)
        return 0;
    return slotsForShare(level.policy.floorShare, limit);
}

std::uint32_t Gate::ceilingSlots(const PriorityLevel &level, std::uint32_t limit) const
{
    if (m_discipline == QueueDiscipline::StrictPriority || m_discipline == QueueDiscipline::Fifo
        || m_discipline == QueueDiscipline::OnTimeFirst)
        return limit;
    if (m_discipline == QueueDiscipline::FixedShares)
        return std::max<std::uint32_t>(1, slotsForShare(level.policy.floorShare, limit));
    return std::max<std::uint32_t>(1, slotsForShare(level.policy.ceilingShare, limit));
}

std::uint32_t Gate::headroom(std::size_t level, std::uint32_t limit) const
{
    if (m_discipline != QueueDiscipline::PriorityWithFloors
        && m_discipline != QueueDiscipline::OnTimeFirst)
        return 0;
    std::uint32_t missingSlots = 0;
    for (const std::size_t i : levelsBefore(level)) {
        const PriorityLevel &urgent = m_levels[i];
        // Requests that take at most as long as those of the urgent level free slots fast enough
        // without headroom.
        if (urgent.meanServiceSeconds >= m_levels[level].meanServiceSeconds)
            continue;
        const std::uint32_t peakDemand = std::max(urgent.peakDemand, urgent.previousPeakDemand);
        missingSlots += peakDemand > urgent.inUse ? peakDemand - urgent.inUse : 0;
    }
    std::uint32_t reserved = std::min(missingSlots, slotsForShare(HeadroomShare, limit));
    // Late requests must not take the headroom that on-time requests leave free.
    const std::size_t rankCount = m_levels.size() / 2;
    if (m_discipline == QueueDiscipline::OnTimeFirst && level >= rankCount)
        reserved = std::max(reserved, headroom(rankCount - 1, limit));
    return reserved;
}

bool Gate::mayStart(std::size_t level, std::uint32_t limit, absl::Time now) const
{
    const PriorityLevel &candidate = m_levels[level];
    if (!m_rateLimit.allowsStart(now))
        return false;
    if (m_inUse >= limit || candidate.inUse >= ceilingSlots(candidate, limit))
        return false;
    if (candidate.inUse < floorSlots(candidate, limit))
        return true;
    return m_inUse + headroom(level, limit) < limit;
}

absl::Duration Gate::waitForRequestLimit(std::size_t level, absl::Time now) const
{
    std::size_t queued = m_levels[level].queue.size();
    for (const std::size_t i : levelsBefore(level))
        queued += m_levels[i].queue.size();
    return m_rateLimit.waitBehind(queued, now);
}

std::optional<std::size_t> Gate::nextLevel(std::uint32_t limit, absl::Time now) const
{
    if (m_inUse >= limit || !m_rateLimit.allowsStart(now))
        return std::nullopt;
    for (std::size_t i = 0; i < m_levels.size(); ++i) {
        if (!m_levels[i].queue.isEmpty() && m_levels[i].inUse < floorSlots(m_levels[i], limit)
            && mayStart(i, limit, now))
            return i;
    }
    std::optional<std::size_t> callLevel;
    for (const std::size_t i : m_order) {
        if (m_levels[i].queue.isEmpty() || !mayStart(i, limit, now))
            continue;
        if (!isCallLevel(i) || m_callsInRow < MaxCallsInRow)
            return i;
        callLevel = callLevel.value_or(i);
    }
    return callLevel;
}

bool Gate::isCallLevel(std::size_t level) const
{
    return m_discipline == QueueDiscipline::OnTimeFirst && m_levels[level].policy.urgency < 0;
}

void Gate::start(std::size_t level, AttemptId attempt, absl::Time now, GateActions &actions)
{
    ++m_levels[level].inUse;
    ++m_levels[level].started;
    ++m_inUse;
    m_running[attempt] = { level, now };
    m_rateLimit.onStarted(now);
    actions.starts.push_back(attempt);
}

void Gate::startQueued(absl::Time now, GateActions &actions)
{
    const std::uint32_t limit = m_slotLimit.current(now);
    while (const auto level = nextLevel(limit, now)) {
        const auto request = m_levels[*level].queue.pop();
        m_callsInRow = isCallLevel(*level) ? std::min(m_callsInRow + 1, MaxCallsInRow) : 0;
        start(*level, request->attempt, now, actions);
    }
}

absl::Duration Gate::expectedServiceTime(std::size_t level) const
{
    return absl::Seconds(m_levels[level].meanServiceSeconds);
}

absl::Duration Gate::expectedWaitInLevel(std::size_t level, std::uint32_t limit) const
{
    const PriorityLevel &own = m_levels[level];
    std::uint32_t urgentInUse = 0;
    for (std::size_t i = 0; i < level; ++i)
        urgentInUse += m_levels[i].inUse;
    std::uint32_t available = limit > urgentInUse ? limit - urgentInUse : 0;
    available = std::min(available, ceilingSlots(own, limit));
    available = std::max({ available, floorSlots(own, limit), 1U });
    return expectedServiceTime(level) * (static_cast<double>(own.queue.size() + 1) / available);
}

void Gate::recordPeakDemand(absl::Time now)
{
    if (now - m_peakWindowStart >= PeakDemandWindow) {
        m_peakWindowStart = now;
        for (PriorityLevel &level : m_levels) {
            level.previousPeakDemand = level.peakDemand;
            level.peakDemand = 0;
            level.commonWaitLimit.endWindow();
        }
        orderLevels();
        for (PriorityLevel &level : m_levels) {
            level.started *= EarlierWindowShare;
            level.refused *= EarlierWindowShare;
        }
    }
    for (PriorityLevel &level : m_levels)
        level.peakDemand = std::max(level.peakDemand, level.demand());
}

GateActions Gate::submit(const GateRequest &request, absl::Time now)
{
    GateActions actions;
    if (m_draining) {
        actions.refusals.push_back({ request.attempt, Reason::Draining, absl::ZeroDuration() });
        return actions;
    }
    if (m_discipline == QueueDiscipline::OnTimeFirst)
        return submitOnTimeFirst(request, now);
    refuseUnmeetable(now, actions);
    const std::size_t level = m_discipline == QueueDiscipline::Fifo ? 0 : levelOf(request.rank);
    const std::uint32_t limit = m_slotLimit.current(now);
    if (now + expectedServiceTime(level) > request.deadline) {
        actions.refusals.push_back(
                { request.attempt, Reason::DeadlineUnmeetable, absl::ZeroDuration() });
        return actions;
    }
    if (m_levels[level].queue.isEmpty() && mayStart(level, limit, now)) {
        start(level, request.attempt, now, actions);
        recordPeakDemand(now);
        return actions;
    }
    const absl::Duration slotWait = expectedWaitInLevel(level, limit);
    const absl::Duration limitWait = waitForRequestLimit(level, now);
    const absl::Duration wait = std::max(slotWait, limitWait);
    if (now + wait + expectedServiceTime(level) > request.deadline) {
        actions.refusals.push_back({ request.attempt, refusalReason(slotWait, limitWait), wait });
        return actions;
    }
    // A FIFO queue does not distinguish callers.
    const CallerId caller = m_discipline == QueueDiscipline::Fifo ? CallerId() : request.caller;
    auto pushed = m_levels[level].queue.push({ request.attempt, caller, now, request.deadline },
                                             m_levels[level].policy.queueLimit);
    if (!pushed.isQueued)
        actions.refusals.push_back(
                { request.attempt, pushed.isOverFairShare ? Reason::QueueShare : Reason::QueueFull,
                  wait });
    if (pushed.displaced)
        actions.refusals.push_back({ pushed.displaced->attempt, Reason::Displaced, wait });
    startQueued(now, actions);
    recordPeakDemand(now);
    return actions;
}

std::size_t Gate::lateLevel(std::size_t level) const
{
    const std::size_t rankCount = m_levels.size() / 2;
    return level < rankCount ? level + rankCount : level;
}

absl::Duration Gate::expectedWaitAcrossLevels(std::size_t level, std::uint32_t limit) const
{
    return expectedWaitBehind(level, m_levels[level].queue.size(), limit);
}

absl::Duration Gate::expectedWaitBehind(std::size_t level, std::size_t ahead,
                                        std::uint32_t limit) const
{
    double seconds = static_cast<double>(ahead) * m_levels[level].meanServiceSeconds;
    for (const std::size_t i : levelsBefore(level))
        seconds += static_cast<double>(m_levels[i].queue.size()) * m_levels[i].meanServiceSeconds;
    for (const PriorityLevel &other : m_levels)
        seconds += m_inUse == 0 ? 0 : other.meanServiceSeconds * other.inUse / m_inUse;
    return absl::Seconds(seconds / std::max(limit, 1U));
}

absl::Time Gate::latestStart(const GateRequest &request, absl::Time now) const
{
    const absl::Duration service = expectedServiceTime(levelOf(request.rank));
    if (now + service <= request.objective)
        return std::min(request.objective, request.deadline) - service * ServiceTimeMargin;
    // A late request waits at most one service time: slots that become free go to on-time requests.
    return std::min(request.deadline - service, now + service);
}

absl::Duration Gate::acceptedWait(std::size_t level, absl::Duration slack) const
{
    const absl::Duration service = expectedServiceTime(level);
    const absl::Duration wait = slack - service * ServiceTimeMargin;
    const auto commonSlack = m_levels[level].commonWaitLimit.slack();
    if (!commonSlack)
        return wait;
    return std::min(wait,
                    std::max(*commonSlack - service * ServiceTimeMargin, service * MinCommonWait));
}

GateActions Gate::submitOnTimeFirst(const GateRequest &request, absl::Time now)
{
    GateActions actions;
    refuseUnmeetable(now, actions);
    std::size_t level = levelOf(request.rank);
    const absl::Duration service = expectedServiceTime(level);
    const bool isOnTime = now + service <= request.objective;
    if (!isOnTime)
        level = lateLevel(level);
    const absl::Time dueTime =
            isOnTime ? std::min(request.objective, request.deadline) : request.deadline;
    const std::uint32_t limit = m_slotLimit.current(now);
    const bool mayStartNow = mayStart(level, limit, now) && m_levels[level].queue.isEmpty();
    const absl::Duration limitWait = waitForRequestLimit(level, now);
    // A free slot leaves only the request limit to wait for.
    const absl::Duration slotWait = mayStartNow || m_inUse < limit
                                            ? absl::ZeroDuration()
                                            : expectedWaitAcrossLevels(level, limit);
    const absl::Duration wait = mayStartNow ? absl::ZeroDuration() : std::max(slotWait, limitWait);
    if (now + service > request.deadline) {
        actions.refusals.push_back(
                { request.attempt, Reason::DeadlineUnmeetable, absl::ZeroDuration() });
        return actions;
    }
    // A late request waits at most one service time: slots that become free go to on-time requests.
    const absl::Duration slack = dueTime - now;
    const absl::Duration longestWait =
            isOnTime ? acceptedWait(level, slack) : std::min(slack - service, service);
    if (isOnTime)
        m_levels[level].commonWaitLimit.onArrival(slack);
    FairQueue &queue = m_levels[level].queue;
    std::size_t queueLimit = m_levels[level].policy.queueLimit;
    if (!mayStartNow && wait > longestWait) {
        // A caller with less than its share of the queue goes ahead of what others have above
        // theirs, and one of them gives way.
        const absl::Duration fairWait =
                expectedWaitBehind(level, queue.requestsAhead(request.caller), limit);
        if (queue.isEmpty() || std::max(fairWait, limitWait) > longestWait) {
            if (isOnTime && wait > slack - service * ServiceTimeMargin)
                m_levels[level].commonWaitLimit.onRefused(slack);
            ++m_levels[level].refused;
            actions.refusals.push_back(
                    { request.attempt, refusalReason(slotWait, limitWait), wait });
            return actions;
        }
        queueLimit = std::min<std::size_t>(queueLimit, queue.size());
    }
    if (mayStartNow) {
        start(level, request.attempt, now, actions);
        recordPeakDemand(now);
        return actions;
    }
    const std::size_t refusalsBefore = actions.refusals.size();
    const auto pushed = queue.push({ request.attempt, request.caller, now, dueTime }, queueLimit);
    if (!pushed.isQueued)
        actions.refusals.push_back({ request.attempt, Reason::QueueFull, wait });
    if (pushed.displaced)
        actions.refusals.push_back({ pushed.displaced->attempt, Reason::Displaced, wait });
    m_levels[level].refused += static_cast<double>(actions.refusals.size() - refusalsBefore);
    startQueued(now, actions);
    recordPeakDemand(now);
    return actions;
}

GateActions Gate::onRunEnded(AttemptId attempt, RunOutcome outcome, absl::Time now)
{
    GateActions actions;
    const auto it = m_running.find(attempt);
    if (it == m_running.end())
        return actions;
    PriorityLevel &level = m_levels[it->second.level];
    const double seconds = absl::ToDoubleSeconds(now - it->second.startTime);
    if (outcome == RunOutcome::Answered) {
        level.meanServiceSeconds =
                level.meanServiceSeconds == 0
                        ? seconds
                        : level.meanServiceSeconds
                                  + ServiceTimeWeight * (seconds - level.meanServiceSeconds);
        if (m_discipline == QueueDiscipline::OnTimeFirst) {
            // On-time and late requests of a rank have the same service time.
            const std::size_t rankCount = m_levels.size() / 2;
            const std::size_t index = it->second.level;
            m_levels[index < rankCount ? index + rankCount : index - rankCount].meanServiceSeconds =
                    level.meanServiceSeconds;
        }
        m_slotLimit.onAnswered();
    } else if (outcome == RunOutcome::Shed) {
        m_slotLimit.onShed(m_inUse, now);
    }
    --level.inUse;
    --m_inUse;
    m_running.erase(it);
    assert(m_inUse == m_running.size());
    refuseUnmeetable(now, actions);
    startQueued(now, actions);
    return actions;
}

bool Gate::cancel(AttemptId attempt)
{
    return std::any_of(m_levels.begin(), m_levels.end(),
                       [&](PriorityLevel &level) { return level.queue.remove(attempt); });
}

void Gate::refuseUnmeetable(absl::Time now, GateActions &actions)
{
    for (std::size_t i = 0; i < m_levels.size(); ++i) {
        if (m_levels[i].queue.isEmpty())
            continue;
        const absl::Duration service = expectedServiceTime(i);
        const auto cannotMeetDeadline = [&](const QueuedRequest &request) {
            return now + service > request.deadline;
        };
        const absl::Duration retryAfter = std::max(service, waitForRequestLimit(i, now));
        for (const QueuedRequest &request : m_levels[i].queue.removeIf(cannotMeetDeadline)) {
            ++m_levels[i].refused;
            actions.refusals.push_back({ request.attempt, Reason::DeadlineExpired, retryAfter });
        }
    }
}

GateActions Gate::tick(absl::Time now)
{
    GateActions actions;
    refuseUnmeetable(now, actions);
    startQueued(now, actions);
    recordPeakDemand(now);
    return actions;
}

GateActions Gate::setRequestLimit(std::optional<double> requestsPerSecond, absl::Time now)
{
    m_rateLimit.setLimit(requestsPerSecond, now);
    return tick(now);
}

GateActions Gate::drain(absl::Time)
{
    GateActions actions;
    m_draining = true;
    for (PriorityLevel &level : m_levels) {
        while (const auto request = level.queue.pop())
            actions.refusals.push_back(
                    { request->attempt, Reason::Draining, absl::ZeroDuration() });
    }
    return actions;
}

GateLoad Gate::load(absl::Time now) const
{
    GateLoad load;
    load.inUse = m_inUse;
    load.limit = m_slotLimit.current(now);
    for (const PriorityLevel &level : m_levels) {
        load.queued += static_cast<std::uint32_t>(level.queue.size());
        load.queuedWithinShares += static_cast<std::uint32_t>(level.queue.sizeWithinShares());
    }
    return load;
}

} // namespace godwitlift
