/// \file
/// The operators' side of the intent API.
#pragma once

#include "godwitlift/base/Failure.h"

#include <nlohmann/json.hpp>

#include <string>

namespace godwitlift {

/// Where the API is and who asks.
struct ApiAddress
{
    std::string node; ///< `IP:port` of any node's operators address.
    std::string token;
};

/// An answer of the API, whatever its status.
struct ApiAnswer
{
    int status = 0; ///< 0 if the node did not answer.
    nlohmann::json body;

    bool isOk() const { return status == 200; }
    /// The problem that the body states, or a plain description of the status.
    std::string problem() const;
};

/// Sends requests to one node. Blocks up to half a minute.
class ApiClient final
{
public:
    explicit ApiClient(ApiAddress address)
        : m_address(std::move(address))
    {}

    ApiAnswer fetch(const std::string &path) const;
    ApiAnswer post(const std::string &path, const std::string &body) const;

private:
    ApiAnswer send(const std::string &method, const std::string &path,
                   const std::string &body) const;

    ApiAddress m_address;
};

} // namespace godwitlift
