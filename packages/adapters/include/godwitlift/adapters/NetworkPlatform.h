/// \file
/// Network client of the platform: a table service with a JSON API and an object store with a REST
/// API.
#pragma once

#include "godwitlift/base/Failure.h"
#include "godwitlift/platform/Platform.h"

#include <absl/time/time.h>

#include <memory>
#include <string>

namespace godwitlift {

/// Addresses of the platform services and the credentials that sign requests to them.
struct NetworkPlatformSettings
{
    std::string tableServiceUrl; ///< For example `http://10.0.0.5:8000`.
    std::string objectStoreUrl;
    std::string tableName; ///< Table with partition key `p` and sort key `k`, both of type string.
    std::string bucket;
    std::string region;
    std::string accessKey;
    std::string secretKey;
    absl::Duration requestTimeout = absl::Seconds(2);
};

/// Creates a table service that uses GetItem, Query and TransactWriteItems of the DynamoDB JSON API
/// (version 20120810). Thread-safe. The outcome of a request whose answer is lost is
/// PlatformOutcome::Unknown.
std::unique_ptr<TableService> createNetworkTableService(const NetworkPlatformSettings &settings);

/// Creates an object store that uses PUT, GET and DELETE of objects of the S3 REST API, with
/// path-style names. Thread-safe.
std::unique_ptr<ObjectStore> createNetworkObjectStore(const NetworkPlatformSettings &settings);

} // namespace godwitlift
