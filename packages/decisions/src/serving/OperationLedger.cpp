/// \file
/// Key states and their retention.
#include "godwitlift/serving/OperationLedger.h"

#include "godwitlift/base/Hashing.h"

#include <algorithm>

namespace godwitlift {

OperationLedger::OperationLedger(HostId self, Incarnation incarnation, std::uint64_t secret,
                                 LedgerPolicy policy)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_secret(secret)
    , m_policy(policy)
{}

std::uint64_t OperationLedger::proofOf(std::uint64_t counter) const
{
    return hashOf({ reinterpret_cast<const char *>(&counter), sizeof(counter) }, m_secret);
}

IdempotencyKey OperationLedger::issue()
{
    ++m_issued;
    return IssuedKey{ m_self, m_incarnation, m_issued, proofOf(m_issued) }.text();
}

bool OperationLedger::isOwn(const IssuedKey &key) const
{
    return key.owner == m_self && key.incarnation == m_incarnation && key.counter <= m_issued
           && key.proof == proofOf(key.counter);
}

KeyState OperationLedger::beginIssued(const IssuedKey &key, std::uint64_t fingerprint,
                                      absl::Time now)
{
    if (!isOwn(key) || (key.counter <= m_forgotten && !m_entries.contains(key.text())))
        return KeyState::Unknown;
    return begin(key.text(), key.counter, fingerprint, now);
}

KeyState OperationLedger::beginClaimed(const IdempotencyKey &key, std::uint64_t fingerprint,
                                       absl::Time claimed, absl::Time now)
{
    if (!m_entries.contains(key) && now - claimed >= m_policy.retention)
        return KeyState::Unknown;
    return begin(key, 0, fingerprint, now);
}

KeyState OperationLedger::begin(const IdempotencyKey &key, std::uint64_t counter,
                                std::uint64_t fingerprint, absl::Time now)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end()) {
        if (m_entries.size() >= m_policy.keyLimit)
            return KeyState::NoSpace;
        m_entries[key] = { fingerprint, KeyState::InProgress, {} };
        m_arrivals.push_back({ key, counter, now });
        return KeyState::MayRun;
    }
    Entry &entry = it->second;
    if (entry.fingerprint != fingerprint)
        return KeyState::OtherRequest;
    if (entry.state != KeyState::MayRun)
        return entry.state;
    entry.state = KeyState::InProgress;
    return KeyState::MayRun;
}

void OperationLedger::finish(const IdempotencyKey &key, Verdict verdict, StoredAnswer answer)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || it->second.state != KeyState::InProgress)
        return;
    switch (verdict) {
    case Verdict::NotRun:
        it->second.state = KeyState::MayRun;
        break;
    case Verdict::MayHaveRun:
        it->second.state = KeyState::Unknown;
        break;
    case Verdict::Ran:
        it->second.state = KeyState::Known;
        keepAnswer(it->second, std::move(answer));
        break;
    }
}

void OperationLedger::keepAnswer(Entry &entry, StoredAnswer answer)
{
    const std::size_t bytes = answer.body.size();
    if (bytes > m_policy.answerLimitBytes || m_answerBytes + bytes > m_policy.answerBudgetBytes) {
        answer.body.clear();
        answer.isComplete = false;
    }
    m_answerBytes += answer.body.size();
    entry.answer = std::move(answer);
}

const StoredAnswer *OperationLedger::answer(const IdempotencyKey &key) const
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || it->second.state != KeyState::Known)
        return nullptr;
    return &it->second.answer;
}

void OperationLedger::expire(absl::Time now)
{
    while (!m_arrivals.empty() && now - m_arrivals.front().time >= m_policy.retention) {
        const Arrival &oldest = m_arrivals.front();
        const auto it = m_entries.find(oldest.key);
        if (it->second.state == KeyState::InProgress)
            return; // Judged again once it has ended.
        m_answerBytes -= it->second.answer.body.size();
        m_forgotten = std::max(m_forgotten, oldest.counter);
        m_entries.erase(it);
        m_arrivals.pop_front();
    }
}

} // namespace godwitlift
