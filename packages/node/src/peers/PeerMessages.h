/// \file
/// Between protocol messages and the types of the decisions.
#pragma once

#include "gate/Attempt.h"
#include "mesh.pb.h"

#include "godwitlift/traffic/FinishTimeSelector.h"

namespace godwitlift {

/// A host as nodes tell each other of it.
struct PeerHost
{
    HostId host;
    Address address; ///< Of its node's peer listener.
    ZoneId zone;

    friend bool operator==(const PeerHost &, const PeerHost &) = default;
};

mesh::HostEntry encodeHost(const PeerHost &host);
PeerHost decodeHost(const mesh::HostEntry &entry);

mesh::Frame encodeOrder(const AttemptOrder &order, absl::Time now);
/// Deadlines count from \p now: the time on the way is lost to the request.
AttemptOrder decodeOrder(const mesh::OpenRequest &message, absl::Time now);

mesh::Frame encodeFailure(AttemptId id, const AttemptFailure &failure);
AttemptFailure decodeFailure(const mesh::RequestRefused &message);

mesh::Frame encodeHead(AttemptId id, AnswerHead head);
AnswerHead decodeHead(const mesh::AnswerHead &message);

mesh::Frame encodeReport(const GateReport &report, Version version, bool isLeaving);
GateReport decodeReport(const mesh::GateState &message);

} // namespace godwitlift
