/// \file
/// A running stand-alone node: the control plane and the serving logic with their network
/// adapters.
#pragma once

#include "godwitlift/adapters/NodeSettings.h"

#include <memory>

namespace godwitlift {

/// A node that runs until it is destroyed.
///
/// Lock order: serving lock, then control lock, then the locks of the adapters, which are leaves
/// unless the class states an order. Effects are executed with neither the serving nor the control
/// lock held.
class NodeRuntime
{
public:
    virtual ~NodeRuntime() = default;
    static Result<std::unique_ptr<NodeRuntime>> start(NodeSettings settings);
    /// Refuses new and queued requests, announces the departure to peers and waits for requests in
    /// progress, at most for NodeSettings::shutdownTimeout. Returns whether all of them ended.
    virtual bool shutdownGracefully() = 0;
};

} // namespace godwitlift
