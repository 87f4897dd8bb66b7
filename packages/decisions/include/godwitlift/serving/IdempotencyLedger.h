/// \file
/// States and stored answers of the idempotency keys that a node owns.
#pragma once

#include "godwitlift/base/Verdict.h"
#include "godwitlift/serving/IssuedKey.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <deque>
#include <optional>
#include <string>

namespace godwitlift {

/// An answer stored for replay to the caller's retries.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool isComplete = true; ///< False if the body was too large to store.
};

/// Whether a call may run under its key.
enum class KeyState : std::uint8_t {
    MayRun,          ///< No call with the key has run; this one may run now.
    InProgress,      ///< An attempt is running.
    Completed,       ///< The call has run.
    OutcomeUnknown,  ///< The call may have run; whether it did cannot be determined.
    RequestMismatch, ///< The key was used with a different request.
    LedgerFull       ///< The key cannot be recorded; the call must not run.
};

/// Limits of a ledger.
struct LedgerPolicy
{
    absl::Duration retention = absl::Hours(24); ///< From the first attempt of a key.
    std::size_t keyLimit = 200'000;
    std::size_t answerLimitBytes = 64U << 10U;    ///< Larger answers are not stored.
    std::size_t answerBudgetBytes = 48ULL << 20U; ///< All stored answers together.
};

/// Records each owned key from its first attempt until its retention time ends. Not thread-safe.
///
/// Invariant: between two calls of begin() that return MayRun for the same key there is a call of
/// finish() with NotRun. For an expired key the state is OutcomeUnknown, never MayRun.
class IdempotencyLedger final
{
public:
    /// \p self and \p incarnation identify the owning node; \p secret makes issued keys
    /// unguessable.
    IdempotencyLedger(HostId self, Incarnation incarnation, std::uint64_t secret,
                      LedgerPolicy policy);

    IdempotencyKey issue();
    /// Whether this process issued \p key.
    bool isIssuedHere(const IssuedKey &key) const;

    /// Requests to run a call under an issued key of this node. Returns MayRun at most once until
    /// finish() is called.
    KeyState beginIssued(const IssuedKey &key, std::uint64_t fingerprint, absl::Time now);
    /// Same for a key that the caller chose and that this process has owned since \p claimTime.
    KeyState beginClaimed(const IdempotencyKey &key, std::uint64_t fingerprint,
                          absl::Time claimTime, absl::Time now);
    /// Whether the key is recorded here, so that its owner need not be looked up.
    bool contains(const IdempotencyKey &key) const { return m_entries.contains(key); }
    /// Ends the attempt in progress. \p answer is stored only if \p verdict is Ran.
    void finish(const IdempotencyKey &key, Verdict verdict, StoredAnswer answer);
    /// The answer of a key in state Completed, otherwise null.
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
    struct ExpiryEntry
    {
        IdempotencyKey key;
        std::uint64_t counter = 0; ///< Of an issued key, otherwise 0.
        absl::Time time;
    };

    KeyState begin(const IdempotencyKey &key, std::uint64_t counter, std::uint64_t fingerprint,
                   absl::Time now);
    std::uint64_t authenticationTagOf(std::uint64_t counter) const;
    void storeAnswer(Entry &entry, StoredAnswer answer);

    HostId m_self;
    Incarnation m_incarnation;
    std::uint64_t m_secret;
    LedgerPolicy m_policy;
    std::uint64_t m_lastIssuedCounter = 0;
    std::uint64_t m_lastExpiredCounter = 0; ///< Unrecorded issued keys up to it are OutcomeUnknown.
    absl::flat_hash_map<IdempotencyKey, Entry> m_entries;
    std::deque<ExpiryEntry> m_expiryQueue; ///< One for each entry, oldest first.
    std::size_t m_answerBytes = 0;
};

} // namespace godwitlift
