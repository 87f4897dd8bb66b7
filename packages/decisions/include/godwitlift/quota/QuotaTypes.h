/// \file
/// Values that hosts exchange to keep the quota of a client account over all hosts.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace godwitlift {

/// By how much an account's requests, summed over all hosts, may exceed its quota in any window.
struct QuotaBounds
{
    absl::Duration window = absl::Seconds(5);
    double excessShare = 0; ///< Of what the quota allows in the window.
    double excessSlack = 0; ///< Requests.

    friend bool operator==(const QuotaBounds &, const QuotaBounds &) = default;
};

/// What a host asks of the owner of an account. Amounts are in requests.
struct QuotaAsk
{
    std::uint64_t number = 0;    ///< Of the sender's asks; increases.
    double waiting = 0;          ///< Requests that wait for the answer.
    double ahead = 0;            ///< Further credit, for requests that are expected soon.
    double unspent = 0;          ///< Credit of earlier grants that the host still holds.
    double returned = 0;         ///< Credit of earlier grants that the host gives up.
    std::uint64_t ownerTerm = 0; ///< Of the grant that unspent and returned come from; 0: none.
    bool isForStandIn = false;   ///< The owner does not answer.
};

/// Answer of the owner of an account.
struct QuotaGrant
{
    std::uint64_t number = 0; ///< Of the ask that this answers.
    bool isOwner = false;     ///< False: the sender knows a host that has precedence.
    double amount = 0;
    absl::Duration retryAfter;   ///< Time until credit can be expected; 0 if all is granted.
    std::uint64_t ownerTerm = 0; ///< Random number of the owner's ledger, never 0.
};

} // namespace godwitlift
