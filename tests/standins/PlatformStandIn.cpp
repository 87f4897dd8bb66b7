/// \file
/// In-memory stand-in for the platform. Serves the part of the table and object APIs that the
/// adapter uses and injects faults on request (`POST /.faults?down=0|1&slow_ms=N&lose=N`).
#include "godwitlift/adapters/HttpServer.h"
#include "godwitlift/platform/InMemoryPlatform.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

namespace {

using namespace godwitlift;
using nlohmann::json;

/// Faults that are currently injected, and request counters.
struct InjectedFaults
{
    std::atomic<bool> isUnavailable = false;
    std::atomic<int> answerDelayMs = 0;
    std::atomic<int> answersToDrop = 0; ///< Writes that take effect but get no complete answer.
    std::atomic<std::uint64_t> readCount = 0;
    std::atomic<std::uint64_t> writeCount = 0;
};

class PlatformHandler final : public HttpHandler
{
public:
    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        if (exchange->request().path == "/.faults") {
            configureFaults(*exchange);
            return;
        }
        // A delayed answer must not block the threads of the server.
        std::thread([this, exchange] { handleRequest(*exchange); }).detach();
    }

private:
    void configureFaults(HttpExchange &exchange)
    {
        int number = 0;
        if (absl::SimpleAtoi(exchange.request().queryParameter("down"), &number))
            m_faults.isUnavailable = number != 0;
        if (absl::SimpleAtoi(exchange.request().queryParameter("slow_ms"), &number))
            m_faults.answerDelayMs = number;
        if (absl::SimpleAtoi(exchange.request().queryParameter("lose"), &number))
            m_faults.answersToDrop = number;
        exchange.respond(200, {},
                         absl::StrCat("reads=", m_faults.readCount.load(),
                                      " writes=", m_faults.writeCount.load(), "\n"));
    }

    void handleRequest(HttpExchange &exchange)
    {
        absl::SleepFor(absl::Milliseconds(m_faults.answerDelayMs.load()));
        if (m_faults.isUnavailable) {
            exchange.respond(503, {}, "");
            return;
        }
        const HttpRequest &request = exchange.request();
        const std::string target = request.header("X-Amz-Target");
        if (!target.empty())
            handleTableRequest(exchange, target);
        else
            handleObjectRequest(exchange);
    }

    void respond(HttpExchange &exchange, bool isWrite, int status, std::string body)
    {
        ++(isWrite ? m_faults.writeCount : m_faults.readCount);
        if (isWrite && status == 200 && m_faults.answersToDrop > 0) {
            --m_faults.answersToDrop;
            exchange.beginAnswer(200, {}, body.size() + 1); // Announce more bytes than are sent.
            exchange.abortAnswer();
            return;
        }
        exchange.respond(status, { { "Content-Type", "application/x-amz-json-1.0" } },
                         std::move(body));
    }

    void handleTableRequest(HttpExchange &exchange, const std::string &target)
    {
        const json body = json::parse(exchange.request().body, nullptr, false);
        if (!body.is_object()) {
            respond(exchange, false, 400, R"({"__type":"SerializationException"})");
            return;
        }
        if (target == "DynamoDB_20120810.GetItem")
            fetchItem(exchange, body);
        else if (target == "DynamoDB_20120810.Query")
            query(exchange, body);
        else if (target == "DynamoDB_20120810.TransactWriteItems")
            transact(exchange, body);
        else
            respond(exchange, false, 400, R"({"__type":"UnknownOperationException"})");
    }

    static json encodeItem(const TableRow &row)
    {
        return json{ { "p", { { "S", "godwitlift" } } },
                     { "k", { { "S", row.key } } },
                     { "revision", { { "N", std::to_string(row.revision) } } },
                     { "value", { { "S", row.value } } } };
    }

    void fetchItem(HttpExchange &exchange, const json &body)
    {
        const PlatformAnswer answer =
                m_table.fetch(FetchRow{ body["Key"]["k"]["S"].get<std::string>() });
        json result = json::object();
        if (!answer.rows.empty())
            result["Item"] = encodeItem(answer.rows.front());
        respond(exchange, false, 200, result.dump());
    }

    void query(HttpExchange &exchange, const json &body)
    {
        ScanRows scan;
        scan.prefix = body["ExpressionAttributeValues"][":k"]["S"].get<std::string>();
        scan.limit = body["Limit"].get<std::size_t>();
        if (body.contains("ExclusiveStartKey"))
            scan.after = body["ExclusiveStartKey"]["k"]["S"].get<std::string>();
        json items = json::array();
        for (const TableRow &row : m_table.scan(scan).rows)
            items.push_back(encodeItem(row));
        respond(exchange, false, 200, json{ { "Items", items } }.dump());
    }

    static ConditionalPut decodePut(const json &put)
    {
        ConditionalPut result;
        result.row.key = put["Item"]["k"]["S"].get<std::string>();
        result.row.revision = std::stoull(put["Item"]["revision"]["N"].get<std::string>());
        result.row.value = put["Item"]["value"]["S"].get<std::string>();
        if (put["ConditionExpression"] == "revision = :r")
            result.condition = RowCondition::revisionIs(
                    std::stoull(put["ExpressionAttributeValues"][":r"]["N"].get<std::string>()));
        return result;
    }

    void transact(HttpExchange &exchange, const json &body)
    {
        Transact transaction;
        for (const auto &item : body["TransactItems"])
            transaction.puts.push_back(decodePut(item["Put"]));
        const PlatformAnswer answer = m_table.transact(transaction);
        if (answer.outcome == PlatformOutcome::Ok)
            respond(exchange, true, 200, "{}");
        else
            respond(exchange, true, 400, R"({"__type":"TransactionCanceledException"})");
    }

    void handleObjectRequest(HttpExchange &exchange)
    {
        const HttpRequest &request = exchange.request();
        if (request.method == "PUT") {
            m_objects.put(PutObject{ request.path, request.body });
            respond(exchange, true, 200, "");
        } else if (request.method == "DELETE") {
            m_objects.remove(RemoveObject{ request.path });
            respond(exchange, true, 204, "");
        } else {
            const PlatformAnswer answer = m_objects.fetch(FetchObject{ request.path });
            const bool isFound = answer.outcome == PlatformOutcome::Ok;
            respond(exchange, false, isFound ? 200 : 404, answer.content);
        }
    }

    InMemoryTableService m_table;
    InMemoryObjectStore m_objects;
    InjectedFaults m_faults;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: platform-standin IP:PORT\n";
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    PlatformHandler handler;
    HttpLimits limits;
    limits.maxBodyBytes = 64U << 20U;
    std::string problem;
    auto server = valueOrErrorText(
            [&] { return HttpServer::listen(Address(argv[1]), limits, handler); }, problem);
    if (!server) {
        std::cerr << "platform-standin: " << problem << "\n";
        return 1;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    std::_Exit(0);
}
