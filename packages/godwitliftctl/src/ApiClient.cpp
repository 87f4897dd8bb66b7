/// \file
/// HTTP requests to the operator API.
#include "ApiClient.h"

#include "godwitlift/adapters/HttpRequester.h"

namespace godwitlift {

namespace {

constexpr absl::Duration RequestTimeout = absl::Seconds(30);

} // namespace

std::string ApiAnswer::errorText() const
{
    if (status == 0)
        return "the node did not answer";
    if (body.is_object() && body.contains("problem") && body["problem"].is_string()
        && !body["problem"].get_ref<const std::string &>().empty())
        return body["problem"].get<std::string>();
    return "the node answered with status " + std::to_string(status);
}

ApiAnswer ApiClient::fetch(const std::string &path) const
{
    return send("GET", path, {});
}

ApiAnswer ApiClient::post(const std::string &path, const std::string &body) const
{
    return send("POST", path, body);
}

ApiAnswer ApiClient::send(const std::string &method, const std::string &path,
                          const std::string &body) const
{
    OutgoingRequest request;
    request.method = method;
    request.url = "http://" + m_endpoint.address + path;
    request.headers = { "Authorization: Bearer " + m_endpoint.token,
                        "Content-Type: application/json" };
    request.body = body;
    request.timeout = RequestTimeout;
    const IncomingResponse response = sendRequest(request);
    ApiAnswer answer;
    answer.status = response.status;
    answer.body = nlohmann::json::parse(response.body, nullptr, false);
    return answer;
}

} // namespace godwitlift
