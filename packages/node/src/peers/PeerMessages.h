/// \file
/// Between protocol messages and the types of the decisions.
#pragma once

#include "gate/Attempt.h"
#include "mesh.pb.h"

#include "godwitlift/traffic/ConfigurationReplica.h"
#include "godwitlift/traffic/FinishTimeSelector.h"
#include "godwitlift/traffic/TransitDelayEstimator.h"

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

mesh::Frame encodeOrder(const AttemptRequest &order, absl::Time now);
/// Deadlines count from \p now, less the time that the message was held up on its way.
AttemptRequest decodeOrder(const mesh::OpenRequest &message, absl::Time now,
                           TransitDelayEstimator &transit);

mesh::Frame encodeFailure(AttemptId id, const AttemptFailure &failure);
AttemptFailure decodeFailure(const mesh::RequestRefused &message);

mesh::Frame encodeHead(AttemptId id, AnswerHead head);
AnswerHead decodeHead(const mesh::AnswerHead &message);

/// What a node says of itself besides its gate.
struct NodeState
{
    Version version; ///< Of the configuration in force.
    bool isLeaving = false;
    bool isStoreFailing = false;
    std::uint32_t linkMbps = 0; ///< 0 is unknown.
};

mesh::Frame encodeReport(const GateReport &report, const NodeState &node);
GateReport decodeReport(const mesh::GateState &message);
NodeState decodeNodeState(const mesh::GateState &message);

mesh::Frame encodeChanges(const ConfigurationChanges &changes);
/// Routes without a destination are left out; the digest then does not match.
ConfigurationChanges decodeChanges(const mesh::ConfigurationChanges &message);

} // namespace godwitlift
