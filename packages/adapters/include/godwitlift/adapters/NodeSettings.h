/// \file
/// Settings of a stand-alone node, decoded from JSON.
#pragma once

#include "godwitlift/adapters/NetworkPlatform.h"
#include "godwitlift/node/ControlPlane.h"
#include "godwitlift/serving/Ingress.h"

#include <string>
#include <string_view>
#include <vector>

namespace godwitlift {

/// Token with which an operator may use the operator API.
struct OperatorCredential
{
    std::string operatorName;
    std::string token;
};

enum class PlatformKind : std::uint8_t { Memory, Network };

struct NodeSettings
{
    NodeIdentity identity;   ///< NodeRuntime::start() sets the incarnation.
    Address peerAddress;     ///< Listen address for peers.
    Address callerAddress;   ///< Listen address for callers.
    Address operatorAddress; ///< Listen address for operators.
    Address localApiAddress; ///< Listen address for this host's backend servers and for metrics.
    std::string meshSecret;
    std::vector<OperatorCredential> operatorCredentials;
    PlatformKind platformKind = PlatformKind::Memory;
    NetworkPlatformSettings networkPlatform;
    ControlPolicy controlPolicy;
    IngressPolicy ingressPolicy;
    absl::Duration shutdownTimeout = absl::Minutes(5); ///< Limit for requests in progress.
    std::size_t requestLimitBytes = 8U << 20U;
};

/// Decodes and validates settings. Fails with an InputError that lists every fault with its path.
Result<NodeSettings> decodeNodeSettings(std::string_view text);

} // namespace godwitlift
