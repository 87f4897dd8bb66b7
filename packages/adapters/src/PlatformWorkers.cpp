/// \file
/// Thread pool that executes platform requests.
#include "PlatformWorkers.h"

namespace godwitlift {

namespace {

constexpr int WorkerCount = 3;
/// Limit of the queue; requests beyond it are answered with PlatformOutcome::Unavailable at once.
constexpr std::size_t MaxQueuedRequests = 256;

} // namespace

PlatformWorkers::PlatformWorkers(std::unique_ptr<TableService> tableService,
                                 std::unique_ptr<ObjectStore> objectStore)
    : m_tableService(std::move(tableService))
    , m_objectStore(std::move(objectStore))
{
    for (int i = 0; i < WorkerCount; ++i)
        m_workers.emplace_back([this] { runWorker(); });
}

PlatformWorkers::~PlatformWorkers()
{
    stop();
}

void PlatformWorkers::submit(PlatformRequest request, Callback onAnswer)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_stopping)
            return;
        if (m_queue.size() < MaxQueuedRequests) {
            m_queue.push_back({ std::move(request), std::move(onAnswer) });
            return;
        }
    }
    PlatformAnswer answer;
    answer.id = request.id;
    answer.outcome = PlatformOutcome::Unavailable;
    onAnswer(answer);
}

void PlatformWorkers::stop()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        m_queue.clear();
    }
    for (std::thread &thread : m_workers)
        thread.join();
    m_workers.clear();
}

void PlatformWorkers::runWorker()
{
    while (true) {
        Job job;
        {
            const absl::MutexLock lock(&m_mutex);
            const auto isStoppingOrHasRequest = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                return m_stopping || !m_queue.empty();
            };
            m_mutex.Await(absl::Condition(&isStoppingOrHasRequest));
            if (m_stopping)
                return;
            job = std::move(m_queue.front());
            m_queue.pop_front();
        }
        job.onAnswer(execute(job.request, *m_tableService, *m_objectStore));
    }
}

} // namespace godwitlift
