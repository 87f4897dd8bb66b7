/// \file
/// Conversion between the protocol messages of nodes and the node's internal types.
#pragma once

#include "gate/Attempt.h"
#include "mesh.pb.h"

#include "godwitlift/access/ClockEcho.h"
#include "godwitlift/quota/QuotaTypes.h"
#include "godwitlift/rollout/Rollout.h"
#include "godwitlift/rollout/RolloutEvidence.h"
#include "godwitlift/traffic/ConfigurationLease.h"
#include "godwitlift/traffic/ConfigurationReplica.h"
#include "godwitlift/traffic/CrashHistory.h"
#include "godwitlift/traffic/FinishTimeSelector.h"
#include "godwitlift/traffic/TransitDelayEstimator.h"

namespace godwitlift {

/// Identity and address of a host, as nodes exchange them.
struct PeerHost
{
    HostId host;
    Address address; ///< Where the host's node listens for peers.
    ZoneId zone;

    friend bool operator==(const PeerHost &, const PeerHost &) = default;
};

mesh::HostEntry encodeHost(const PeerHost &host);
PeerHost decodeHost(const mesh::HostEntry &entry);

/// Frame of an attempt without the request's body, which is sent beside it.
mesh::Frame encodeAttemptRequest(const AttemptRequest &request, absl::Time now);
/// Bytes before a body that precedes a serialized frame of encodeAttemptRequest(). A body at the
/// end of a frame would make the receiver's parser copy it more often.
std::string encodeBodyPrefix(std::size_t bodySize);
/// Deadlines count from \p now, minus the delay that \p transitDelayEstimator estimates for the
/// message. Moves the body out of \p message.
AttemptRequest decodeAttemptRequest(mesh::OpenRequest &message, absl::Time now,
                                    TransitDelayEstimator &transitDelayEstimator);

mesh::Frame encodeAttemptFailure(AttemptId id, const AttemptFailure &failure);
AttemptFailure decodeAttemptFailure(const mesh::RequestRefused &message);

mesh::Frame encodeAnswerHead(AttemptId id, AnswerHead head);
AnswerHead decodeAnswerHead(const mesh::AnswerHead &message);

/// State of a node, reported together with the state of its gate.
struct NodeState
{
    Version configurationVersion; ///< Of the configuration in force.
    bool isShuttingDown = false;
    bool isStoreFailing = false;
    std::uint32_t linkMbps = 0; ///< 0 is unknown.
    bool isDeparting = false;   ///< Shuts down, and its host is not expected to return.
    bool statesAccounts = true; ///< Knows client accounts and states them in its changes.
};

mesh::Frame encodeCrash(const AgedCrash &crash);
AgedCrash decodeCrash(const mesh::ServerCrash &message);

mesh::RequestLimit encodeRequestLimit(const RequestLimitReport &report);
RequestLimitReport decodeRequestLimit(const mesh::RequestLimit &message);

GateLoadReport decodeLoadReport(const mesh::AnswerEnd &message);

mesh::Frame encodeGateState(const GateReport &report, const NodeState &node);
GateReport decodeGateReport(const mesh::GateState &message);
NodeState decodeNodeState(const mesh::GateState &message);

mesh::RolloutState encodeRolloutState(const RolloutState &state, absl::Time now);
/// Returns none for a state that this version does not know.
std::optional<RolloutState> decodeRolloutState(const mesh::RolloutState &message, absl::Time now);

mesh::RolloutEvidence encodeRolloutEvidence(const RolloutOrder &order,
                                            const ServerEvidence &evidence);
ServerEvidence decodeRolloutEvidence(const mesh::RolloutEvidence &message);
mesh::Frame encodeQuotaAsk(const ClientAccountId &account, const QuotaAsk &ask);
QuotaAsk decodeQuotaAsk(const mesh::QuotaAsk &message);
mesh::Frame encodeQuotaGrant(const ClientAccountId &account, const QuotaGrant &grant);
QuotaGrant decodeQuotaGrant(const mesh::QuotaGrant &message);

/// \p echo is of the receiver.
mesh::Frame encodeConfirmation(const ConfigurationConfirmation &confirmation, const ClockEcho &echo,
                               absl::Duration now);
mesh::Frame encodeConfirmationWanted(absl::Duration now);
/// \p now is the receiver's clock. The age includes the delay that \p transitDelayEstimator
/// estimates for the message.
ConfigurationConfirmation decodeConfirmation(const mesh::ConfigurationConfirmed &message,
                                             absl::Duration now,
                                             TransitDelayEstimator &transitDelayEstimator);

mesh::Frame encodeConfigurationChanges(const ConfigurationChanges &changes);
/// Skips routes without a destination; the digest of the changes then does not match.
ConfigurationChanges decodeConfigurationChanges(const mesh::ConfigurationChanges &message);

} // namespace godwitlift
