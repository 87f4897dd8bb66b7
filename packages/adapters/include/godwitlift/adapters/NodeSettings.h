/// \file
/// Settings of a node, read from JSON and checked as a whole.
#pragma once

#include "godwitlift/adapters/NetworkPlatform.h"
#include "godwitlift/node/ControlPlane.h"
#include "godwitlift/serving/Ingress.h"

#include <string>
#include <string_view>
#include <vector>

namespace godwitlift {

/// An operator who may plan and confirm.
struct OperatorCredential
{
    std::string operatorName;
    std::string token;
};

enum class PlatformKind : std::uint8_t { Memory, Network };

struct NodeSettings
{
    NodeIdentity identity; ///< Incarnation is filled in at the start of the process.
    Address peers;         ///< Listens for peers.
    Address calls;         ///< Listens for callers.
    Address operators;     ///< Listens for operators.
    Address local;         ///< Listens for backend servers of this host and for metrics.
    std::string meshSecret;
    std::vector<OperatorCredential> operatorCredentials;
    PlatformKind platform = PlatformKind::Memory;
    NetworkPlatformSettings network;
    ControlPolicy control;
    IngressPolicy ingress;
    absl::Duration shutdownTimeout = absl::Minutes(5); ///< Bound for requests in progress.
    std::size_t requestLimitBytes = 8U << 20U;
};

/// Reads settings. Fails with InputError that names every fault by its path.
Result<NodeSettings> decodeNodeSettings(std::string_view text);

} // namespace godwitlift
