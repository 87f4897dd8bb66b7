/// \file
/// Round robin among callers, and displacement from a full queue.
#include "godwitlift/serving/FairQueue.h"

#include <algorithm>

namespace godwitlift {

FairQueue::PushResult FairQueue::push(QueuedRequest request, std::size_t limit)
{
    PushResult result;
    if (limit == 0)
        return result;
    if (m_size >= limit) {
        const auto longest = std::max_element(
                m_byCaller.begin(), m_byCaller.end(),
                [](const auto &a, const auto &b) { return a.second.size() < b.second.size(); });
        const auto own = m_byCaller.find(request.caller);
        const std::size_t ownSize = own == m_byCaller.end() ? 0 : own->second.size();
        if (longest->second.size() <= ownSize + 1) {
            result.isOverFairShare = m_byCaller.size() > 1;
            return result;
        }
        result.displaced = longest->second.back();
        longest->second.pop_back();
        --m_size;
    }
    std::deque<QueuedRequest> &queue = m_byCaller[request.caller];
    if (queue.empty())
        m_callerOrder.push_back(request.caller);
    queue.push_back(std::move(request));
    ++m_size;
    result.isQueued = true;
    return result;
}

std::optional<QueuedRequest> FairQueue::pop()
{
    if (m_callerOrder.empty())
        return std::nullopt;
    const CallerId caller = m_callerOrder.front();
    std::deque<QueuedRequest> &queue = m_byCaller[caller];
    QueuedRequest request = std::move(queue.front());
    queue.pop_front();
    --m_size;
    m_callerOrder.splice(m_callerOrder.end(), m_callerOrder, m_callerOrder.begin());
    removeIfEmpty(caller);
    return request;
}

std::size_t FairQueue::requestsAhead(const CallerId &caller) const
{
    const auto own = m_byCaller.find(caller);
    const std::size_t turns = own == m_byCaller.end() ? 1 : own->second.size() + 1;
    std::size_t ahead = turns - 1;
    for (const auto &[other, queue] : m_byCaller) {
        if (other != caller)
            ahead += std::min(queue.size(), turns);
    }
    return ahead;
}

std::size_t FairQueue::sizeWithinShares() const
{
    if (m_size <= m_byCaller.size())
        return m_size;
    const std::size_t largestShare = (m_size - 1) / m_byCaller.size() + 2;
    std::size_t size = 0;
    for (const auto &[caller, queue] : m_byCaller) {
        // Requests without an account come from many clients.
        const bool isAccount = !caller.value().empty();
        size += isAccount ? std::min(queue.size(), largestShare) : queue.size();
    }
    return size;
}

void FairQueue::removeIfEmpty(const CallerId &caller)
{
    const auto it = m_byCaller.find(caller);
    if (it == m_byCaller.end() || !it->second.empty())
        return;
    m_byCaller.erase(it);
    m_callerOrder.remove(caller);
}

bool FairQueue::remove(AttemptId attempt)
{
    return !removeIf([&](const QueuedRequest &request) {
                return request.attempt == attempt;
            }).empty();
}

std::vector<QueuedRequest>
FairQueue::removeIf(const std::function<bool(const QueuedRequest &)> &predicate)
{
    std::vector<QueuedRequest> removed;
    std::vector<CallerId> affectedCallers;
    for (auto &[caller, queue] : m_byCaller) {
        const std::size_t before = removed.size();
        std::erase_if(queue, [&](const QueuedRequest &request) {
            if (!predicate(request))
                return false;
            removed.push_back(request);
            return true;
        });
        if (removed.size() > before)
            affectedCallers.push_back(caller);
    }
    m_size -= removed.size();
    for (const CallerId &caller : affectedCallers)
        removeIfEmpty(caller);
    return removed;
}

} // namespace godwitlift
