/// \file
/// The platform over the network: a table service's JSON API and an object store's REST API.
#pragma once

#include "godwitlift/base/Failure.h"
#include "godwitlift/platform/Platform.h"

#include <absl/time/time.h>

#include <memory>
#include <string>

namespace godwitlift {

/// Where the platform is and how to sign requests to it.
struct NetworkPlatformSettings
{
    std::string tableUrl; ///< Such as `http://10.0.0.5:8000`.
    std::string objectUrl;
    std::string table; ///< Table with partition key `p` and sort key `k`, both text.
    std::string bucket;
    std::string region;
    std::string accessKey;
    std::string secretKey;
    absl::Duration timeout = absl::Seconds(2);
};

/// Speaks the subset GetItem, Query and TransactWriteItems of the DynamoDB JSON API (version
/// 20120810). Thread-safe. A request whose answer is lost ends with PlatformOutcome::Unknown.
std::unique_ptr<TableService> createNetworkTable(const NetworkPlatformSettings &settings);

/// Speaks the subset PUT, GET and DELETE object of the S3 REST API with path-style names.
/// Thread-safe.
std::unique_ptr<ObjectStore> createNetworkObjects(const NetworkPlatformSettings &settings);

} // namespace godwitlift
