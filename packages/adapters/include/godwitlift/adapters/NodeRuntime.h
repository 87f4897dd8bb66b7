/// \file
/// One node: the decisions joined with every adapter.
#pragma once

#include "godwitlift/adapters/NodeSettings.h"

#include <memory>

namespace godwitlift {

/// Runs a node until it is destroyed.
///
/// Lock order: serving lock, then control lock. Effects are carried out without either. Adapter
/// locks are leaves.
class NodeRuntime
{
public:
    virtual ~NodeRuntime() = default;
    static Result<std::unique_ptr<NodeRuntime>> start(NodeSettings settings);
    /// Refuses new work, ends what is in progress, tells peers, and returns. Blocks up to the
    /// settings' bound; true if everything in progress ended.
    virtual bool shutdownGracefully() = 0;
};

} // namespace godwitlift
