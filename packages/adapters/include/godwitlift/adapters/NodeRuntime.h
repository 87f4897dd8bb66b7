/// \file
/// A running stand-alone node: the decision library with its adapters.
#pragma once

#include "godwitlift/adapters/NodeSettings.h"

#include <memory>

namespace godwitlift {

/// A node that runs until it is destroyed.
///
/// Lock order: serving lock, then control lock. Effects are executed with neither held. The locks
/// of the adapters are leaf locks.
class NodeRuntime
{
public:
    virtual ~NodeRuntime() = default;
    static Result<std::unique_ptr<NodeRuntime>> start(NodeSettings settings);
    /// Refuses new requests, announces the departure to peers and waits for requests in progress,
    /// at most for NodeSettings::shutdownTimeout. Returns whether all of them ended.
    virtual bool shutdownGracefully() = 0;
};

} // namespace godwitlift
