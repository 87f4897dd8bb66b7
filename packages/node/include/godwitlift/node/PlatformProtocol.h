/// \file
/// What the node needs translated: the platform's messages into its own types and back.
#pragma once

#include "godwitlift/base/Failure.h"
#include "godwitlift/node/RowStore.h"
#include "godwitlift/traffic/RouteCatalogue.h"
#include "godwitlift/traffic/ServerLifecycle.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace godwitlift {

/// Names of header fields that the platform defines, as the product uses them.
struct ExchangeFieldNames
{
    std::string requestId;      ///< Identity of one request; echoed in its answer.
    std::string deadlineMs;     ///< Time left for the request, in milliseconds.
    std::string answerSeal;     ///< The backend server's signature on an answer.
    std::string expectedServer; ///< The backend server that alone may run the request.
    std::string notRunMark;     ///< The answer says that the request did not run.
    std::string callerService;  ///< Service of the host where the request began.
};

/// What a probe of a backend server's health tells.
struct ProbeAnswer
{
    BackendServerId id;
    std::uint32_t slots = 0;
    bool isHealthy = false;
};

/// A call of the host's backend server to its node.
struct ServerCall
{
    enum class Kind : std::uint8_t { Announce, Deregister };

    Kind kind = Kind::Announce;
    ServerAnnouncement announcement; ///< Of Deregister only the id is set.
    ServiceId service;               ///< Of Announce.
    Address address;                 ///< Of Announce.
};

/// A request of the node to the store, in the platform's terms.
struct EncodedRequest
{
    std::string method;
    std::string target;
    std::string body; ///< JSON; empty for none.
};

/// Finds a field of an answer's head by name; none if it has none.
using FieldLookup = std::function<std::optional<std::string_view>(std::string_view name)>;

/// Translates. Stateless and thread-safe; holds no decision.
class PlatformProtocol
{
public:
    virtual ~PlatformProtocol() = default;

    virtual const ExchangeFieldNames &fieldNames() const = 0;
    /// Fails with every fault of the text; a version is taken whole or not at all.
    virtual Result<std::shared_ptr<const RouteCatalogue>>
    decodeConfiguration(std::string_view text) const = 0;
    /// Table and key of the operator's configuration.
    virtual std::string configurationTable() const = 0;
    virtual std::string configurationKey() const = 0;
    /// Fails for calls that name no backend server.
    virtual Result<ServerCall> decodeServerCall(std::string_view method, std::string_view target,
                                                std::string_view body) const = 0;
    virtual bool isReadinessCheck(std::string_view method, std::string_view target) const = 0;
    virtual std::optional<ProbeAnswer> decodeProbe(unsigned status,
                                                   const FieldLookup &field) const = 0;
    virtual EncodedRequest encodeStoreRequest(const StoreRequest &request) const = 0;
    virtual StoreAnswer decodeStoreAnswer(const StoreRequest &request, unsigned status,
                                          std::string_view body) const = 0;
};

} // namespace godwitlift
