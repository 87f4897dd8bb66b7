/// \file
/// Threads that carry out platform requests.
#include "PlatformWorkers.h"

namespace godwitlift {

namespace {

constexpr int ThreadCount = 3;
/// Requests that may wait; more are answered as unavailable at once.
constexpr std::size_t WaitingLimit = 256;

} // namespace

PlatformWorkers::PlatformWorkers(std::unique_ptr<TableService> table,
                                 std::unique_ptr<ObjectStore> objects)
    : m_table(std::move(table))
    , m_objects(std::move(objects))
{
    for (int i = 0; i < ThreadCount; ++i)
        m_threads.emplace_back([this] { work(); });
}

PlatformWorkers::~PlatformWorkers()
{
    stop();
}

void PlatformWorkers::ask(PlatformRequest request, Callback answered)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_stopping)
            return;
        if (m_jobs.size() < WaitingLimit) {
            m_jobs.push_back({ std::move(request), std::move(answered) });
            return;
        }
    }
    PlatformAnswer answer;
    answer.id = request.id;
    answer.outcome = PlatformOutcome::Unavailable;
    answered(answer);
}

void PlatformWorkers::stop()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        m_jobs.clear();
    }
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
}

void PlatformWorkers::work()
{
    while (true) {
        Job job;
        {
            const absl::MutexLock lock(&m_mutex);
            const auto ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
                return m_stopping || !m_jobs.empty();
            };
            m_mutex.Await(absl::Condition(&ready));
            if (m_stopping)
                return;
            job = std::move(m_jobs.front());
            m_jobs.pop_front();
        }
        job.answered(execute(job.request, *m_table, *m_objects));
    }
}

} // namespace godwitlift
