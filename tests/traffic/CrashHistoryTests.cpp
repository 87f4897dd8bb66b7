/// \file
/// Requests under which servers crash, over several nodes, late and doubled reports, and restarts.
#include "godwitlift/traffic/CrashDetector.h"
#include "godwitlift/traffic/CrashHistory.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

namespace {

const absl::Time Now = absl::UnixEpoch() + absl::Hours(1);
const ContentDigest Crashing(7);
const ContentDigest Innocent(8);

ServerCrash crash(std::uint64_t process, ContentDigest content = Crashing)
{
    return { content, ServerProcess(process) };
}

CrashHistory quarantined()
{
    CrashHistory history;
    for (std::uint64_t process = 1; process <= CrashHistory::CrashLimit; ++process)
        history.charge(crash(process), Now);
    return history;
}

} // namespace

TEST_CASE("a request is quarantined by the third server that ends under it, on any host")
{
    CrashHistory history;
    CHECK(history.charge(crash(1), Now));
    history.add({ crash(2), absl::Milliseconds(20) }, Now);
    CHECK_FALSE(history.isQuarantined(Crashing, Now));
    CHECK(history.admit(Crashing, Now) == CrashAdmission::Send);
    history.add({ crash(3), absl::ZeroDuration() }, Now);
    CHECK(history.isQuarantined(Crashing, Now));
    CHECK(history.admit(Crashing, Now) == CrashAdmission::Refuse);
    CHECK(history.admit(Innocent, Now) == CrashAdmission::Send);
}

// Guards against counting one crash several times.
TEST_CASE("a crash that is reported again, or by several peers, counts once")
{
    CrashHistory history;
    for (int i = 0; i < 5; ++i)
        history.add({ crash(1), absl::Milliseconds(i) }, Now);
    CHECK_FALSE(history.charge(crash(1), Now));
    CHECK_FALSE(history.isQuarantined(Crashing, Now));
}

// Guards against a quarantine that a restarted node does not know.
TEST_CASE("a node that has just started learns the quarantines of its peers with their age")
{
    const CrashHistory peer = quarantined();
    CrashHistory restarted;
    const absl::Time later = Now + absl::Seconds(50);
    for (const AgedCrash &known : peer.list(later))
        restarted.add(known, later);
    CHECK(restarted.isQuarantined(Crashing, later));
    CHECK(restarted.quarantineLeft(Crashing, later) == absl::Seconds(10));
}

TEST_CASE("an answer clears a request; later crashes begin to count anew")
{
    CrashHistory history = quarantined();
    CHECK(history.onAnswered(Crashing, Now));
    CHECK(history.admit(Crashing, Now) == CrashAdmission::Send);
    CHECK_FALSE(history.charge(crash(4), Now + absl::Seconds(1)));
    CHECK(history.charge(crash(4), Now + CrashHistory::AnswerProtection));
    CHECK(history.admit(Crashing, Now + CrashHistory::AnswerProtection) == CrashAdmission::Send);
    CHECK_FALSE(history.onAnswered(Innocent, Now));
}

// Guards against refusing popular requests after the loss of an availability zone.
TEST_CASE("a popular request stays served when many servers fall at once")
{
    CrashHistory history;
    history.onAnswered(Innocent, Now - absl::Milliseconds(100));
    for (std::uint64_t process = 1; process <= 20; ++process)
        CHECK_FALSE(history.charge(crash(process, Innocent), Now));
    CHECK(history.admit(Innocent, Now) == CrashAdmission::Send);
}

// A server's new version may have mended the fault.
TEST_CASE("after the quarantine single trials are sent, and each further crash doubles it")
{
    CrashHistory history = quarantined();
    const absl::Time end = Now + CrashHistory::InitialQuarantine;
    CHECK(history.admit(Crashing, end - absl::Milliseconds(1)) == CrashAdmission::Refuse);
    CHECK(history.admit(Crashing, end) == CrashAdmission::Trial);
    CHECK(history.admit(Crashing, end + absl::Seconds(1)) == CrashAdmission::Refuse);
    history.charge(crash(4), end);
    CHECK(history.admit(Crashing, end + CrashHistory::InitialQuarantine) == CrashAdmission::Refuse);
    CHECK(history.admit(Crashing, end + 2 * CrashHistory::InitialQuarantine)
          == CrashAdmission::Trial);
    for (std::uint64_t process = 5; process < 40; ++process)
        history.charge(crash(process), end);
    CHECK(history.quarantineLeft(Crashing, end) == CrashHistory::MaxQuarantine);
}

TEST_CASE("many crashing requests use bounded memory, and the latest ones are kept")
{
    CrashHistory history;
    const std::uint64_t count = 10 * CrashHistory::MaxRequests;
    for (std::uint64_t content = 1; content <= count; ++content) {
        for (std::uint64_t process = 1; process <= 3; ++process)
            history.charge(crash(process, ContentDigest(content)),
                           Now + absl::Milliseconds(content));
    }
    CHECK(history.list(Now).size() <= 3 * CrashHistory::MaxRequests);
    CHECK(history.isQuarantined(ContentDigest(count), Now + absl::Seconds(10)));
}

TEST_CASE(
        "a server ended under the requests that it had not answered, if it answers none after them")
{
    CrashDetector detector;
    detector.onAnswerLost(Crashing, ServerProcess(1), Now);
    SECTION("it accepts no connection")
    {
        CHECK(detector.onServerEnded(Now) == std::vector<ServerCrash>{ crash(1) });
        CHECK(detector.onServerEnded(Now).empty());
    }
    SECTION("another request that began earlier is still answered")
    {
        detector.onAnswer(Now - absl::Milliseconds(1));
        CHECK(detector.onServerEnded(Now).size() == 1);
    }
    SECTION("a request that began later is answered")
    {
        detector.onAnswer(Now + absl::Milliseconds(1));
        CHECK(detector.onServerEnded(Now).empty());
    }
    SECTION("it ends much later")
    {
        CHECK(detector.onServerEnded(Now + absl::Minutes(1)).empty());
    }
}

// Guards against the quarantine of all requests of a node that sends no digest, during an upgrade.
TEST_CASE("requests without a digest are never charged")
{
    CrashDetector detector;
    detector.onAnswerLost(ContentDigest(), ServerProcess(1), Now);
    CHECK(detector.onServerEnded(Now).empty());
}

// Guards against a trial by each node (review case 9), by a node that lags behind, and against none
// at all after the node that had it was lost.
TEST_CASE("a trial is due once for each number of crashes, and again when it has expired")
{
    CrashHistory history = quarantined();
    const absl::Time end = Now + CrashHistory::InitialQuarantine;
    CHECK_FALSE(history.isTrialDue(Crashing, std::nullopt, end - absl::Milliseconds(1)));
    CHECK(history.isTrialDue(Crashing, std::nullopt, end));
    CHECK_FALSE(history.isTrialDue(Crashing, CrashTrial{ 3, absl::ZeroDuration() }, end));
    CHECK_FALSE(history.isTrialDue(Crashing, CrashTrial{ 4, absl::ZeroDuration() }, end));
    CHECK_FALSE(history.isTrialDue(
            Crashing, CrashTrial{ 3, CrashHistory::TrialExpiry - absl::Milliseconds(1) }, end));
    CHECK(history.isTrialDue(Crashing, CrashTrial{ 3, CrashHistory::TrialExpiry }, end));
    history.charge(crash(4), end);
    const absl::Time secondEnd = end + 2 * CrashHistory::InitialQuarantine;
    CHECK(history.isTrialDue(Crashing, CrashTrial{ 3, absl::Seconds(50) }, secondEnd));
}
