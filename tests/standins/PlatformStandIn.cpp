/// \file
/// Stand-in for the platform: the subset of the table and object APIs that the adapter speaks, with
/// faults on command (`POST /.faults?down=0|1&slow_ms=N&lose=N`).
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

/// Faults in force.
struct Faults
{
    std::atomic<bool> down = false;
    std::atomic<int> slowMs = 0;
    std::atomic<int> loseAnswers = 0; ///< Writes whose answer is lost after they took effect.
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<std::uint64_t> writes = 0;
};

class PlatformHandler final : public HttpHandler
{
public:
    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        if (exchange->request().path == "/.faults") {
            setFaults(*exchange);
            return;
        }
        // Slow answers must not hold up the server's own threads.
        std::thread([this, exchange] { serve(*exchange); }).detach();
    }

private:
    void setFaults(HttpExchange &exchange)
    {
        int number = 0;
        if (absl::SimpleAtoi(exchange.request().queryParameter("down"), &number))
            m_faults.down = number != 0;
        if (absl::SimpleAtoi(exchange.request().queryParameter("slow_ms"), &number))
            m_faults.slowMs = number;
        if (absl::SimpleAtoi(exchange.request().queryParameter("lose"), &number))
            m_faults.loseAnswers = number;
        exchange.respond(200, {},
                         absl::StrCat("reads=", m_faults.reads.load(),
                                      " writes=", m_faults.writes.load(), "\n"));
    }

    void serve(HttpExchange &exchange)
    {
        absl::SleepFor(absl::Milliseconds(m_faults.slowMs.load()));
        if (m_faults.down) {
            exchange.respond(503, {}, "");
            return;
        }
        const HttpRequest &request = exchange.request();
        const std::string target = request.header("X-Amz-Target");
        if (!target.empty())
            serveTable(exchange, target);
        else
            serveObject(exchange);
    }

    void finish(HttpExchange &exchange, bool isWrite, int status, std::string body)
    {
        ++(isWrite ? m_faults.writes : m_faults.reads);
        if (isWrite && status == 200 && m_faults.loseAnswers > 0) {
            --m_faults.loseAnswers;
            exchange.beginAnswer(200, {}, body.size() + 1); // Announce more than will come.
            exchange.abortAnswer();
            return;
        }
        exchange.respond(status, { { "Content-Type", "application/x-amz-json-1.0" } },
                         std::move(body));
    }

    void serveTable(HttpExchange &exchange, const std::string &target)
    {
        const json body = json::parse(exchange.request().body, nullptr, false);
        if (!body.is_object()) {
            finish(exchange, false, 400, R"({"__type":"SerializationException"})");
            return;
        }
        if (target == "DynamoDB_20120810.GetItem")
            fetchItem(exchange, body);
        else if (target == "DynamoDB_20120810.Query")
            query(exchange, body);
        else if (target == "DynamoDB_20120810.TransactWriteItems")
            transact(exchange, body);
        else
            finish(exchange, false, 400, R"({"__type":"UnknownOperationException"})");
    }

    static json itemOf(const TableRow &row)
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
            result["Item"] = itemOf(answer.rows.front());
        finish(exchange, false, 200, result.dump());
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
            items.push_back(itemOf(row));
        finish(exchange, false, 200, json{ { "Items", items } }.dump());
    }

    static ConditionalPut putOf(const json &put)
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
            transaction.puts.push_back(putOf(item["Put"]));
        const PlatformAnswer answer = m_table.transact(transaction);
        if (answer.outcome == PlatformOutcome::Ok)
            finish(exchange, true, 200, "{}");
        else
            finish(exchange, true, 400, R"({"__type":"TransactionCanceledException"})");
    }

    void serveObject(HttpExchange &exchange)
    {
        const HttpRequest &request = exchange.request();
        if (request.method == "PUT") {
            m_objects.put(PutObject{ request.path, request.body });
            finish(exchange, true, 200, "");
        } else if (request.method == "DELETE") {
            m_objects.remove(RemoveObject{ request.path });
            finish(exchange, true, 204, "");
        } else {
            const PlatformAnswer answer = m_objects.fetch(FetchObject{ request.path });
            const bool found = answer.outcome == PlatformOutcome::Ok;
            finish(exchange, false, found ? 200 : 404, answer.content);
        }
    }

    InMemoryTableService m_table;
    InMemoryObjectStore m_objects;
    Faults m_faults;
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
