/// \file
/// Ledger, issued keys, claims, answer tracking, verdict names.
#include "godwitlift/base/Verdict.h"
#include "godwitlift/serving/AnswerTracker.h"
#include "godwitlift/serving/KeyClaim.h"
#include "godwitlift/serving/OperationLedger.h"

#include <catch2/catch.hpp>

#include <set>

using namespace godwitlift;

namespace {

const absl::Time Now = absl::FromUnixSeconds(1'000'000);

OperationLedger ledgerOf(LedgerPolicy policy = {})
{
    return OperationLedger(HostId("h"), Incarnation(7), 42, policy);
}

} // namespace

TEST_CASE("A key runs again only after an attempt that did not run")
{
    OperationLedger ledger = ledgerOf();
    const IdempotencyKey key = ledger.issue();
    const IssuedKey issued = *IssuedKey::parse(key);
    CHECK(ledger.beginIssued(issued, 1, Now) == KeyState::MayRun);
    CHECK(ledger.beginIssued(issued, 1, Now) == KeyState::InProgress);
    ledger.finish(key, Verdict::NotRun, {});
    CHECK(ledger.beginIssued(issued, 2, Now) == KeyState::OtherRequest);
    CHECK(ledger.beginIssued(issued, 1, Now) == KeyState::MayRun);
    ledger.finish(key, Verdict::Ran, { 200, "text/plain", "done", true });
    CHECK(ledger.beginIssued(issued, 1, Now) == KeyState::Known);
    CHECK(ledger.answer(key)->body == "done");
    ledger.finish(key, Verdict::NotRun, {});
    CHECK(ledger.beginIssued(issued, 1, Now) == KeyState::Known);
}

TEST_CASE("An unknown outcome stays unknown")
{
    OperationLedger ledger = ledgerOf();
    const IdempotencyKey key = ledger.issue();
    ledger.beginIssued(*IssuedKey::parse(key), 1, Now);
    ledger.finish(key, Verdict::MayHaveRun, {});
    CHECK(ledger.beginIssued(*IssuedKey::parse(key), 1, Now) == KeyState::Unknown);
}

TEST_CASE("Keys of another process, forged keys and forgotten keys never run")
{
    LedgerPolicy policy;
    policy.retention = absl::Hours(1);
    OperationLedger ledger = ledgerOf(policy);
    const IssuedKey issued = *IssuedKey::parse(ledger.issue());
    IssuedKey older = issued;
    older.incarnation = Incarnation(6);
    CHECK(ledger.beginIssued(older, 1, Now) == KeyState::Unknown);
    IssuedKey forged = issued;
    forged.counter += 1;
    CHECK(ledger.beginIssued(forged, 1, Now) == KeyState::Unknown);
    CHECK(ledger.beginIssued(issued, 1, Now) == KeyState::MayRun);
    ledger.finish(issued.text(), Verdict::Ran, {});
    ledger.expire(Now + absl::Hours(2));
    CHECK(ledger.size() == 0);
    CHECK(ledger.beginIssued(issued, 1, Now + absl::Hours(2)) == KeyState::Unknown);
    const IdempotencyKey chosen("chosen");
    CHECK(ledger.beginClaimed(chosen, 1, Now, Now) == KeyState::MayRun);
    ledger.finish(chosen, Verdict::Ran, {});
    ledger.expire(Now + absl::Hours(2));
    CHECK(ledger.beginClaimed(chosen, 1, Now, Now + absl::Hours(2)) == KeyState::Unknown);
}

TEST_CASE("A full ledger refuses new keys and keeps the old ones")
{
    LedgerPolicy policy;
    policy.keyLimit = 1;
    policy.answerLimitBytes = 3;
    OperationLedger ledger = ledgerOf(policy);
    const IdempotencyKey first = ledger.issue();
    CHECK(ledger.beginIssued(*IssuedKey::parse(first), 1, Now) == KeyState::MayRun);
    CHECK(ledger.beginIssued(*IssuedKey::parse(ledger.issue()), 1, Now) == KeyState::NoSpace);
    ledger.finish(first, Verdict::Ran, { 200, "", "too large", true });
    CHECK_FALSE(ledger.answer(first)->isComplete);
    CHECK(ledger.answerBytes() == 0);
}

TEST_CASE("A claim resolves lost answers by reading")
{
    const KeyOwner self{ HostId("h"), Incarnation(7), Now };
    KeyClaim claim(IdempotencyKey("k"), self, Now + absl::Seconds(5));
    PlatformOperation operation = claim.begin();
    const TableRow own = std::get<Transact>(operation).puts[0].row;
    PlatformAnswer lost;
    lost.outcome = PlatformOutcome::Unknown;
    operation = *claim.advance(lost, Now);
    CHECK(std::get<FetchRow>(operation).key == own.key);
    SECTION("the write took effect")
    {
        PlatformAnswer row;
        row.outcome = PlatformOutcome::Ok;
        row.rows = { own };
        CHECK_FALSE(claim.advance(row, Now));
        CHECK(std::get<KeyOwner>(*claim.end()).host == HostId("h"));
    }
    SECTION("it did not: the same conditional write is sent again")
    {
        PlatformAnswer none;
        none.outcome = PlatformOutcome::NotFound;
        operation = *claim.advance(none, Now);
        CHECK(std::get<Transact>(operation).puts[0].condition.kind == RowCondition::Kind::Absent);
    }
    SECTION("the platform goes away")
    {
        PlatformAnswer down;
        down.outcome = PlatformOutcome::Unavailable;
        CHECK_FALSE(claim.advance(down, Now));
        CHECK(std::holds_alternative<ClaimFailed>(*claim.end()));
    }
}

TEST_CASE("Answers are whole or found out")
{
    AnswerTracker whole(AttemptId(3), absl::Seconds(1), Now);
    CHECK(whole.head(AttemptId(3), 5, Now) == Reason::None);
    CHECK(whole.body(5, Now) == Reason::None);
    CHECK(whole.end(Now) == Reason::None);
    CHECK(whole.isWhole());

    AnswerTracker crossed(AttemptId(3), absl::Seconds(1), Now);
    CHECK(crossed.head(AttemptId(4), 5, Now) == Reason::AnswerMismatched);

    AnswerTracker truncated(AttemptId(3), absl::Seconds(1), Now);
    truncated.head(AttemptId(3), 5, Now);
    truncated.body(4, Now);
    CHECK(truncated.end(Now) == Reason::AnswerTruncated);
    CHECK(truncated.body(2, Now) == Reason::AnswerMismatched);

    AnswerTracker slow(AttemptId(3), absl::Seconds(1), Now);
    slow.head(AttemptId(3), std::nullopt, Now);
    for (int i = 1; i <= 100; ++i) {
        const absl::Time now = Now + absl::Milliseconds(900 * i);
        CHECK(slow.check(now) == Reason::None);
        slow.body(1, now);
    }
    CHECK(slow.check(Now + absl::Seconds(92)) == Reason::AnswerStalled);
}

TEST_CASE("Every reason and verdict has a name of its own")
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
