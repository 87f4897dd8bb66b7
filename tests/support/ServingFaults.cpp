/// \file
/// Faults that a test causes in a serving model.
#include "ServingModelParts.h"

namespace godwitlift::test {

namespace {

constexpr absl::Duration ResetDelay = absl::Milliseconds(1); ///< Until a dead host's reset is seen.

} // namespace

void ServingModel::kill(std::size_t index, absl::Duration staleness)
{
    accountCapacity();
    Host &host = *m_hosts[index];
    host.isAlive = false;
    host.isPaused = false;
    host.delayed.clear();
    ++host.life;
    // Callers of this ingress see their connections reset; other ingresses see theirs reset.
    std::vector<CallId> own;
    for (const auto &entry : m_calls) {
        if (entry.first.first == index)
            own.push_back(entry.first.second);
    }
    for (const CallId call : own)
        finish(index, call, Verdict::MayHaveRun, Reason::AnswerLost);
    for (const auto &entry : host.tickets) {
        AttemptReport lost;
        lost.attempt = entry.second.order.attempt;
        lost.reason = Reason::AnswerLost;
        time.scheduleAfter(ResetDelay,
                           [this, lost, from = entry.second.from, index,
                            life = entry.second.fromLife] { report(from, life, lost, index); });
    }
    host.tickets.clear();
    time.scheduleAfter(staleness, [this] { compileTables(); });
}

void ServingModel::drain(std::size_t index, absl::Duration staleness)
{
    accountCapacity();
    Host &host = *m_hosts[index];
    host.isDrained = true;
    carryOut(index, host.gates->drainAll(time.now()));
    time.scheduleAfter(staleness, [this] { compileTables(); });
}

void ServingModel::pause(std::size_t index)
{
    m_hosts[index]->isPaused = true;
}

void ServingModel::resume(std::size_t index)
{
    Host &host = *m_hosts[index];
    host.isPaused = false;
    std::vector<std::function<void()>> delayed;
    std::swap(delayed, host.delayed);
    for (const auto &input : delayed)
        input();
}

void ServingModel::shed(std::size_t index, double probability)
{
    m_hosts[index]->shedding = probability;
}

void ServingModel::loseAnswers(std::size_t index, bool lost)
{
    m_hosts[index]->losesAnswers = lost;
}

void ServingModel::cutOff(const std::string &zone, bool cut)
{
    if (cut)
        m_cutZones.insert(zone);
    else
        m_cutZones.erase(zone);
}

} // namespace godwitlift::test
