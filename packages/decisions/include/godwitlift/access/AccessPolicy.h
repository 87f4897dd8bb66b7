/// \file
/// Decides whether a request may enter the mesh, and on behalf of which client account.
#pragma once

#include "godwitlift/base/Verdict.h"
#include "godwitlift/traffic/RouteCatalogue.h"

#include <string_view>
#include <vector>

namespace godwitlift {

/// Outcome of the admission of a request.
struct AccessDecision
{
    Reason refusal = Reason::None; ///< None: admitted.
    /// Of the catalogue; null for refused requests and for those that need no key.
    const ClientAccount *account = nullptr;

    friend bool operator==(const AccessDecision &, const AccessDecision &) = default;
};

/// Decides on a request for \p route. \p keys are the values of all header fields that hold a key:
/// only a request with exactly one has a key, since it is not defined which one a sender means.
/// \p isKnowledgeCurrent tells whether the node can prove that \p catalogue holds no key that was
/// removed too long ago.
///
/// Requests without a key are admitted only by public routes and by versions without accounts. On
/// these a key has no meaning, so that no account results from it.
AccessDecision decideAccess(const RouteCatalogue &catalogue, const TrafficRoute &route,
                            const std::vector<std::string_view> &keys, bool isKnowledgeCurrent);

} // namespace godwitlift
