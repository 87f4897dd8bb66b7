/// \file
/// One blocking HTTP request, for the platform adapters and the operators' command.
#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace godwitlift {

/// Signature of requests with AWS Signature Version 4; none if `accessKey` is empty.
struct RequestSigner
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
    RequestSigner signer;
};

struct IncomingResponse
{
    bool isConnected = false; ///< False: the request certainly never arrived.
    int status = 0;           ///< 0 if no answer came.
    std::string body;
};

/// Sends \p request over a connection kept by the calling thread. Blocks up to its timeout.
IncomingResponse sendRequest(const OutgoingRequest &request);

} // namespace godwitlift
