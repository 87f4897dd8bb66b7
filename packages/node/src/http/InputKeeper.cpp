/// \file
/// Accounts of connections and the enforcement of the budgets.
#include "http/InputKeeper.h"

#include <boost/asio/post.hpp>

namespace godwitlift {

InputKeeper::InputKeeper(asio::io_context &loop, std::size_t limitBytes, YieldCallback onYield)
    : m_loop(loop)
    , m_ledgers{ Ledger(limitBytes), Ledger(std::numeric_limits<std::size_t>::max()) }
    , m_onYield(std::move(onYield))
{}

InputKeeper::Account::Account(InputKeeper &keeper, InputHolder &holder, HeldKind kind)
    : m_keeper(keeper)
    , m_kind(kind)
    , m_id(keeper.ledger(kind).budget.add())
{
    auto &holders = m_keeper.ledger(kind).holders;
    if (holders.size() <= m_id)
        holders.resize(m_id + 1);
    holders[m_id] = &holder;
}

InputKeeper::Account::~Account()
{
    m_keeper.ledger(m_kind).holders[m_id] = nullptr;
    m_keeper.ledger(m_kind).budget.remove(m_id);
}

void InputKeeper::Account::setHeld(std::size_t bytes, YieldOrder order, absl::Time since)
{
    if (bytes == m_bytes && order == m_order && since == m_since)
        return;
    const bool hasGrown = bytes > m_bytes;
    m_bytes = bytes;
    m_order = order;
    m_since = since;
    InputBudget &budget = m_keeper.ledger(m_kind).budget;
    budget.setHeld(m_id, bytes, order, since);
    if (!hasGrown)
        return;
    m_keeper.updateOutputLimit();
    if (budget.isExceeded())
        m_keeper.scheduleEnforcement();
}

void InputKeeper::updateOutputLimit()
{
    ledger(HeldKind::Output)
            .budget.setLimit(InputBudget::outputLimitOf(m_memoryBytes, budget().heldBytes()));
}

void InputKeeper::scheduleEnforcement()
{
    if (m_isEnforcementScheduled || m_isEnforcing)
        return;
    m_isEnforcementScheduled = true;
    asio::post(m_loop, [this] {
        m_isEnforcementScheduled = false;
        enforce();
    });
}

void InputKeeper::enforce()
{
    if (m_isEnforcing)
        return;
    m_isEnforcing = true;
    enforce(ledger(HeldKind::Input));
    updateOutputLimit();
    enforce(ledger(HeldKind::Output));
    m_isEnforcing = false;
}

void InputKeeper::enforce(Ledger &ledger)
{
    for (const InputBudget::HolderId id : ledger.budget.chooseYielding(steadyNow())) {
        // An earlier holder's end may have ended this one.
        if (ledger.holders[id] == nullptr)
            continue;
        m_onYield(ledger.budget.order(id));
        ledger.holders[id]->yieldHeld();
    }
}

} // namespace godwitlift
