/// \file
/// Client for the platform's store, shared by all parts of a node.
#pragma once

#include "gate/BackendConnection.h"

#include "godwitlift/node/PlatformProtocol.h"

#include <algorithm>
#include <functional>
#include <list>
#include <memory>

namespace godwitlift {

/// Time over which nodes spread their calls after the store has returned from a copy, so that not
/// all of them write their rows again at once.
inline constexpr absl::Duration StoreResetSpread = absl::Seconds(1);

/// Makes calls on persistent connections. A call that times out ends as StoreOutcome::Unknown and
/// its connection is closed. Does not retry; that is the caller's decision.
class StoreClient final
{
public:
    using Callback = std::function<void(const StoreAnswer &)>;
    using Observer = std::function<void(const StoreRequest &, const StoreAnswer &)>;

    StoreClient(asio::io_context &loop, asio::ip::tcp::endpoint store,
                const PlatformProtocol &protocol, Observer observer);
    ~StoreClient();

    void call(StoreRequest request, Callback callback);
    /// The store is in \p era. Answers of an earlier one, which may still be on their way, end as
    /// StoreOutcome::Unknown: the store may have lost what they tell.
    void setEra(StoreEra era) { m_era = std::max(m_era, era); }

private:
    class Call;
    friend class Call;

    std::shared_ptr<BackendConnection> acquireConnection(bool isNew);

    asio::io_context &m_loop;
    asio::ip::tcp::endpoint m_store;
    const PlatformProtocol &m_protocol;
    Observer m_observer;
    std::list<std::shared_ptr<Call>> m_calls;
    StoreEra m_era = 0;                                  ///< The latest one known.
    std::shared_ptr<BackendConnection> m_idleConnection; ///< Reused by the next call; null if none.
};

} // namespace godwitlift
