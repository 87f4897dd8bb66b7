/// \file
/// Tests of the idempotency ledger, issued keys, key claims, the answer tracker and the names of
/// reasons and verdicts.
#include "godwitlift/base/Verdict.h"
#include "godwitlift/serving/AnswerTracker.h"
#include "godwitlift/serving/IdempotencyLedger.h"
#include "godwitlift/serving/KeyClaim.h"

#include <catch2/catch.hpp>

#include <set>

using namespace godwitlift;

namespace {

const absl::Time Now = absl::FromUnixSeconds(1'000'000);

IdempotencyLedger ledgerOf(LedgerPolicy policy = {})
{
    return IdempotencyLedger(HostId("h"), Incarnation(7), 42, policy);
}

} // namespace

TEST_CASE("Call with a key runs again only after an attempt that did not run")
{
    IdempotencyLedger ledger = ledgerOf();
    const IdempotencyKey key = ledger.issue();
    const IssuedKey issued = *IssuedKey::parse(key);
    CHECK(ledger.beginIssued(issued, 1, Now) == KeyState::MayRun);
    CHECK(ledger.beginIssued(issued, 1, Now) == KeyState::InProgress);
    ledger.finish(key, Verdict::NotRun, {});
    CHECK(ledger.beginIssued(issued, 2, Now) == KeyState::RequestMismatch);
    CHECK(ledger.beginIssued(issued, 1, Now) == KeyState::MayRun);
    ledger.finish(key, Verdict::Ran, { 200, "text/plain", "done", true });
    CHECK(ledger.beginIssued(issued, 1, Now) == KeyState::Completed);
    CHECK(ledger.answer(key)->body == "done");
    ledger.finish(key, Verdict::NotRun, {});
    CHECK(ledger.beginIssued(issued, 1, Now) == KeyState::Completed);
}

TEST_CASE("Call with an unknown outcome never runs again")
{
    IdempotencyLedger ledger = ledgerOf();
    const IdempotencyKey key = ledger.issue();
    ledger.beginIssued(*IssuedKey::parse(key), 1, Now);
    ledger.finish(key, Verdict::MayHaveRun, {});
    CHECK(ledger.beginIssued(*IssuedKey::parse(key), 1, Now) == KeyState::OutcomeUnknown);
}

TEST_CASE("Calls with keys of another process, forged keys or expired keys never run")
{
    LedgerPolicy policy;
    policy.retention = absl::Hours(1);
    IdempotencyLedger ledger = ledgerOf(policy);
    const IssuedKey issued = *IssuedKey::parse(ledger.issue());
    IssuedKey older = issued;
    older.incarnation = Incarnation(6);
    CHECK(ledger.beginIssued(older, 1, Now) == KeyState::OutcomeUnknown);
    IssuedKey forged = issued;
    forged.counter += 1;
    CHECK(ledger.beginIssued(forged, 1, Now) == KeyState::OutcomeUnknown);
    CHECK(ledger.beginIssued(issued, 1, Now) == KeyState::MayRun);
    ledger.finish(issued.toIdempotencyKey(), Verdict::Ran, {});
    ledger.expire(Now + absl::Hours(2));
    CHECK(ledger.size() == 0);
    CHECK(ledger.beginIssued(issued, 1, Now + absl::Hours(2)) == KeyState::OutcomeUnknown);
    const IdempotencyKey chosen("chosen");
    CHECK(ledger.beginClaimed(chosen, 1, Now, Now) == KeyState::MayRun);
    ledger.finish(chosen, Verdict::Ran, {});
    ledger.expire(Now + absl::Hours(2));
    CHECK(ledger.beginClaimed(chosen, 1, Now, Now + absl::Hours(2)) == KeyState::OutcomeUnknown);
}

TEST_CASE("Full ledger refuses new keys, and an oversized answer is dropped while its key stays")
{
    LedgerPolicy policy;
    policy.keyLimit = 1;
    policy.answerLimitBytes = 3;
    IdempotencyLedger ledger = ledgerOf(policy);
    const IdempotencyKey first = ledger.issue();
    CHECK(ledger.beginIssued(*IssuedKey::parse(first), 1, Now) == KeyState::MayRun);
    CHECK(ledger.beginIssued(*IssuedKey::parse(ledger.issue()), 1, Now) == KeyState::LedgerFull);
    ledger.finish(first, Verdict::Ran, { 200, "", "too large", true });
    CHECK_FALSE(ledger.answer(first)->isComplete);
    CHECK(ledger.answerBytes() == 0);
}

TEST_CASE("Claim reads the row when the outcome of its write is unknown")
{
    const KeyOwner self{ HostId("h"), Incarnation(7), Now };
    KeyClaim claim(IdempotencyKey("k"), self, Now + absl::Seconds(5));
    PlatformOperation operation = claim.start();
    const TableRow own = std::get<Transact>(operation).puts[0].row;
    PlatformAnswer lost;
    lost.outcome = PlatformOutcome::Unknown;
    operation = *claim.onPlatformAnswer(lost, Now);
    CHECK(std::get<FetchRow>(operation).key == own.key);
    SECTION("the write was applied")
    {
        PlatformAnswer row;
        row.outcome = PlatformOutcome::Ok;
        row.rows = { own };
        CHECK_FALSE(claim.onPlatformAnswer(row, Now));
        CHECK(std::get<KeyOwner>(*claim.result()).host == HostId("h"));
    }
    SECTION("the write was not applied: it is sent again")
    {
        PlatformAnswer none;
        none.outcome = PlatformOutcome::NotFound;
        operation = *claim.onPlatformAnswer(none, Now);
        CHECK(std::get<Transact>(operation).puts[0].condition.kind == RowCondition::Kind::Absent);
    }
    SECTION("the platform becomes unavailable")
    {
        PlatformAnswer down;
        down.outcome = PlatformOutcome::Unavailable;
        CHECK_FALSE(claim.onPlatformAnswer(down, Now));
        CHECK(std::holds_alternative<ClaimFailed>(*claim.result()));
    }
}

TEST_CASE("Mismatched, truncated and stalled answers are detected")
{
    AnswerTracker complete(AttemptId(3), absl::Seconds(1), Now);
    CHECK(complete.onHead(AttemptId(3), 5, Now) == Reason::None);
    CHECK(complete.onBody(5, Now) == Reason::None);
    CHECK(complete.onEnd(Now) == Reason::None);
    CHECK(complete.isComplete());

    AnswerTracker mismatched(AttemptId(3), absl::Seconds(1), Now);
    CHECK(mismatched.onHead(AttemptId(4), 5, Now) == Reason::AnswerMismatched);

    AnswerTracker truncated(AttemptId(3), absl::Seconds(1), Now);
    truncated.onHead(AttemptId(3), 5, Now);
    truncated.onBody(4, Now);
    CHECK(truncated.onEnd(Now) == Reason::AnswerTruncated);
    CHECK(truncated.onBody(2, Now) == Reason::AnswerMismatched);

    AnswerTracker slow(AttemptId(3), absl::Seconds(1), Now);
    slow.onHead(AttemptId(3), std::nullopt, Now);
    for (int i = 1; i <= 100; ++i) {
        const absl::Time now = Now + absl::Milliseconds(900 * i);
        CHECK(slow.checkProgress(now) == Reason::None);
        slow.onBody(1, now);
    }
    CHECK(slow.checkProgress(Now + absl::Seconds(92)) == Reason::AnswerStalled);
}

TEST_CASE("Every reason and verdict has a unique name")
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < ReasonCount; ++i) {
        const auto reason = static_cast<Reason>(i);
        CHECK(names.insert(name(reason)).second);
        CHECK(reasonFromName(name(reason)) == reason);
    }
    for (const Verdict verdict : { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran })
        CHECK(verdictFromName(name(verdict)) == verdict);
    CHECK_FALSE(reasonFromName("no such reason"));
}
