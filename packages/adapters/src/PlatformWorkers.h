/// \file
/// Threads that carry out platform requests.
#pragma once

#include "godwitlift/platform/Platform.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace godwitlift {

/// Runs blocking platform requests and hands each answer to its callback. Thread-safe; its lock is
/// a leaf.
class PlatformWorkers final
{
public:
    using Callback = std::function<void(const PlatformAnswer &)>;

    PlatformWorkers(std::unique_ptr<TableService> table, std::unique_ptr<ObjectStore> objects);
    PlatformWorkers(const PlatformWorkers &) = delete;
    PlatformWorkers &operator=(const PlatformWorkers &) = delete;
    ~PlatformWorkers();

    /// \p answered is called on a worker thread, or not at all once stop() was called.
    void ask(PlatformRequest request, Callback answered);
    /// Ends the threads; requests that have not started are dropped.
    void stop();

private:
    struct Job
    {
        PlatformRequest request;
        Callback answered;
    };

    void work();

    std::unique_ptr<TableService> m_table;
    std::unique_ptr<ObjectStore> m_objects;
    absl::Mutex m_mutex;
    std::deque<Job> m_jobs ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_threads;
};

} // namespace godwitlift
