/// \file
/// Names of message kinds.
#include "godwitlift/distribution/PeerMessages.h"

#include <array>

namespace godwitlift {

std::string_view kindName(const PeerMessage &message)
{
    constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>> Names = {
        "follow-request", "follow-answer", "steps-offer",    "snapshot-request",
        "snapshot-offer", "records-offer", "zone-digests",   "stamps-offer",
        "probe",          "probe-answer",  "status-request", "status-answer"
    };
    return Names[message.index()];
}

} // namespace godwitlift
