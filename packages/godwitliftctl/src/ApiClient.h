/// \file
/// Client of the operator API of a node.
#pragma once

#include "godwitlift/base/Failure.h"

#include <nlohmann/json.hpp>

#include <string>

namespace godwitlift {

/// A node's operator API and the token that authenticates the operator.
struct ApiEndpoint
{
    std::string address; ///< `IP:port` on which a node serves the operator API.
    std::string token;
};

/// Answer to one request, of any status.
struct ApiAnswer
{
    int status = 0;      ///< HTTP status; 0 if the node did not answer.
    nlohmann::json body; ///< Discarded value if the body is not valid JSON.

    bool isOk() const { return status == 200; }
    /// The error message in the body; a description of the status if the body has none.
    std::string errorText() const;
};

/// Sends requests to one node. Each call blocks up to 30 seconds.
class ApiClient final
{
public:
    explicit ApiClient(ApiEndpoint endpoint)
        : m_endpoint(std::move(endpoint))
    {}

    ApiAnswer fetch(const std::string &path) const;
    ApiAnswer post(const std::string &path, const std::string &body) const;

private:
    ApiAnswer send(const std::string &method, const std::string &path,
                   const std::string &body) const;

    ApiEndpoint m_endpoint;
};

} // namespace godwitlift
