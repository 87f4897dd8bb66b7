/// \file
/// Maps urgencies to ranks.
#include "godwitlift/serving/ServingRanks.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace godwitlift {

namespace {

/// Lowest urgency with a queue of its own (0 is the highest); requests below it share this queue.
constexpr int LowestUrgency = 7;
/// Requests of one urgency that may wait at the gate. In practice their deadlines keep the queue
/// far shorter.
constexpr std::uint32_t QueueLimitPerUrgency = 512;

RankId rankIdOf(int urgency)
{
    return RankId(absl::StrCat("urgency-", urgency));
}

} // namespace

std::map<RankId, Rank> servingRanks()
{
    std::map<RankId, Rank> ranks;
    for (int urgency = ServerCallUrgency; urgency <= LowestUrgency; ++urgency) {
        Rank rank;
        rank.id = rankIdOf(urgency);
        rank.urgency = urgency;
        rank.queueLimit = QueueLimitPerUrgency;
        ranks.emplace(rank.id, rank);
    }
    return ranks;
}

RankId servingRank(int urgency, bool isCall)
{
    return rankIdOf(isCall ? ServerCallUrgency : std::clamp(urgency, 0, LowestUrgency));
}

} // namespace godwitlift
