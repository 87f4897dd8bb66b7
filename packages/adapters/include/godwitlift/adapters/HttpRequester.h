/// \file
/// Blocking HTTP client for the platform adapters and godwitliftctl.
#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace godwitlift {

/// Parameters of AWS Signature Version 4; requests are not signed if `accessKey` is empty.
struct SigningParameters
{
    std::string service;
    std::string region;
    std::string accessKey;
    std::string secretKey;
};

struct OutgoingRequest
{
    std::string method;
    std::string url;
    std::vector<std::string> headers; ///< `Name: value` lines.
    std::string body;
    absl::Duration timeout;
    SigningParameters signing;
};

struct IncomingResponse
{
    bool isRequestSent = false; ///< False if the server certainly did not receive the request.
    int status = 0;             ///< 0 if no complete response was received.
    std::string body;
};

/// Sends \p request and blocks until the response or the timeout. Each thread keeps its own
/// connections and reuses them.
IncomingResponse sendRequest(const OutgoingRequest &request);

} // namespace godwitlift
