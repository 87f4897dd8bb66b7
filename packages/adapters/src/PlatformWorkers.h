/// \file
/// Thread pool that executes platform requests.
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

/// Executes blocking platform requests and passes each answer to its callback. Thread-safe; its
/// lock is a leaf lock.
class PlatformWorkers final
{
public:
    using Callback = std::function<void(const PlatformAnswer &)>;

    PlatformWorkers(std::unique_ptr<TableService> tableService,
                    std::unique_ptr<ObjectStore> objectStore);
    PlatformWorkers(const PlatformWorkers &) = delete;
    PlatformWorkers &operator=(const PlatformWorkers &) = delete;
    ~PlatformWorkers();

    /// Calls \p onAnswer on a worker thread, on the calling thread if the queue is full, or not at
    /// all after stop().
    void submit(PlatformRequest request, Callback onAnswer);
    /// Joins the worker threads. Drops queued requests.
    void stop();

private:
    struct Job
    {
        PlatformRequest request;
        Callback onAnswer;
    };

    void runWorker();

    std::unique_ptr<TableService> m_tableService;
    std::unique_ptr<ObjectStore> m_objectStore;
    absl::Mutex m_mutex;
    std::deque<Job> m_queue ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_workers;
};

} // namespace godwitlift
