/// \file
/// A whole mesh node.
#pragma once

#include "godwitlift/node/MeshSettings.h"
#include "godwitlift/node/PlatformProtocol.h"

#include <memory>
#include <string>

namespace godwitlift {

/// Runs a node on the calling thread until it is told to stop.
///
/// SIGTERM and SIGINT stop it after the requests in progress; SIGHUP and a changed settings file
/// take over the settings that may change while it runs.
class MeshNode
{
public:
    virtual ~MeshNode() = default;

    /// Binds all addresses; fails with the address that cannot be bound. \p protocol must outlive
    /// the node. \p settingsFile is read again on a reload; empty for none.
    static Result<std::unique_ptr<MeshNode>>
    create(MeshSettings settings, const PlatformProtocol &protocol, std::string settingsFile);
    /// Returns true if no request was left unanswered.
    virtual bool run() = 0;
};

} // namespace godwitlift
