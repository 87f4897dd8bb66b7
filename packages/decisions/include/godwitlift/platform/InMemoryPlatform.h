/// \file
/// In-memory platform: the default for a node without a configured platform, and the basis of test
/// doubles.
#pragma once

#include "godwitlift/platform/Platform.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>

namespace godwitlift {

/// In-memory table service. Thread-safe; makes no calls to other components while holding its lock.
class InMemoryTableService final : public TableService
{
public:
    PlatformAnswer fetch(const FetchRow &request) override;
    PlatformAnswer scan(const ScanRows &request) override;
    PlatformAnswer transact(const Transact &request) override;

private:
    bool conditionHolds(const ConditionalPut &put) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    absl::Mutex m_mutex;
    std::map<std::string, TableRow> m_rows ABSL_GUARDED_BY(m_mutex);
};

/// In-memory object store. Thread-safe; makes no calls to other components while holding its lock.
class InMemoryObjectStore final : public ObjectStore
{
public:
    PlatformAnswer put(const PutObject &request) override;
    PlatformAnswer fetch(const FetchObject &request) override;
    PlatformAnswer remove(const RemoveObject &request) override;

private:
    absl::Mutex m_mutex;
    std::map<std::string, std::string> m_objects ABSL_GUARDED_BY(m_mutex);
};

} // namespace godwitlift
