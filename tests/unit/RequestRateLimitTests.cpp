/// \file
/// Request limits of backend servers in virtual time, alone and at a gate.
#include "godwitlift/base/RandomSource.h"
#include "godwitlift/serving/Gate.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace godwitlift;

namespace {

const absl::Time Start = absl::FromUnixSeconds(1'000'000);

/// Largest number of \p starts within any time of \p length.
std::size_t largestCount(const std::vector<absl::Time> &starts, absl::Duration length)
{
    std::size_t largest = 0;
    std::deque<absl::Time> window;
    for (const absl::Time start : starts) {
        window.push_back(start);
        while (window.front() <= start - length)
            window.pop_front();
        largest = std::max(largest, window.size());
    }
    return largest;
}

std::map<RankId, Rank> twoRanks()
{
    Rank urgent;
    urgent.id = RankId("urgent");
    urgent.urgency = 0;
    urgent.queueLimit = 1000;
    Rank normal = urgent;
    normal.id = RankId("normal");
    normal.urgency = 1;
    return { { urgent.id, urgent }, { normal.id, normal } };
}

Gate makeGate()
{
    return Gate(SlotLimit(100, Start - absl::Hours(1), absl::ZeroDuration()), twoRanks(),
                QueueDiscipline::OnTimeFirst);
}

GateRequest makeRequest(std::uint64_t number, const char *rank, absl::Duration objective)
{
    return { AttemptId(number), RankId(rank), CallerId("c"), Start + objective, Start + objective };
}

} // namespace

// Guards against a burst above the users' bound when a limit flips on and off (incident
// request-limit-ignored).
TEST_CASE("requests stay within the users' bound while a limit ends and is stated again")
{
    // One and a half times the limit and 5 requests in any four seconds.
    const auto bound = [](double limit) { return 1.5 * limit * 4 + 5; };
    for (const double limit : { 0.0, 0.5, 3.0, 21.2, 80.0 }) {
        CAPTURE(limit);
        SeededRandom random(7);
        RequestRateLimit rateLimit;
        rateLimit.setLimit(limit, Start);
        std::vector<absl::Time> starts;
        for (int i = 0; i < 20'000; ++i) {
            const absl::Time now = Start + absl::Milliseconds(i);
            if (random.uniformReal() < 0.01) {
                rateLimit.setLimit(std::nullopt, now);
                rateLimit.setLimit(limit, now);
            }
            if (!rateLimit.allowsStart(now))
                continue;
            rateLimit.onStarted(now);
            starts.push_back(now);
        }
        CHECK(static_cast<double>(largestCount(starts, absl::Seconds(4))) <= bound(limit));
        CHECK(static_cast<double>(starts.size()) >= limit * 19);
    }
}

TEST_CASE("a gate starts the most urgent requests first within the limit")
{
    Gate gate = makeGate();
    gate.setRequestLimit(10, Start);
    CHECK(gate.submit(makeRequest(1, "normal", absl::Seconds(30)), Start).starts.size() == 1);
    gate.submit(makeRequest(2, "normal", absl::Seconds(30)), Start);
    gate.submit(makeRequest(3, "urgent", absl::Seconds(30)), Start);
    const GateActions first = gate.tick(Start + absl::Milliseconds(110));
    CHECK(first.starts == std::vector<AttemptId>{ AttemptId(3) });
    const GateActions second = gate.tick(Start + absl::Milliseconds(210));
    CHECK(second.starts == std::vector<AttemptId>{ AttemptId(2) });
}

TEST_CASE("a request for which the limit has no room in time is refused at once")
{
    Gate gate = makeGate();
    gate.setRequestLimit(2, Start);
    gate.submit(makeRequest(1, "urgent", absl::Seconds(3)), Start);
    gate.submit(makeRequest(2, "urgent", absl::Seconds(3)), Start);
    const GateActions actions =
            gate.submit(makeRequest(3, "urgent", absl::Milliseconds(600)), Start);
    REQUIRE(actions.refusals.size() == 1);
    CHECK(actions.refusals[0].reason == Reason::RequestLimit);
    // The token in 0.5 s is for the queued request.
    CHECK(actions.refusals[0].retryAfter == absl::Seconds(1));
}

TEST_CASE("a queue that waits for the limit starts when the limit ends")
{
    Gate gate = makeGate();
    gate.setRequestLimit(1, Start);
    for (std::uint64_t i = 1; i <= 5; ++i)
        gate.submit(makeRequest(i, "urgent", absl::Seconds(30)), Start);
    CHECK(gate.load(Start).queued == 4);
    CHECK(gate.setRequestLimit(std::nullopt, Start).starts.size() == 4);
}

// Guards against a server that stays limited because nothing reaches it that could show the end.
TEST_CASE("a server that takes no requests still gets one from time to time")
{
    Gate gate = makeGate();
    gate.setRequestLimit(0, Start);
    CHECK(gate.submit(makeRequest(1, "urgent", absl::Seconds(30)), Start).starts.size() == 1);
    gate.submit(makeRequest(2, "urgent", absl::Seconds(30)), Start);
    CHECK(gate.tick(Start + absl::Seconds(4)).starts.empty());
    CHECK(gate.tick(Start + absl::Seconds(6)).starts.size() == 1);
}
