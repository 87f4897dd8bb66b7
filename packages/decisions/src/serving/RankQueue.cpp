/// \file
/// Round robin among callers.
#include "godwitlift/serving/RankQueue.h"

#include <algorithm>

namespace godwitlift {

RankQueue::Push RankQueue::push(WaitingCall call, std::size_t limit)
{
    Push result;
    if (limit == 0)
        return result;
    if (m_size >= limit) {
        const auto longest = std::max_element(
                m_byCaller.begin(), m_byCaller.end(),
                [](const auto &a, const auto &b) { return a.second.size() < b.second.size(); });
        const auto own = m_byCaller.find(call.caller);
        const std::size_t ownSize = own == m_byCaller.end() ? 0 : own->second.size();
        if (longest->second.size() <= ownSize + 1) {
            result.isOverShare = m_byCaller.size() > 1;
            return result;
        }
        result.displaced = longest->second.back();
        longest->second.pop_back();
        --m_size;
    }
    std::deque<WaitingCall> &queue = m_byCaller[call.caller];
    if (queue.empty())
        m_turns.push_back(call.caller);
    queue.push_back(std::move(call));
    ++m_size;
    result.queued = true;
    return result;
}

std::optional<WaitingCall> RankQueue::pop()
{
    if (m_turns.empty())
        return std::nullopt;
    const CallerId caller = m_turns.front();
    std::deque<WaitingCall> &queue = m_byCaller[caller];
    WaitingCall call = std::move(queue.front());
    queue.pop_front();
    --m_size;
    m_turns.splice(m_turns.end(), m_turns, m_turns.begin());
    forgetIfEmpty(caller);
    return call;
}

void RankQueue::forgetIfEmpty(const CallerId &caller)
{
    const auto it = m_byCaller.find(caller);
    if (it == m_byCaller.end() || !it->second.empty())
        return;
    m_byCaller.erase(it);
    m_turns.remove(caller);
}

bool RankQueue::remove(AttemptId attempt)
{
    return !removeIf([&](const WaitingCall &call) { return call.attempt == attempt; }).empty();
}

std::vector<WaitingCall>
RankQueue::removeIf(const std::function<bool(const WaitingCall &)> &isHopeless)
{
    std::vector<WaitingCall> removed;
    std::vector<CallerId> touched;
    for (auto &[caller, queue] : m_byCaller) {
        const std::size_t before = removed.size();
        std::erase_if(queue, [&](const WaitingCall &call) {
            if (!isHopeless(call))
                return false;
            removed.push_back(call);
            return true;
        });
        if (removed.size() > before)
            touched.push_back(caller);
    }
    m_size -= removed.size();
    for (const CallerId &caller : touched)
        forgetIfEmpty(caller);
    return removed;
}

} // namespace godwitlift
