/// \file
/// At-most-once execution of calls with an idempotency key under failures. The simulated backend
/// servers count the executions of each key.
#include "Deployments.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace godwitlift;
using namespace godwitlift::test;

namespace {

const RouteId Fares("fares");

ServingModelSettings jarveySettings(std::uint64_t seed = 1)
{
    ServingModelSettings settings;
    settings.configuration = readDeployment(GODWITLIFT_EXAMPLES "/jarvey");
    settings.service = ServiceId("booking-desk");
    settings.zones = { "liberties", "ringsend", "phibsborough" };
    settings.seed = seed;
    return settings;
}

/// Results of calls in the order of their completion.
struct CallResults
{
    std::vector<std::pair<Verdict, Reason>> list;

    ServingModel::CompletionHandler recorder()
    {
        return [this](Verdict verdict, Reason reason) { list.emplace_back(verdict, reason); };
    }
};

/// Sets the mean service time of the route. The offered rate is too low to generate calls.
void setMeanServiceTime(ServingModel &model, double meanSeconds = 0.05)
{
    model.offer({ Fares, 1e-9, meanSeconds }, model.time.now() + absl::Seconds(1));
}

} // namespace

TEST_CASE("Retry through another node gets the outcome of the first call")
{
    ServingModel model(jarveySettings());
    setMeanServiceTime(model);
    const bool isIssued = GENERATE(true, false);
    const IdempotencyKey key = isIssued ? model.issueKey(4) : IdempotencyKey("deposit-1");
    CallResults results;
    model.sendCall(0, Fares, key, results.recorder());
    model.time.runFor(absl::Seconds(2));
    model.sendCall(1, Fares, key, results.recorder());
    model.sendCall(5, Fares, key, results.recorder());
    model.time.runFor(absl::Seconds(2));
    REQUIRE(results.list.size() == 3);
    for (const auto &result : results.list)
        CHECK(result.first == Verdict::Ran);
    CHECK(model.timesRun(key) == 1);
}

TEST_CASE("Of two concurrent calls with one key, one runs and the other is refused as in progress")
{
    ServingModel model(jarveySettings());
    setMeanServiceTime(model);
    const IdempotencyKey key("deposit-2");
    CallResults results;
    model.sendCall(0, Fares, key, results.recorder());
    model.sendCall(3, Fares, key, results.recorder());
    model.time.runFor(absl::Seconds(3));
    REQUIRE(results.list.size() == 2);
    CHECK(results.list[0] == std::make_pair(Verdict::MayHaveRun, Reason::KeyInProgress));
    CHECK(results.list[1].first == Verdict::Ran);
    CHECK(model.timesRun(key) == 1);
}

TEST_CASE("Retry after a cancelled call gets its outcome")
{
    ServingModel model(jarveySettings());
    setMeanServiceTime(model, 0.3);
    const IdempotencyKey key = model.issueKey(2);
    CallResults results;
    model.sendCall(2, Fares, key, results.recorder());
    model.time.runFor(absl::Milliseconds(50));
    model.cancelNewestCall(2);
    model.time.runFor(absl::Seconds(2));
    model.sendCall(4, Fares, key, results.recorder());
    model.time.runFor(absl::Seconds(2));
    REQUIRE(results.list.size() == 2);
    CHECK(results.list[0] == std::make_pair(Verdict::MayHaveRun, Reason::Cancelled));
    CHECK(results.list[1].first == Verdict::Ran);
    CHECK(model.timesRun(key) == 1);
}

TEST_CASE("Calls never run again after the owner of their key has crashed")
{
    ServingModel model(jarveySettings());
    setMeanServiceTime(model, 0.2);
    const bool isIssued = GENERATE(true, false);
    const bool isRestarted = GENERATE(true, false);
    const IdempotencyKey key = isIssued ? model.issueKey(2) : IdempotencyKey("deposit-3");
    CallResults results;
    model.sendCall(2, Fares, key, results.recorder());
    model.time.runFor(absl::Milliseconds(60));
    model.kill(2);
    if (isRestarted)
        model.restart(2);
    model.time.runFor(absl::Seconds(2));
    model.sendCall(4, Fares, key, results.recorder());
    if (isRestarted)
        model.sendCall(2, Fares, key, results.recorder());
    model.time.runFor(absl::Seconds(4));
    REQUIRE(results.list.size() == (isRestarted ? 3 : 2));
    for (const auto &result : results.list)
        CHECK(result.first == Verdict::MayHaveRun);
    CHECK(model.timesRun(key) <= 1);
}

TEST_CASE("Call does not run twice when the owner of its key is paused and resumed")
{
    ServingModel model(jarveySettings());
    setMeanServiceTime(model);
    const IdempotencyKey key = model.issueKey(2);
    CallResults results;
    model.sendCall(2, Fares, key, results.recorder());
    model.time.runFor(absl::Milliseconds(10));
    model.pause(2);
    model.sendCall(1, Fares, key, results.recorder());
    model.time.runFor(absl::Seconds(5));
    CHECK(model.timesRun(key) <= 1);
    model.resume(2);
    model.time.runFor(absl::Seconds(5));
    model.sendCall(1, Fares, key, results.recorder());
    model.time.runFor(absl::Seconds(5));
    CHECK(results.list.size() == 3);
    CHECK(model.timesRun(key) == 1);
}

TEST_CASE("During a network partition, calls run only on the side of their key's owner")
{
    ServingModel model(jarveySettings());
    setMeanServiceTime(model);
    const IdempotencyKey key = model.issueKey(0); // In liberties.
    model.setZonePartitioned("liberties", true);
    CallResults inside;
    CallResults outside;
    model.sendCall(1, Fares, key, outside.recorder());
    model.sendCall(3, Fares, key, inside.recorder());
    model.time.runFor(absl::Seconds(5));
    REQUIRE(inside.list.size() == 1);
    REQUIRE(outside.list.size() == 1);
    CHECK(inside.list[0].first == Verdict::Ran);
    CHECK(outside.list[0].first == Verdict::MayHaveRun);
    model.setZonePartitioned("liberties", false);
    model.sendCall(1, Fares, key, outside.recorder());
    model.time.runFor(absl::Seconds(5));
    CHECK(outside.list[1].first == Verdict::Ran);
    CHECK(model.timesRun(key) == 1);
}

TEST_CASE(
        "While the platform is down, calls with issued keys run, those with other keys are refused")
{
    ServingModel model(jarveySettings());
    setMeanServiceTime(model);
    model.platform.isDown = true;
    const IdempotencyKey issued = model.issueKey(0);
    const IdempotencyKey chosen("deposit-4");
    CallResults results;
    model.sendCall(1, Fares, issued, results.recorder());
    model.sendCall(1, Fares, chosen, results.recorder());
    model.time.runFor(absl::Seconds(4));
    REQUIRE(results.list.size() == 2);
    CHECK(results.list[0] == std::make_pair(Verdict::MayHaveRun, Reason::PlatformUnavailable));
    CHECK(results.list[1].first == Verdict::Ran);
    CHECK(model.timesRun(chosen) == 0);
    model.platform.isDown = false;
    model.sendCall(4, Fares, chosen, results.recorder());
    model.time.runFor(absl::Seconds(4));
    CHECK(results.list[2].first == Verdict::Ran);
    CHECK(model.timesRun(chosen) == 1);
}

TEST_CASE("Lost answers of the platform or of backend servers do not make a call run twice")
{
    ServingModel model(jarveySettings());
    setMeanServiceTime(model);
    const bool losesPlatformAnswers = GENERATE(true, false);
    if (losesPlatformAnswers)
        model.platform.answerLossProbability = 1;
    else
        for (std::size_t i = 0; i < model.hostCount(); ++i)
            model.setAnswerLoss(i, true);
    const IdempotencyKey key("deposit-5");
    CallResults results;
    for (std::size_t i = 0; i < 6; ++i) {
        model.sendCall(i, Fares, key, results.recorder());
        model.time.runFor(absl::Seconds(4));
    }
    model.platform.answerLossProbability = 0;
    for (std::size_t i = 0; i < model.hostCount(); ++i)
        model.setAnswerLoss(i, false);
    model.sendCall(0, Fares, key, results.recorder());
    model.time.runFor(absl::Seconds(4));
    CHECK(results.list.size() == 7);
    CHECK(model.timesRun(key) <= 1);
    CHECK(model.executionStats().refusedButRan == 0);
}

TEST_CASE("Calls run at most once per key, and refused calls have not run, while hosts crash, "
          "pause, shed and are partitioned")
{
    const std::uint64_t seed = GENERATE(range<std::uint64_t>(1, 21));
    ServingModel model(jarveySettings(seed));
    SeededRandom random(seed);
    setMeanServiceTime(model, 0.05);
    model.offer({ RouteId("rosters"), 400, 0.02 }, model.time.now() + absl::Seconds(20));
    std::uint64_t ended = 0;
    std::uint64_t started = 0;
    const auto scheduleCallAndRetries = [&](std::size_t, const IdempotencyKey &key) {
        for (int attempt = 0; attempt < 3; ++attempt) {
            model.time.scheduleAfter(
                    absl::Seconds(1.5 * attempt) + absl::Milliseconds(1), [&, key] {
                        std::size_t ingress = random.uniformBelow(model.hostCount());
                        ++started;
                        model.sendCall(ingress, Fares, key, [&](Verdict, Reason) { ++ended; });
                    });
        }
    };
    for (int step = 0; step < 40; ++step) {
        const std::size_t host = random.uniformBelow(model.hostCount());
        const bool isIssued = random.uniformBelow(2) == 0;
        const IdempotencyKey key =
                isIssued ? model.issueKey(host) : IdempotencyKey(absl::StrCat("k-", step));
        scheduleCallAndRetries(host, key);
        const std::size_t other = random.uniformBelow(model.hostCount());
        switch (random.uniformBelow(8)) {
        case 0:
            model.kill(other);
            model.restart(other);
            break;
        case 1:
            model.pause(other);
            break;
        case 2:
            model.resume(other);
            break;
        case 3:
            model.setShedProbability(other, random.uniformReal());
            break;
        case 4:
            model.setAnswerLoss(other, random.uniformBelow(2) == 0);
            break;
        case 5:
            model.setZonePartitioned("ringsend", random.uniformBelow(2) == 0);
            break;
        case 6:
            model.platform.isDown = random.uniformBelow(2) == 0;
            break;
        default:
            model.platform.answerLossProbability = random.uniformReal();
            break;
        }
        model.time.runFor(absl::Milliseconds(400));
    }
    model.setZonePartitioned("ringsend", false);
    model.platform.isDown = false;
    for (std::size_t i = 0; i < model.hostCount(); ++i)
        model.resume(i);
    model.time.runFor(absl::Seconds(20));
    CHECK(model.executionStats().keysRunTwice == 0);
    CHECK(model.executionStats().refusedButRan == 0);
    CHECK(model.executionStats().unfinishedCalls == 0);
    CHECK(ended == started);
}
