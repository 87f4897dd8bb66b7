/// \file
/// A mesh node, ready to run in a process.
#pragma once

#include "godwitlift/node/MeshSettings.h"
#include "godwitlift/node/PlatformProtocol.h"

#include <memory>
#include <string>

namespace godwitlift {

/// Runs a node on the calling thread until it is told to stop.
///
/// SIGTERM and SIGINT start a graceful shutdown, which completes the requests in progress. SIGHUP
/// or a change of the settings file reloads those settings that may change at run time.
class MeshNode
{
public:
    virtual ~MeshNode() = default;

    /// Binds all addresses; fails with the address that cannot be bound. \p protocol must outlive
    /// the node. \p settingsFile is the file to reload; empty for none.
    static Result<std::unique_ptr<MeshNode>>
    create(MeshSettings settings, const PlatformProtocol &protocol, std::string settingsFile);
    /// Returns after the shutdown; true if every request was answered.
    virtual bool run() = 0;
};

} // namespace godwitlift
