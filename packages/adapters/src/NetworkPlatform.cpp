/// \file
/// Table service and object store accessed over HTTP.
#include "godwitlift/adapters/NetworkPlatform.h"

#include "godwitlift/adapters/HttpRequester.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace godwitlift {

namespace {

using nlohmann::json;

constexpr char PartitionKey[] = "godwitlift";
constexpr char TargetHeaderPrefix[] = "X-Amz-Target: DynamoDB_20120810.";
constexpr int StatusOk = 200;
constexpr int StatusNoContent = 204;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int FirstServerErrorStatus = 500;

PlatformAnswer makeAnswer(PlatformOutcome outcome)
{
    PlatformAnswer answer;
    answer.outcome = outcome;
    return answer;
}

/// Outcome of a request whose response carries no usable result.
PlatformOutcome failureOutcome(const IncomingResponse &response)
{
    if (!response.isRequestSent)
        return PlatformOutcome::Unavailable;
    // A server may report an error after the write took effect.
    if (response.status == 0 || response.status >= FirstServerErrorStatus)
        return PlatformOutcome::Unknown;
    return PlatformOutcome::Unavailable;
}

json stringAttribute(const std::string &text)
{
    return json{ { "S", text } };
}

json encodeKey(const std::string &key)
{
    return json{ { "p", stringAttribute(PartitionKey) }, { "k", stringAttribute(key) } };
}

json encodeItem(const TableRow &row)
{
    json item = encodeKey(row.key);
    item["revision"] = json{ { "N", std::to_string(row.revision) } };
    item["value"] = stringAttribute(row.value);
    return item;
}

std::optional<TableRow> decodeItem(const json &item)
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

class NetworkTableService final : public TableService
{
public:
    explicit NetworkTableService(NetworkPlatformSettings settings)
        : m_settings(std::move(settings))
    {}

    PlatformAnswer fetch(const FetchRow &request) override
    {
        const json body{ { "TableName", m_settings.tableName },
                         { "Key", encodeKey(request.key) },
                         { "ConsistentRead", true } };
        const IncomingResponse response = post("GetItem", body);
        const json answer = json::parse(response.body, nullptr, false);
        if (response.status != StatusOk || !answer.is_object())
            return makeAnswer(failureOutcome(response));
        if (!answer.contains("Item"))
            return makeAnswer(PlatformOutcome::NotFound);
        return makeRowsAnswer({ answer["Item"] });
    }

    PlatformAnswer scan(const ScanRows &request) override
    {
        json body{ { "TableName", m_settings.tableName },
                   { "ConsistentRead", true },
                   { "Limit", request.limit },
                   { "KeyConditionExpression", "p = :p AND begins_with(k, :k)" },
                   { "ExpressionAttributeValues",
                     { { ":p", stringAttribute(PartitionKey) },
                       { ":k", stringAttribute(request.prefix) } } } };
        if (!request.after.empty())
            body["ExclusiveStartKey"] = encodeKey(request.after);
        const IncomingResponse response = post("Query", body);
        const json answer = json::parse(response.body, nullptr, false);
        if (response.status != StatusOk || !answer.is_object())
            return makeAnswer(failureOutcome(response));
        return makeRowsAnswer(answer.value("Items", std::vector<json>()));
    }

    PlatformAnswer transact(const Transact &request) override
    {
        json items = json::array();
        for (const ConditionalPut &put : request.puts)
            items.push_back(json{ { "Put", encodePut(put) } });
        const IncomingResponse response =
                post("TransactWriteItems", json{ { "TransactItems", std::move(items) } });
        if (response.status == StatusOk)
            return makeAnswer(PlatformOutcome::Ok);
        const bool isCancelled =
                response.status == StatusBadRequest
                && response.body.find("TransactionCanceledException") != std::string::npos;
        return makeAnswer(isCancelled ? PlatformOutcome::ConditionFailed
                                      : failureOutcome(response));
    }

private:
    json encodePut(const ConditionalPut &put) const
    {
        json item{ { "TableName", m_settings.tableName }, { "Item", encodeItem(put.row) } };
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
        request.url = absl::StrCat(m_settings.tableServiceUrl, "/");
        request.headers = { absl::StrCat(TargetHeaderPrefix, operation),
                            "Content-Type: application/x-amz-json-1.0" };
        request.body = body.dump();
        request.timeout = m_settings.requestTimeout;
        request.signing = { "dynamodb", m_settings.region, m_settings.accessKey,
                            m_settings.secretKey };
        return sendRequest(request);
    }

    static PlatformAnswer makeRowsAnswer(const std::vector<json> &items)
    {
        PlatformAnswer answer = makeAnswer(PlatformOutcome::Ok);
        for (const json &item : items) {
            auto row = decodeItem(item);
            if (!row)
                return makeAnswer(PlatformOutcome::Unavailable);
            answer.rows.push_back(std::move(*row));
        }
        return answer;
    }

    NetworkPlatformSettings m_settings;
};

class NetworkObjectStore final : public ObjectStore
{
public:
    explicit NetworkObjectStore(NetworkPlatformSettings settings)
        : m_settings(std::move(settings))
    {}

    PlatformAnswer put(const PutObject &request) override
    {
        const IncomingResponse response = send("PUT", request.name, request.content);
        return makeAnswer(response.status == StatusOk ? PlatformOutcome::Ok
                                                      : failureOutcome(response));
    }

    PlatformAnswer fetch(const FetchObject &request) override
    {
        IncomingResponse response = send("GET", request.name, {});
        if (response.status == StatusNotFound)
            return makeAnswer(PlatformOutcome::NotFound);
        if (response.status != StatusOk)
            return makeAnswer(failureOutcome(response));
        PlatformAnswer answer = makeAnswer(PlatformOutcome::Ok);
        answer.content = std::move(response.body);
        return answer;
    }

    PlatformAnswer remove(const RemoveObject &request) override
    {
        const IncomingResponse response = send("DELETE", request.name, {});
        const bool isRemoved = response.status == StatusOk || response.status == StatusNoContent;
        return makeAnswer(isRemoved ? PlatformOutcome::Ok : failureOutcome(response));
    }

private:
    IncomingResponse send(const std::string &method, const std::string &objectName,
                          std::string body) const
    {
        OutgoingRequest request;
        request.method = method;
        request.url =
                absl::StrCat(m_settings.objectStoreUrl, "/", m_settings.bucket, "/", objectName);
        request.headers = { "Content-Type: application/octet-stream" };
        request.body = std::move(body);
        request.timeout = m_settings.requestTimeout;
        request.signing = { "s3", m_settings.region, m_settings.accessKey, m_settings.secretKey };
        return sendRequest(request);
    }

    NetworkPlatformSettings m_settings;
};

} // namespace

std::unique_ptr<TableService> createNetworkTableService(const NetworkPlatformSettings &settings)
{
    return std::make_unique<NetworkTableService>(settings);
}

std::unique_ptr<ObjectStore> createNetworkObjectStore(const NetworkPlatformSettings &settings)
{
    return std::make_unique<NetworkObjectStore>(settings);
}

} // namespace godwitlift
