/// \file
/// Injected faults of a serving model.
#include "ServingModelParts.h"

namespace godwitlift::test {

namespace {

/// Time until ingresses see the connection to a killed host reset.
constexpr absl::Duration ResetDelay = absl::Milliseconds(1);

} // namespace

void ServingModel::kill(std::size_t index, absl::Duration staleness)
{
    accumulateCapacity();
    Host &host = *m_hosts[index];
    host.isAlive = false;
    host.isPaused = false;
    host.deferredInputs.clear();
    ++host.generation;
    // The connections of this host are reset: the callers of its ingress lose their answers, and so
    // do other ingresses that forwarded attempts to this host.
    std::vector<CallId> openCalls;
    for (const auto &entry : m_calls) {
        if (entry.first.first == index)
            openCalls.push_back(entry.first.second);
    }
    for (const CallId call : openCalls)
        finishCall(index, call, Verdict::MayHaveRun, Reason::AnswerLost);
    for (const auto &entry : host.attempts) {
        AttemptReport lost;
        lost.attempt = entry.second.action.attempt;
        lost.reason = Reason::AnswerLost;
        time.scheduleAfter(ResetDelay, [this, lost, from = entry.second.from, index,
                                        generation = entry.second.fromGeneration] {
            sendReport(from, generation, lost, index);
        });
    }
    host.attempts.clear();
    time.scheduleAfter(staleness, [this] { compileRoutingTables(); });
}

void ServingModel::drain(std::size_t index, absl::Duration staleness)
{
    accumulateCapacity();
    Host &host = *m_hosts[index];
    host.isDrained = true;
    execute(index, host.gates->drainAll(time.now()));
    time.scheduleAfter(staleness, [this] { compileRoutingTables(); });
}

void ServingModel::pause(std::size_t index)
{
    m_hosts[index]->isPaused = true;
}

void ServingModel::resume(std::size_t index)
{
    Host &host = *m_hosts[index];
    host.isPaused = false;
    std::vector<std::function<void()>> inputs;
    std::swap(inputs, host.deferredInputs);
    for (const auto &input : inputs)
        input();
}

void ServingModel::setShedProbability(std::size_t index, double probability)
{
    m_hosts[index]->shedProbability = probability;
}

void ServingModel::setAnswerLoss(std::size_t index, bool isLosing)
{
    m_hosts[index]->isLosingAnswers = isLosing;
}

void ServingModel::setZonePartitioned(const std::string &zone, bool isPartitioned)
{
    if (isPartitioned)
        m_partitionedZones.insert(zone);
    else
        m_partitionedZones.erase(zone);
}

} // namespace godwitlift::test
