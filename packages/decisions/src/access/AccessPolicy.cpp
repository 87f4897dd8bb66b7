/// \file
/// Order of the checks of an admission.
#include "godwitlift/access/AccessPolicy.h"

namespace godwitlift {

AccessDecision decideAccess(const RouteCatalogue &catalogue, const TrafficRoute &route,
                            const std::vector<std::string_view> &keys, bool isKnowledgeCurrent)
{
    if (route.isPublic || !catalogue.requiresKeys())
        return {};
    if (keys.size() != 1 || keys.front().empty())
        return { Reason::UnknownKey, nullptr };
    // Before the look-up: an outdated node does not know either whether a key has been added.
    if (!isKnowledgeCurrent)
        return { Reason::AccessOutdated, nullptr };
    const ClientAccount *account = catalogue.accountOfKey(KeyDigest::ofKey(keys.front()));
    if (account == nullptr)
        return { Reason::UnknownKey, nullptr };
    return { Reason::None, account };
}

} // namespace godwitlift
