/// \file
/// The node's one client for the platform's store.
#pragma once

#include "gate/BackendConnection.h"

#include "godwitlift/node/PlatformProtocol.h"

#include <functional>
#include <list>
#include <memory>

namespace godwitlift {

/// Carries calls, each on a kept connection. A call without an answer in time ends as Unknown and
/// its connection is given up. Makes no second try: whether to call again is for its users.
class StoreClient final
{
public:
    using Done = std::function<void(const StoreAnswer &)>;
    using Observer = std::function<void(const StoreRequest &, const StoreAnswer &)>;

    StoreClient(asio::io_context &loop, asio::ip::tcp::endpoint store,
                const PlatformProtocol &protocol, Observer observer);
    ~StoreClient();

    void call(StoreRequest request, Done done);

private:
    class Call;
    friend class Call;

    std::shared_ptr<BackendConnection> connection();

    asio::io_context &m_loop;
    asio::ip::tcp::endpoint m_store;
    const PlatformProtocol &m_protocol;
    Observer m_observer;
    std::list<std::shared_ptr<Call>> m_calls;
    std::shared_ptr<BackendConnection> m_idle; ///< Kept for the next call; null if none.
};

} // namespace godwitlift
