/// \file
/// What an owner knows of the idempotency keys it owns.
#pragma once

#include "godwitlift/base/Verdict.h"
#include "godwitlift/serving/IssuedKey.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <deque>
#include <optional>
#include <string>

namespace godwitlift {

/// An answer kept for the caller's retries.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool isComplete = true; ///< False if the body was too large to keep.
};

/// Whether a call may run under its key.
enum class KeyState : std::uint8_t {
    MayRun,       ///< The key was never handed to a backend server; the call may run now.
    InProgress,   ///< An attempt is running.
    Known,        ///< The outcome is known.
    Unknown,      ///< The key may have run and its outcome cannot be proved.
    OtherRequest, ///< The key belongs to a different request.
    NoSpace       ///< The ledger is full; the call must not run.
};

/// Bounds of a ledger.
struct LedgerPolicy
{
    absl::Duration retention = absl::Hours(24); ///< Time for which keys are remembered.
    std::size_t keyLimit = 200'000;
    std::size_t answerLimitBytes = 64U << 10U;    ///< Larger answers are not kept.
    std::size_t answerBudgetBytes = 48ULL << 20U; ///< Answers kept altogether.
};

/// Remembers each owned key from its first attempt until its retention ends. Not thread-safe.
///
/// Invariant: between two calls of begin() that return MayRun for one key lies a finish() with
/// NotRun. A key that is forgotten after its retention is answered as Unknown, never as MayRun.
class OperationLedger final
{
public:
    /// \p secret makes issued keys unguessable; \p incarnation is that of the owning node.
    OperationLedger(HostId self, Incarnation incarnation, std::uint64_t secret,
                    LedgerPolicy policy);

    IdempotencyKey issue();
    /// Whether \p key is one this very process issued.
    bool isOwn(const IssuedKey &key) const;

    /// Asks to run a call under an issued key of this node.
    KeyState beginIssued(const IssuedKey &key, std::uint64_t fingerprint, absl::Time now);
    /// Asks to run a call under a key whose claim names this process since \p claimed.
    KeyState beginClaimed(const IdempotencyKey &key, std::uint64_t fingerprint, absl::Time claimed,
                          absl::Time now);
    /// Whether the key is held, so that nobody else needs to be asked for its owner.
    bool knows(const IdempotencyKey &key) const { return m_entries.contains(key); }
    /// Ends the attempt that began last. \p answer counts only if \p verdict is Ran.
    void finish(const IdempotencyKey &key, Verdict verdict, StoredAnswer answer);
    /// The answer of a key in state Known; null if none is held.
    const StoredAnswer *answer(const IdempotencyKey &key) const;

    void expire(absl::Time now);
    std::size_t size() const { return m_entries.size(); }
    std::size_t answerBytes() const { return m_answerBytes; }

private:
    struct Entry
    {
        std::uint64_t fingerprint = 0;
        KeyState state = KeyState::InProgress;
        StoredAnswer answer;
    };
    struct Arrival
    {
        IdempotencyKey key;
        std::uint64_t counter = 0; ///< Of an issued key, else 0.
        absl::Time time;
    };

    KeyState begin(const IdempotencyKey &key, std::uint64_t counter, std::uint64_t fingerprint,
                   absl::Time now);
    std::uint64_t proofOf(std::uint64_t counter) const;
    void keepAnswer(Entry &entry, StoredAnswer answer);

    HostId m_self;
    Incarnation m_incarnation;
    std::uint64_t m_secret;
    LedgerPolicy m_policy;
    std::uint64_t m_issued = 0;    ///< Counter of the last issued key.
    std::uint64_t m_forgotten = 0; ///< Issued keys up to this counter are answered as Unknown.
    absl::flat_hash_map<IdempotencyKey, Entry> m_entries;
    std::deque<Arrival> m_arrivals; ///< One for each entry, oldest first.
    std::size_t m_answerBytes = 0;
};

} // namespace godwitlift
