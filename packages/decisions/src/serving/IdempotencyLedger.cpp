/// \file
/// Transitions and expiry of key states.
#include "godwitlift/serving/IdempotencyLedger.h"

#include "godwitlift/base/Hashing.h"

#include <algorithm>

namespace godwitlift {

IdempotencyLedger::IdempotencyLedger(HostId self, Incarnation incarnation, std::uint64_t secret,
                                     LedgerPolicy policy)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_secret(secret)
    , m_policy(policy)
{}

std::uint64_t IdempotencyLedger::authenticationTagOf(std::uint64_t counter) const
{
    return hashOf({ reinterpret_cast<const char *>(&counter), sizeof(counter) }, m_secret);
}

IdempotencyKey IdempotencyLedger::issue()
{
    ++m_lastIssuedCounter;
    return IssuedKey{ m_self, m_incarnation, m_lastIssuedCounter,
                      authenticationTagOf(m_lastIssuedCounter) }
            .toIdempotencyKey();
}

bool IdempotencyLedger::isIssuedHere(const IssuedKey &key) const
{
    return key.owner == m_self && key.incarnation == m_incarnation
           && key.counter <= m_lastIssuedCounter
           && key.authenticationTag == authenticationTagOf(key.counter);
}

KeyState IdempotencyLedger::beginIssued(const IssuedKey &key, std::uint64_t fingerprint,
                                        absl::Time now)
{
    if (!isIssuedHere(key)
        || (key.counter <= m_lastExpiredCounter && !m_entries.contains(key.toIdempotencyKey())))
        return KeyState::OutcomeUnknown;
    return begin(key.toIdempotencyKey(), key.counter, fingerprint, now);
}

KeyState IdempotencyLedger::beginClaimed(const IdempotencyKey &key, std::uint64_t fingerprint,
                                         absl::Time claimTime, absl::Time now)
{
    if (!m_entries.contains(key) && now - claimTime >= m_policy.retention)
        return KeyState::OutcomeUnknown;
    return begin(key, 0, fingerprint, now);
}

KeyState IdempotencyLedger::begin(const IdempotencyKey &key, std::uint64_t counter,
                                  std::uint64_t fingerprint, absl::Time now)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end()) {
        if (m_entries.size() >= m_policy.keyLimit)
            return KeyState::LedgerFull;
        m_entries[key] = { fingerprint, KeyState::InProgress, {} };
        m_expiryQueue.push_back({ key, counter, now });
        return KeyState::MayRun;
    }
    Entry &entry = it->second;
    if (entry.fingerprint != fingerprint)
        return KeyState::RequestMismatch;
    if (entry.state != KeyState::MayRun)
        return entry.state;
    entry.state = KeyState::InProgress;
    return KeyState::MayRun;
}

void IdempotencyLedger::finish(const IdempotencyKey &key, Verdict verdict, StoredAnswer answer)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || it->second.state != KeyState::InProgress)
        return;
    switch (verdict) {
    case Verdict::NotRun:
        it->second.state = KeyState::MayRun;
        break;
    case Verdict::MayHaveRun:
        it->second.state = KeyState::OutcomeUnknown;
        break;
    case Verdict::Ran:
        it->second.state = KeyState::Completed;
        storeAnswer(it->second, std::move(answer));
        break;
    }
}

void IdempotencyLedger::storeAnswer(Entry &entry, StoredAnswer answer)
{
    const std::size_t bytes = answer.body.size();
    if (bytes > m_policy.answerLimitBytes || m_answerBytes + bytes > m_policy.answerBudgetBytes) {
        answer.body.clear();
        answer.isComplete = false;
    }
    m_answerBytes += answer.body.size();
    entry.answer = std::move(answer);
}

const StoredAnswer *IdempotencyLedger::answer(const IdempotencyKey &key) const
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || it->second.state != KeyState::Completed)
        return nullptr;
    return &it->second.answer;
}

void IdempotencyLedger::expire(absl::Time now)
{
    while (!m_expiryQueue.empty() && now - m_expiryQueue.front().time >= m_policy.retention) {
        const ExpiryEntry &oldest = m_expiryQueue.front();
        const auto it = m_entries.find(oldest.key);
        if (it->second.state == KeyState::InProgress)
            return; // Keys expire in order; expiry continues once this attempt has ended.
        m_answerBytes -= it->second.answer.body.size();
        m_lastExpiredCounter = std::max(m_lastExpiredCounter, oldest.counter);
        m_entries.erase(it);
        m_expiryQueue.pop_front();
    }
}

} // namespace godwitlift
