/// \file
/// What the control plane wants done after an input.
#pragma once

#include "godwitlift/distribution/PeerMessages.h"
#include "godwitlift/platform/PlatformMessages.h"
#include "godwitlift/publishing/Publication.h"
#include "godwitlift/serving/RoutingTable.h"

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace godwitlift {

/// Correlates an operator's request with its answer within one node.
using OperatorRequestId = StrongNumber<struct OperatorRequestIdTag>;

struct SendMessage
{
    Address to;
    PeerMessage message;
};

/// One line of the log: an event name and its fields.
struct LogEvent
{
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

struct HistoryListing
{
    std::vector<VersionRecord> versions; ///< Oldest first.
    std::string problem;                 ///< Not empty if the platform did not answer.
};

struct FleetStatus
{
    std::vector<ZoneReport> reports;
    std::string problem; ///< Not empty if no root answered.
};

/// A version's content, for rolling back by planning it again.
struct VersionContent
{
    std::string text;
    std::string problem; ///< Not empty if the version cannot be read.
};

using OperatorReply = std::variant<PublicationOutcome, HistoryListing, FleetStatus, VersionContent>;

struct OperatorAnswer
{
    OperatorRequestId request;
    OperatorReply reply;
};

/// Effects in the order in which they arose. The adapter carries them out outside every lock.
struct ControlEffects
{
    std::vector<SendMessage> sends;
    std::vector<PlatformRequest> platformRequests;
    std::vector<OperatorAnswer> answers;
    std::vector<Address> connectionsToReplace; ///< Silent ones; open a new one, do not wait.
    std::vector<LogEvent> logs;
    std::shared_ptr<const RoutingTable> table; ///< Not null if the routing table changed.
};

} // namespace godwitlift
