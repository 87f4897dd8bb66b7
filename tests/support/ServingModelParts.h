/// \file
/// Hosts and calls inside a serving model.
#pragma once

#include "ServingModel.h"

namespace godwitlift::test {

/// One host: its node's serving decisions and its backend server.
struct ServingModel::Host
{
    HostId id;
    std::string zone;
    std::unique_ptr<SeededRandom> random;
    std::unique_ptr<Ingress> ingress;
    std::unique_ptr<HostGates> gates;
    std::shared_ptr<const RoutingTable> table;
    Incarnation incarnation{ 1 };
    std::uint64_t life = 1;
    bool isAlive = true;
    bool isPaused = false;
    bool isDrained = false;
    bool losesAnswers = false;
    double shedding = 0;
    std::uint64_t nextTicket = 1;
    std::vector<std::function<void()>> delayed;

    /// A request at the gate.
    struct Ticket
    {
        std::size_t from = 0;
        std::uint64_t fromLife = 0;
        ForwardAction order;
        bool isRunning = false;
    };
    std::map<AttemptId, Ticket> tickets;

    /// Runs \p input now, or when the pause ends.
    void run(std::function<void()> input)
    {
        if (isPaused)
            delayed.push_back(std::move(input));
        else
            input();
    }
};

/// A call as its caller sees it.
struct ServingModel::Call
{
    CallHead head;
    RankId rank;
    absl::Time arrived;
    absl::Time deadline;
    std::optional<std::uint64_t> period; ///< Empty if the call does not count.
    Done done;
};

} // namespace godwitlift::test
