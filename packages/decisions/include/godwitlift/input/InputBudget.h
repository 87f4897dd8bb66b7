/// \file
/// Decides which connections give way when a node holds too many bytes of unfinished messages.
#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace godwitlift {

/// When the holder of bytes has to give way, relative to the other holders.
enum class YieldOrder : std::uint8_t {
    Unfinished, ///< Receives a message of which nothing has been passed on.
    Waiting,    ///< Holds output, or a message whose loss costs more than a refusal.
    Never       ///< What it holds is bounded by other rules or must be kept.
};

/// Accounts the bytes that the connections of one node hold. Not thread-safe.
///
/// If the sum exceeds the limit, holders yield until it is below: first those that receive an
/// unfinished message, and among them the one whose bytes, times the time since it began, are the
/// most. A message that makes progress and a small one therefore outlast large ones that stand
/// still, however many of those there are.
class InputBudget final
{
public:
    using HolderId = std::uint32_t;

    /// Share of the limit that is freed once it is exceeded, so that the cost of choosing who
    /// yields stays in proportion to the bytes received.
    static constexpr double FreedShare = 0.125;
    /// Share of the memory that may be held. The rest is for the process itself, and for the copies
    /// of messages that are passed on.
    static constexpr double MemoryShare = 0.3;
    /// Room beside one message of the largest size, for the ordinary requests of the other clients.
    static constexpr std::size_t ReserveBytes = std::size_t(8) * 1024 * 1024;
    /// Largest body that one host passes on to another, in one frame with its head.
    static constexpr std::size_t LargestForwardedBodyBytes = std::size_t(64) * 1024 * 1024;
    /// A message with fewer bytes weighs as if it had this many, so that many small ones that stand
    /// still yield in the order in which they began.
    static constexpr std::size_t MinWeightBytes = 4096;

    /// Share of the memory that unsent output may occupy, and the share that it and all input may
    /// occupy together.
    static constexpr double OutputShare = 0.2;
    static constexpr double SharedShare = 0.75;
    /// Room for unsent output also while large bodies are held.
    static constexpr std::size_t OutputReserveBytes = std::size_t(8) * 1024 * 1024;

    /// Limit of unsent output for a host with \p memoryBytes that holds \p inputBytes of input.
    static std::size_t outputLimitOf(std::size_t memoryBytes, std::size_t inputBytes);
    /// Limit for a host with \p memoryBytes, which always holds one message of the largest size.
    static std::size_t limitOf(std::size_t memoryBytes, std::size_t largestMessageBytes);

    explicit InputBudget(std::size_t limitBytes)
        : m_limitBytes(limitBytes)
    {}

    void setLimit(std::size_t limitBytes) { m_limitBytes = limitBytes; }
    std::size_t limitBytes() const { return m_limitBytes; }
    HolderId add();
    void remove(HolderId holder);
    /// \p since is the time at which the oldest message that is held began.
    void setHeld(HolderId holder, std::size_t bytes, YieldOrder order, absl::Time since);
    YieldOrder order(HolderId holder) const { return m_holders[holder].order; }
    std::size_t heldBytes() const { return m_heldBytes; }
    bool isExceeded() const { return m_heldBytes > m_limitBytes; }
    /// True if \p bytes more can be held.
    bool hasRoomFor(std::size_t bytes) const { return m_heldBytes + bytes <= m_limitBytes; }
    /// The holders that have to yield, in this order; none unless the limit is exceeded.
    std::vector<HolderId> chooseYielding(absl::Time now) const;

private:
    struct Holder
    {
        std::size_t bytes = 0;
        absl::Time since;
        YieldOrder order = YieldOrder::Never;
    };

    std::size_t m_limitBytes;
    std::size_t m_heldBytes = 0; ///< Sum over m_holders.
    std::vector<Holder> m_holders;
    std::vector<HolderId> m_freeIds; ///< Positions in m_holders that are not in use.
};

} // namespace godwitlift
