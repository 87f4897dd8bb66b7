/// \file
/// Accounting of held bytes and the choice of the holders that yield.
#include "godwitlift/input/InputBudget.h"

#include <algorithm>

namespace godwitlift {

std::size_t InputBudget::limitOf(std::size_t memoryBytes, std::size_t largestMessageBytes)
{
    return std::max(static_cast<std::size_t>(static_cast<double>(memoryBytes) * MemoryShare),
                    largestMessageBytes + ReserveBytes);
}

std::size_t InputBudget::outputLimitOf(std::size_t memoryBytes, std::size_t inputBytes)
{
    const double memory = static_cast<double>(memoryBytes);
    const double room = memory * SharedShare - static_cast<double>(inputBytes);
    return std::max(static_cast<std::size_t>(std::clamp(room, 0.0, memory * OutputShare)),
                    OutputReserveBytes);
}

InputBudget::HolderId InputBudget::add()
{
    if (m_freeIds.empty()) {
        m_holders.emplace_back();
        return static_cast<HolderId>(m_holders.size() - 1);
    }
    const HolderId holder = m_freeIds.back();
    m_freeIds.pop_back();
    return holder;
}

void InputBudget::remove(HolderId holder)
{
    m_heldBytes -= m_holders[holder].bytes;
    m_holders[holder] = Holder();
    m_freeIds.push_back(holder);
}

void InputBudget::setHeld(HolderId holder, std::size_t bytes, YieldOrder order, absl::Time since)
{
    Holder &entry = m_holders[holder];
    m_heldBytes = m_heldBytes - entry.bytes + bytes;
    entry = { bytes, since, order };
}

std::vector<InputBudget::HolderId> InputBudget::chooseYielding(absl::Time now) const
{
    if (!isExceeded())
        return {};
    struct Candidate
    {
        HolderId holder;
        YieldOrder order;
        double weight;
    };
    std::vector<Candidate> candidates;
    for (HolderId id = 0; id < m_holders.size(); ++id) {
        const Holder &holder = m_holders[id];
        if (holder.bytes == 0 || holder.order == YieldOrder::Never)
            continue;
        const auto bytes = static_cast<double>(std::max(holder.bytes, MinWeightBytes));
        candidates.push_back(
                { id, holder.order, bytes * absl::ToDoubleSeconds(now - holder.since) });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return a.order != b.order ? a.order < b.order : a.weight > b.weight;
    });
    const auto target =
            static_cast<std::size_t>(static_cast<double>(m_limitBytes) * (1 - FreedShare));
    std::size_t left = m_heldBytes;
    std::vector<HolderId> yielding;
    for (const Candidate &candidate : candidates) {
        // Only what exceeds the limit itself is worth the loss of an answer.
        if (left <= (candidate.order == YieldOrder::Waiting ? m_limitBytes : target))
            break;
        left -= m_holders[candidate.holder].bytes;
        yielding.push_back(candidate.holder);
    }
    return yielding;
}

} // namespace godwitlift
