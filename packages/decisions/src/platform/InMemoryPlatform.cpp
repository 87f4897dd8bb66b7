/// \file
/// In-memory table service and object store.
#include "godwitlift/platform/InMemoryPlatform.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace godwitlift {

namespace {

PlatformAnswer outcomeOnly(PlatformOutcome outcome)
{
    PlatformAnswer answer;
    answer.outcome = outcome;
    return answer;
}

} // namespace

PlatformAnswer InMemoryTableService::fetch(const FetchRow &request)
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_rows.find(request.key);
    if (it == m_rows.end())
        return outcomeOnly(PlatformOutcome::NotFound);
    PlatformAnswer answer = outcomeOnly(PlatformOutcome::Ok);
    answer.rows.push_back(it->second);
    return answer;
}

PlatformAnswer InMemoryTableService::scan(const ScanRows &request)
{
    const absl::MutexLock lock(&m_mutex);
    PlatformAnswer answer = outcomeOnly(PlatformOutcome::Ok);
    const std::string &start = std::max(request.prefix, request.after);
    for (auto it = m_rows.lower_bound(start); it != m_rows.end(); ++it) {
        if (!absl::StartsWith(it->first, request.prefix) || answer.rows.size() >= request.limit)
            break;
        if (it->first != request.after)
            answer.rows.push_back(it->second);
    }
    return answer;
}

bool InMemoryTableService::conditionHolds(const ConditionalPut &put) const
{
    const auto it = m_rows.find(put.row.key);
    if (put.condition.kind == RowCondition::Kind::Absent)
        return it == m_rows.end();
    return it != m_rows.end() && it->second.revision == put.condition.revision;
}

PlatformAnswer InMemoryTableService::transact(const Transact &request)
{
    const absl::MutexLock lock(&m_mutex);
    for (const ConditionalPut &put : request.puts) {
        if (!conditionHolds(put))
            return outcomeOnly(PlatformOutcome::ConditionFailed);
    }
    for (const ConditionalPut &put : request.puts)
        m_rows[put.row.key] = put.row;
    return outcomeOnly(PlatformOutcome::Ok);
}

PlatformAnswer InMemoryObjectStore::put(const PutObject &request)
{
    const absl::MutexLock lock(&m_mutex);
    m_objects[request.name] = request.content;
    return outcomeOnly(PlatformOutcome::Ok);
}

PlatformAnswer InMemoryObjectStore::fetch(const FetchObject &request)
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_objects.find(request.name);
    if (it == m_objects.end())
        return outcomeOnly(PlatformOutcome::NotFound);
    PlatformAnswer answer = outcomeOnly(PlatformOutcome::Ok);
    answer.content = it->second;
    return answer;
}

PlatformAnswer InMemoryObjectStore::remove(const RemoveObject &request)
{
    const absl::MutexLock lock(&m_mutex);
    m_objects.erase(request.name);
    return outcomeOnly(PlatformOutcome::Ok);
}

} // namespace godwitlift
