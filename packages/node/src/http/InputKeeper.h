/// \file
/// Applies the node's budgets of held bytes to its connections.
#pragma once

#include "http/Network.h"

#include "godwitlift/input/InputBudget.h"

#include <array>
#include <functional>
#include <limits>
#include <vector>

namespace godwitlift {

/// A connection whose bytes are accounted.
class InputHolder
{
public:
    virtual ~InputHolder() = default;
    /// Gives up the bytes of the account, and with them what depends on them.
    virtual void yieldHeld() = 0;
};

/// Which budget an account belongs to.
enum class HeldKind : std::uint8_t {
    Input, ///< Messages that are received or passed on.
    Output ///< Answers that have not been sent, and the heads of their requests.
};

/// The bytes of messages and of unsent output of all connections of a node, each with a budget. One
/// per node; it outlives the connections.
class InputKeeper final
{
public:
    /// Called for each holder that has to yield.
    using YieldCallback = std::function<void(YieldOrder order)>;

    InputKeeper(asio::io_context &loop, std::size_t limitBytes, YieldCallback onYield);

    /// Of input.
    InputBudget &budget() { return ledger(HeldKind::Input).budget; }
    const InputBudget &budget() const { return m_ledgers[0].budget; }
    const InputBudget &outputBudget() const { return m_ledgers[1].budget; }
    /// Limits unsent output by the host's memory. Until it is set, there is no such limit.
    void setMemory(std::size_t bytes) { m_memoryBytes = bytes; }

    /// The account of one connection. The holder must outlive it.
    class Account final
    {
    public:
        Account(InputKeeper &keeper, InputHolder &holder, HeldKind kind = HeldKind::Input);
        ~Account();
        Account(const Account &) = delete;
        Account &operator=(const Account &) = delete;
        /// Holders yield from a later iteration of the event loop or in enforce().
        void setHeld(std::size_t bytes, YieldOrder order, absl::Time since);

    private:
        InputKeeper &m_keeper;
        HeldKind m_kind;
        InputBudget::HolderId m_id;
        std::size_t m_bytes = 0;
        YieldOrder m_order = YieldOrder::Never;
        absl::Time m_since;
    };

    /// Makes holders yield if a limit is exceeded. Connections may be closed before this returns.
    void enforce();

private:
    struct Ledger
    {
        explicit Ledger(std::size_t limitBytes)
            : budget(limitBytes)
        {}

        InputBudget budget;
        std::vector<InputHolder *> holders; ///< By HolderId; null where not in use.
    };

    Ledger &ledger(HeldKind kind) { return m_ledgers[static_cast<std::size_t>(kind)]; }
    void updateOutputLimit();
    void enforce(Ledger &ledger);
    void scheduleEnforcement();

    asio::io_context &m_loop;
    std::array<Ledger, 2> m_ledgers; ///< By HeldKind.
    std::size_t m_memoryBytes = std::numeric_limits<std::size_t>::max();
    YieldCallback m_onYield;
    bool m_isEnforcing = false;
    bool m_isEnforcementScheduled = false;
};

} // namespace godwitlift
