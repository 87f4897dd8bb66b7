/// \file
/// Conversion between the platform's messages and the node's types.
#pragma once

#include "godwitlift/base/Failure.h"
#include "godwitlift/node/StoreMessages.h"
#include "godwitlift/rollout/Rollout.h"
#include "godwitlift/traffic/RouteCatalogue.h"
#include "godwitlift/traffic/ServerLifecycle.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace godwitlift {

/// Names of the HTTP header fields that the platform defines.
struct PlatformHeaderNames
{
    std::string requestId;      ///< Unique id of a request; echoed in its answer.
    std::string deadlineMs;     ///< Time left for the request, in milliseconds.
    std::string answerSeal;     ///< Seal with which the backend server signs an answer.
    std::string expectedServer; ///< Id of the only backend server that may run the request.
    std::string notExecuted;    ///< Present in an answer if the request was not executed.
    std::string callerService;  ///< Service of the host at which the request entered the mesh.
    std::string clientKey;      ///< Key of a client account; never passed to backend servers.
    std::string clientAccount;  ///< Account of the key; set by nodes only.
};

/// Load of a backend server as it states it in an answer.
struct ServerLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0; ///< Requests that the server can run concurrently.
    /// How long work takes on the server's machine at this moment, relative to the usual time.
    double slowdown = 1;
};

/// Result of a health probe of a backend server.
struct HealthProbeResult
{
    BackendServerId id;
    std::optional<ServerLoad> load; ///< None if the server states no load.
    bool isHealthy = false;
};

/// What a backend server states about itself in the header of an answer.
struct ServerNotice
{
    /// Requests per second that it takes from all hosts together; none if it states no limit.
    std::optional<double> requestLimit;
    bool hasUnreadableLimit = false; ///< It states a limit that is no number of requests.
    std::optional<ServerLoad> load;  ///< None if the server states no load.
    bool isLeaving = false;          ///< It gets no new requests, as after a draining announcement.
};

/// A call from the host's backend server to its node.
struct ServerCall
{
    enum class Kind : std::uint8_t { Announce, Deregister };

    Kind kind = Kind::Announce;
    ServerAnnouncement announcement; ///< For Deregister only the id is set.
    ServiceId service;               ///< For Announce.
    Address address;                 ///< For Announce.
};

/// A request to the store as HTTP method, target and body.
struct EncodedRequest
{
    std::string method;
    std::string target;
    std::string body; ///< JSON; empty for none.
};

/// Returns the value of an answer's header field, if present.
using FieldLookup = std::function<std::optional<std::string_view>(std::string_view name)>;

/// Encodes and decodes the platform's messages. Stateless and thread-safe; contains no policy.
class PlatformProtocol
{
public:
    virtual ~PlatformProtocol() = default;

    virtual const PlatformHeaderNames &headerNames() const = 0;
    /// The error lists every fault of the text; a version with a fault is rejected as a whole.
    virtual Result<std::shared_ptr<const RouteCatalogue>>
    decodeConfiguration(std::string_view text) const = 0;
    /// Store table and key of the operator's configuration.
    virtual std::string configurationTable() const = 0;
    virtual std::string configurationKey() const = 0;
    /// Whether a key of the configuration's table is one of a roll-out order.
    virtual bool isRolloutOrderKey(std::string_view key) const = 0;
    virtual Result<RolloutOrder> decodeRolloutOrder(const StoreRow &row) const = 0;
    /// The row of a roll-out's state; its revision is not set.
    virtual StoreRow encodeRolloutStatus(const ServiceId &service,
                                         const RolloutStatus &status) const = 0;
    virtual Result<RolloutStatus> decodeRolloutStatus(std::string_view text) const = 0;
    /// Fails for calls that do not identify a backend server.
    virtual Result<ServerCall> decodeServerCall(std::string_view method, std::string_view target,
                                                std::string_view body) const = 0;
    virtual bool isReadinessCheck(std::string_view method, std::string_view target) const = 0;
    virtual std::optional<HealthProbeResult> decodeHealthProbe(unsigned status,
                                                               const FieldLookup &field) const = 0;
    /// Decodes any answer of a backend server, also one that refuses or fails a request.
    virtual ServerNotice decodeServerNotice(const FieldLookup &field) const = 0;
    virtual EncodedRequest encodeStoreRequest(const StoreRequest &request) const = 0;
    virtual StoreAnswer decodeStoreAnswer(const StoreRequest &request, unsigned status,
                                          std::string_view body) const = 0;
    /// Decodes any answer of the store, also one that refuses the request.
    virtual StoreEra decodeStoreEra(const FieldLookup &field) const = 0;
};

} // namespace godwitlift
