/// \file
/// Agreement of the fleet on who tries a request under which backend servers have ended.
#pragma once

#include "godwitlift/base/StrongId.h"

#include <functional>

namespace godwitlift {

/// Grants the trial of a request whose quarantine has ended to one node of the fleet at a time.
class TrialClaims
{
public:
    virtual ~TrialClaims() = default;
    /// Calls \p onDecided, later, with whether this node has the trial. It has not if the store
    /// cannot be reached.
    virtual void claimTrial(ContentDigest content, std::function<void(bool)> onDecided) = 0;
};

} // namespace godwitlift
