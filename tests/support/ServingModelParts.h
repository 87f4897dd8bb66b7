/// \file
/// State of the hosts and calls of a serving model.
#pragma once

#include "ServingModel.h"

namespace godwitlift::test {

/// One host with its node and its backend server.
struct ServingModel::Host
{
    HostId id;
    std::string zone;
    std::unique_ptr<SeededRandom> random;
    std::unique_ptr<Ingress> ingress;
    std::unique_ptr<HostGates> gates;
    std::shared_ptr<const RoutingTable> routingTable;
    Incarnation incarnation{ 1 };
    /// Incremented at each start and kill; messages and timers of earlier generations are dropped.
    std::uint64_t generation = 1;
    bool isAlive = true;
    bool isPaused = false;
    bool isDrained = false;
    bool isLosingAnswers = false;
    double shedProbability = 0;
    std::uint64_t nextLocalAttempt = 1;
    std::vector<std::function<void()>> deferredInputs; ///< Inputs that arrived during a pause.

    /// An attempt that waits at the gate or runs at the backend server.
    struct Attempt
    {
        std::size_t from = 0;
        std::uint64_t fromGeneration = 0;
        ForwardAction action;
        bool isRunning = false;
    };
    std::map<AttemptId, Attempt> attempts;

    /// Runs \p input now, or at resume() if the node is paused.
    void runOrDefer(std::function<void()> input)
    {
        if (isPaused)
            deferredInputs.push_back(std::move(input));
        else
            input();
    }
};

/// A call in progress.
struct ServingModel::Call
{
    CallHead head;
    RankId rank;
    absl::Time arrivalTime;
    absl::Time deadline;
    std::optional<std::uint64_t> measurement; ///< Empty if no measurement counts the call.
    CompletionHandler onCompletion;
};

} // namespace godwitlift::test
