/// \file
/// Side effects that the control plane requests from its adapter after an input.
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

/// Matches an operator's request with its answer within one node.
using OperatorRequestId = StrongNumber<struct OperatorRequestIdTag>;

struct OutgoingMessage
{
    Address to;
    PeerMessage message;
};

/// One log line: an event name and its fields.
struct LogEvent
{
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

struct HistoryListing
{
    std::vector<VersionRecord> versions; ///< Oldest first.
    std::string problem;                 ///< Error message; set if the platform did not answer.
};

struct FleetStatus
{
    std::vector<ZoneReport> reports;
    std::string problem; ///< Error message; set if the root of the zone did not answer.
};

/// The content of a version, which a rollback plans again.
struct VersionContent
{
    std::string text;
    std::string problem; ///< Error message; set if the version cannot be read.
};

using OperatorResult =
        std::variant<PublicationOutcome, HistoryListing, FleetStatus, VersionContent>;

struct OperatorAnswer
{
    OperatorRequestId request;
    OperatorResult result;
};

/// Effects in the order in which they were requested. The adapter executes them without holding a
/// lock.
struct ControlEffects
{
    std::vector<OutgoingMessage> messages;
    std::vector<PlatformRequest> platformRequests;
    std::vector<OperatorAnswer> answers;
    std::vector<Address> connectionsToReplace; ///< Unresponsive; open a new connection without
                                               ///< waiting for the old one.
    std::vector<LogEvent> logs;
    std::shared_ptr<const RoutingTable> routingTable; ///< Null if unchanged.
};

} // namespace godwitlift
