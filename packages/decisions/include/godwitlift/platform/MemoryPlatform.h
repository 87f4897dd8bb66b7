/// \file
/// The platform kept in memory: the embedded default of a single node and the base of stand-ins.
#pragma once

#include "godwitlift/platform/Platform.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <map>

namespace godwitlift {

/// Table service in memory. Thread-safe; its lock is a leaf: nothing is called while it is held.
class MemoryTableService final : public TableService
{
public:
    PlatformAnswer fetch(const FetchRow &request) override;
    PlatformAnswer scan(const ScanRows &request) override;
    PlatformAnswer transact(const Transact &request) override;

private:
    bool holds(const ConditionalPut &put) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    absl::Mutex m_mutex;
    std::map<std::string, TableRow> m_rows ABSL_GUARDED_BY(m_mutex);
};

/// Object store in memory. Thread-safe; its lock is a leaf.
class MemoryObjectStore final : public ObjectStore
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
