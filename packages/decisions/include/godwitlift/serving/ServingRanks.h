/// \file
/// The ranks of requests at the gate of a backend server.
#pragma once

#include "godwitlift/configuration/Configuration.h"

#include <map>

namespace godwitlift {

/// Urgency of calls that backend servers make, above all requests of clients. A call that is
/// refused fails a request that holds a slot elsewhere and has run in part.
inline constexpr int ServerCallUrgency = -1;

/// The rank of calls and one for each urgency of requests of clients.
std::map<RankId, Rank> servingRanks();
/// \p urgency is that of the request; urgencies below the lowest rank share that rank.
RankId servingRank(int urgency, bool isCall);

} // namespace godwitlift
