/// \file
/// Client accounts of a configuration: keys, urgency and quota.
#pragma once

#include "godwitlift/access/KeyDigest.h"
#include "godwitlift/base/StrongId.h"

#include <optional>
#include <vector>

namespace godwitlift {

/// Requests that an account may make, summed over all hosts.
struct AccountQuota
{
    double requestsPerSecond = 0; ///< 0: no limit.
    double burst = 0;             ///< Requests beyond the rate that may be made at once.

    bool isLimited() const { return requestsPerSecond > 0; }

    friend bool operator==(const AccountQuota &, const AccountQuota &) = default;
};

/// A client account and what it may do.
struct ClientAccount
{
    ClientAccountId id;          ///< Never empty.
    std::vector<KeyDigest> keys; ///< Sorted, without duplicates; may be empty.
    std::optional<int> urgency;  ///< Takes precedence over the route's; 0 is the most urgent.
    AccountQuota quota;

    friend bool operator==(const ClientAccount &, const ClientAccount &) = default;
};

} // namespace godwitlift
