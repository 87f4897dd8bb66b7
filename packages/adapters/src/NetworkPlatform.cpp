/// \file
/// Table service and object store over HTTP.
#include "godwitlift/adapters/NetworkPlatform.h"

#include "godwitlift/adapters/HttpRequester.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace godwitlift {

namespace {

using nlohmann::json;

constexpr char Partition[] = "godwitlift";
constexpr char TargetPrefix[] = "X-Amz-Target: DynamoDB_20120810.";
constexpr int Ok = 200;
constexpr int NoContent = 204;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int ServerErrors = 500;

PlatformAnswer outcomeOnly(PlatformOutcome outcome)
{
    PlatformAnswer answer;
    answer.outcome = outcome;
    return answer;
}

/// Outcome of a response that carries no result.
PlatformOutcome failureOf(const IncomingResponse &response)
{
    if (!response.isRequestSent)
        return PlatformOutcome::Unavailable;
    // A server error may come after the write took effect.
    if (response.status == 0 || response.status >= ServerErrors)
        return PlatformOutcome::Unknown;
    return PlatformOutcome::Unavailable;
}

json textAttribute(const std::string &text)
{
    return json{ { "S", text } };
}

json rowKey(const std::string &key)
{
    return json{ { "p", textAttribute(Partition) }, { "k", textAttribute(key) } };
}

json itemOf(const TableRow &row)
{
    json item = rowKey(row.key);
    item["revision"] = json{ { "N", std::to_string(row.revision) } };
    item["value"] = textAttribute(row.value);
    return item;
}

std::optional<TableRow> rowOf(const json &item)
{
    try {
        TableRow row;
        row.key = item.at("k").at("S").get<std::string>();
        row.revision = std::stoull(item.at("revision").at("N").get<std::string>());
        row.value = item.at("value").at("S").get<std::string>();
        return row;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

class NetworkTable final : public TableService
{
public:
    explicit NetworkTable(NetworkPlatformSettings settings)
        : m_settings(std::move(settings))
    {}

    PlatformAnswer fetch(const FetchRow &request) override
    {
        const json body{ { "TableName", m_settings.table },
                         { "Key", rowKey(request.key) },
                         { "ConsistentRead", true } };
        const IncomingResponse response = post("GetItem", body);
        const json answer = json::parse(response.body, nullptr, false);
        if (response.status != Ok || !answer.is_object())
            return outcomeOnly(failureOf(response));
        if (!answer.contains("Item"))
            return outcomeOnly(PlatformOutcome::NotFound);
        return rows({ answer["Item"] });
    }

    PlatformAnswer scan(const ScanRows &request) override
    {
        json body{ { "TableName", m_settings.table },
                   { "ConsistentRead", true },
                   { "Limit", request.limit },
                   { "KeyConditionExpression", "p = :p AND begins_with(k, :k)" },
                   { "ExpressionAttributeValues",
                     { { ":p", textAttribute(Partition) },
                       { ":k", textAttribute(request.prefix) } } } };
        if (!request.after.empty())
            body["ExclusiveStartKey"] = rowKey(request.after);
        const IncomingResponse response = post("Query", body);
        const json answer = json::parse(response.body, nullptr, false);
        if (response.status != Ok || !answer.is_object())
            return outcomeOnly(failureOf(response));
        return rows(answer.value("Items", std::vector<json>()));
    }

    PlatformAnswer transact(const Transact &request) override
    {
        json items = json::array();
        for (const ConditionalPut &put : request.puts)
            items.push_back(json{ { "Put", putItem(put) } });
        const IncomingResponse response =
                post("TransactWriteItems", json{ { "TransactItems", std::move(items) } });
        if (response.status == Ok)
            return outcomeOnly(PlatformOutcome::Ok);
        const bool cancelled =
                response.status == BadRequest
                && response.body.find("TransactionCanceledException") != std::string::npos;
        return outcomeOnly(cancelled ? PlatformOutcome::ConditionFailed : failureOf(response));
    }

private:
    json putItem(const ConditionalPut &put) const
    {
        json item{ { "TableName", m_settings.table }, { "Item", itemOf(put.row) } };
        if (put.condition.kind == RowCondition::Kind::Absent) {
            item["ConditionExpression"] = "attribute_not_exists(k)";
            return item;
        }
        item["ConditionExpression"] = "revision = :r";
        item["ExpressionAttributeValues"] = {
            { ":r", { { "N", std::to_string(put.condition.revision) } } }
        };
        return item;
    }

    IncomingResponse post(const std::string &operation, const json &body) const
    {
        OutgoingRequest request;
        request.method = "POST";
        request.url = absl::StrCat(m_settings.tableUrl, "/");
        request.headers = { absl::StrCat(TargetPrefix, operation),
                            "Content-Type: application/x-amz-json-1.0" };
        request.body = body.dump();
        request.timeout = m_settings.timeout;
        request.signing = { "dynamodb", m_settings.region, m_settings.accessKey,
                            m_settings.secretKey };
        return sendRequest(request);
    }

    static PlatformAnswer rows(const std::vector<json> &items)
    {
        PlatformAnswer answer = outcomeOnly(PlatformOutcome::Ok);
        for (const json &item : items) {
            auto row = rowOf(item);
            if (!row)
                return outcomeOnly(PlatformOutcome::Unavailable);
            answer.rows.push_back(std::move(*row));
        }
        return answer;
    }

    NetworkPlatformSettings m_settings;
};

class NetworkObjects final : public ObjectStore
{
public:
    explicit NetworkObjects(NetworkPlatformSettings settings)
        : m_settings(std::move(settings))
    {}

    PlatformAnswer put(const PutObject &request) override
    {
        const IncomingResponse response = send("PUT", request.name, request.content);
        return outcomeOnly(response.status == Ok ? PlatformOutcome::Ok : failureOf(response));
    }

    PlatformAnswer fetch(const FetchObject &request) override
    {
        IncomingResponse response = send("GET", request.name, {});
        if (response.status == NotFound)
            return outcomeOnly(PlatformOutcome::NotFound);
        if (response.status != Ok)
            return outcomeOnly(failureOf(response));
        PlatformAnswer answer = outcomeOnly(PlatformOutcome::Ok);
        answer.content = std::move(response.body);
        return answer;
    }

    PlatformAnswer remove(const RemoveObject &request) override
    {
        const IncomingResponse response = send("DELETE", request.name, {});
        const bool done = response.status == Ok || response.status == NoContent;
        return outcomeOnly(done ? PlatformOutcome::Ok : failureOf(response));
    }

private:
    IncomingResponse send(const std::string &method, const std::string &objectName,
                          std::string body) const
    {
        OutgoingRequest request;
        request.method = method;
        request.url = absl::StrCat(m_settings.objectUrl, "/", m_settings.bucket, "/", objectName);
        request.headers = { "Content-Type: application/octet-stream" };
        request.body = std::move(body);
        request.timeout = m_settings.timeout;
        request.signing = { "s3", m_settings.region, m_settings.accessKey, m_settings.secretKey };
        return sendRequest(request);
    }

    NetworkPlatformSettings m_settings;
};

} // namespace

std::unique_ptr<TableService> createNetworkTable(const NetworkPlatformSettings &settings)
{
    return std::make_unique<NetworkTable>(settings);
}

std::unique_ptr<ObjectStore> createNetworkObjects(const NetworkPlatformSettings &settings)
{
    return std::make_unique<NetworkObjects>(settings);
}

} // namespace godwitlift
