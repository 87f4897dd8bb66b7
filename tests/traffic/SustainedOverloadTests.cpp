/// \file
/// Sustained overload at one gate: demand beyond capacity for seconds, in virtual time.
#include "godwitlift/base/RandomSource.h"
#include "godwitlift/serving/Gate.h"

#include <catch2/catch.hpp>

#include <map>
#include <queue>

using namespace godwitlift;

namespace {

const absl::Time Start = absl::UnixEpoch() + absl::Hours(1);
constexpr std::uint32_t Slots = 10;
constexpr absl::Duration Work = absl::Milliseconds(100);
constexpr absl::Duration Objective = absl::Milliseconds(400);
constexpr absl::Duration Deadline = absl::Milliseconds(1500);
constexpr absl::Duration Length = absl::Seconds(10);

std::map<RankId, Rank> ranks()
{
    Rank urgent;
    urgent.id = RankId("urgent");
    urgent.queueLimit = 500;
    Rank other = urgent;
    other.id = RankId("other");
    other.urgency = 1;
    return { { urgent.id, urgent }, { other.id, other } };
}

/// What became of the requests of one rank.
struct Tally
{
    int offered = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    absl::Duration longestHeld; ///< From arrival to refusal.
};

/// Offers requests at a fixed rate for each rank and runs them through one gate.
class Overload
{
public:
    explicit Overload(QueueDiscipline discipline)
        : m_gate(SlotLimit(Slots, Start - absl::Hours(1), absl::ZeroDuration()), ranks(),
                 discipline)
    {}

    void run(double urgentPerSecond, double otherPerSecond)
    {
        SeededRandom random(5);
        for (absl::Time now = Start; now < Start + Length; now += absl::Milliseconds(1)) {
            while (!m_ends.empty() && m_ends.top().first <= now) {
                const AttemptId attempt = m_ends.top().second;
                m_ends.pop();
                answered(attempt, now);
                apply(m_gate.onRunEnded(attempt, RunOutcome::Answered, now), now);
            }
            if (random.unit() < urgentPerSecond / 1000)
                offer("urgent", now);
            if (random.unit() < otherPerSecond / 1000)
                offer("other", now);
            apply(m_gate.tick(now), now);
        }
    }

    std::map<std::string, Tally> tallies;

private:
    struct Request
    {
        std::string rank;
        absl::Time arrived;
    };

    void offer(const char *rank, absl::Time now)
    {
        const AttemptId attempt(++m_last);
        m_requests[attempt] = { rank, now };
        ++tallies[rank].offered;
        GateRequest call;
        call.attempt = attempt;
        call.rank = RankId(rank);
        call.deadline = now + Deadline;
        call.objective = now + Objective;
        apply(m_gate.submit(call, now), now);
    }
    void apply(const GateActions &step, absl::Time now)
    {
        for (const AttemptId attempt : step.starts)
            m_ends.emplace(now + Work, attempt);
        for (const GateRefusal &refusal : step.refusals) {
            const Request &request = m_requests.at(refusal.attempt);
            Tally &tally = tallies[request.rank];
            ++tally.refused;
            tally.longestHeld = std::max(tally.longestHeld, now - request.arrived);
        }
    }
    void answered(AttemptId attempt, absl::Time now)
    {
        const Request &request = m_requests.at(attempt);
        Tally &tally = tallies[request.rank];
        ++(now <= request.arrived + Objective ? tally.inTime : tally.late);
    }

    using End = std::pair<absl::Time, AttemptId>;

    Gate m_gate;
    std::uint64_t m_last = 0;
    std::map<AttemptId, Request> m_requests;
    std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
};

/// Requests that the slots can run within the whole length.
constexpr double Capacity = Slots * 10.0 * 10.0;

} // namespace

TEST_CASE("sustained overload: what is admitted is answered in time")
{
    Overload queue(QueueDiscipline::OnTimeFirst);
    queue.run(200, 0);
    const Tally &tally = queue.tallies["urgent"];
    CHECK(tally.inTime >= 0.9 * Capacity);
    CHECK(tally.late <= 0.05 * Capacity);
    // Refused well before the objective, so that there is time to go elsewhere.
    CHECK(tally.longestHeld < Objective);

    // A queue that is bounded by the deadline alone answers nearly everything late.
    Overload byDeadline(QueueDiscipline::StrictPriority);
    byDeadline.run(200, 0);
    CHECK(byDeadline.tallies["urgent"].inTime < 0.5 * Capacity);
}

TEST_CASE("flood of lesser work: the urgent rank is served as if alone")
{
    Overload overload(QueueDiscipline::OnTimeFirst);
    overload.run(60, 200);
    const Tally &urgent = overload.tallies["urgent"];
    CHECK(urgent.inTime >= 0.99 * urgent.offered - Slots);
    const Tally &other = overload.tallies["other"];
    CHECK(other.inTime + other.late >= 0.3 * Capacity);
}

TEST_CASE("calls of running requests: long lesser work leaves headroom for them")
{
    Gate gate(SlotLimit(Slots, Start - absl::Hours(1), absl::ZeroDuration()), ranks(),
              QueueDiscipline::OnTimeFirst);
    std::uint64_t last = 0;
    const auto offer = [&](const char *rank, absl::Time now) {
        GateRequest call;
        call.attempt = AttemptId(++last);
        call.rank = RankId(rank);
        call.deadline = now + absl::Seconds(60);
        call.objective = now + absl::Seconds(30);
        return gate.submit(call, now);
    };
    // The gate learns that urgent work is short and lesser work is long.
    REQUIRE(offer("urgent", Start).starts.size() == 1);
    REQUIRE(offer("other", Start).starts.size() == 1);
    gate.onRunEnded(AttemptId(1), RunOutcome::Answered, Start + absl::Milliseconds(80));
    const absl::Time now = Start + absl::Milliseconds(900);
    gate.onRunEnded(AttemptId(2), RunOutcome::Answered, now);
    REQUIRE(offer("urgent", now).starts.size() == 1);
    gate.onRunEnded(AttemptId(3), RunOutcome::Answered, now + absl::Milliseconds(1));
    // A flood of lesser work does not take the last slot while urgent work was seen lately.
    const absl::Time flood = now + absl::Milliseconds(10);
    for (std::uint32_t i = 0; i < 2 * Slots; ++i)
        offer("other", flood);
    CHECK(gate.inUse() == Slots - 1);
    CHECK(offer("urgent", flood).starts.size() == 1);
}

TEST_CASE("returning callers: late requests take only what those in time leave")
{
    Gate gate(SlotLimit(2, Start - absl::Hours(1), absl::ZeroDuration()), ranks(),
              QueueDiscipline::OnTimeFirst);
    const auto call = [](std::uint64_t id, const char *rank, absl::Duration objective) {
        GateRequest result;
        result.attempt = AttemptId(id);
        result.rank = RankId(rank);
        result.deadline = Start + Deadline;
        result.objective = Start + objective;
        return result;
    };
    // Two requests fill the slots and teach the gate how long work takes.
    REQUIRE(gate.submit(call(1, "urgent", Objective), Start).starts.size() == 1);
    REQUIRE(gate.submit(call(2, "other", Objective), Start).starts.size() == 1);
    absl::Time now = Start + Work;
    gate.onRunEnded(AttemptId(1), RunOutcome::Answered, now);
    gate.onRunEnded(AttemptId(2), RunOutcome::Answered, now);
    REQUIRE(gate.submit(call(3, "urgent", Objective), now).starts.size() == 1);
    REQUIRE(gate.submit(call(4, "urgent", Objective), now).starts.size() == 1);
    const GateActions late = gate.submit(call(5, "urgent", Work), now);
    CHECK(late.starts.empty());
    CHECK(late.refusals.empty());
    CHECK(gate.submit(call(6, "other", Objective), now).refusals.empty());
    // After as long as before, so that no rank is shorter than the other and needs headroom.
    now += Work;
    const GateActions next = gate.onRunEnded(AttemptId(3), RunOutcome::Answered, now);
    REQUIRE(next.starts.size() == 1);
    CHECK(next.starts.front() == AttemptId(6));
}
