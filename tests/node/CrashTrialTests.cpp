/// \file
/// Trials of requests under which backend servers have ended: one for the whole fleet.
#include "peers/QuarantineStore.h"

#include "RequestPath.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

using namespace godwitlift;
using nlohmann::json;

namespace {

const ContentDigest Crashing(7);
/// Longer ago than the quarantine that follows the third crash lasts.
const absl::Duration OldCrash = CrashHistory::InitialQuarantine + absl::Seconds(5);

/// The platform's store, as far as rows are read and written.
class RowStore final : public HttpHandler
{
public:
    explicit RowStore(RequestPath &path)
        : m_server(path.loop, path.linkScheduler, path.inputKeeper, *this)
        , m_port(path.listen(m_server))
    {}

    asio::ip::tcp::endpoint endpoint() const { return loopback(m_port); }
    bool isRefusing = false;
    std::map<std::string, json> rows; ///< By key.

    void handle(const std::shared_ptr<Exchange> &exchange) override
    {
        const HttpRequest &request = exchange->request();
        if (isRefusing)
            respond(*exchange, 503, json::object());
        else if (contains(request.head.target, "rows-get"))
            respond(*exchange, 200, read(request.head.target));
        else
            transact(*exchange, json::parse(request.body));
    }
    void onRequestRejected(unsigned) override {}

    /// Lets the times that a row names lie further in the past.
    void age(const std::string &key, absl::Duration age)
    {
        std::string text;
        REQUIRE(absl::Base64Unescape(rows.at(key).at("value").get<std::string>(), &text));
        json value = json::parse(text);
        for (const char *name : { "last_crash_ms", "trial_ms" }) {
            if (value.contains(name))
                value[name] = value[name].get<std::int64_t>() - absl::ToInt64Milliseconds(age);
        }
        rows[key]["value"] = absl::Base64Escape(value.dump());
    }

private:
    void respond(Exchange &exchange, unsigned status, json body)
    {
        body["ver"] = m_revision;
        exchange.respond(status, "x", "Store-Era: 1\r\n", body.dump());
    }
    json read(const std::string &target) const
    {
        std::string from;
        std::string end(1, '\x7f');
        const std::vector<std::string> arguments = absl::StrSplit(target, absl::ByAnyChar("?&"));
        for (const std::string &argument : arguments) {
            if (argument.starts_with("from="))
                from = argument.substr(5);
            if (argument.starts_with("target="))
                end = argument.substr(7);
        }
        json found = json::array();
        for (const auto &[key, row] : rows) {
            if (key >= from && key < end)
                found.push_back(row);
        }
        return { { "rows", found }, { "has_more", false } };
    }
    void transact(Exchange &exchange, const json &call)
    {
        for (const json &condition : call.at("expected_rev")) {
            const auto row = rows.find(condition.at("key"));
            const json present = row == rows.end() ? json(0) : row->second.at("ver");
            if (present != condition.at("ver")) {
                respond(exchange, 412, { { "rows", json::array() } });
                return;
            }
        }
        ++m_revision;
        for (json row : call.at("writes")) {
            row["ver"] = m_revision;
            rows[row.at("key")] = row;
        }
        for (const json &row : call.at("remove"))
            rows.erase(row.at("key"));
        respond(exchange, 200, json::object());
    }

    HttpServer m_server;
    std::uint16_t m_port;
    int m_revision = 1;
};

/// What a node knows of crashes, and its access to the store.
struct TrialNode
{
    TrialNode(RequestPath &testPath, const RowStore &rows)
        : path(testPath)
        , store(path.loop, rows.endpoint(), *path.protocol, [](const auto &, const auto &) {})
        , quarantines(path.loop, store, history, path.log, path.metrics, path.random)
    {}

    /// Three servers have ended under the request, and its quarantine is over.
    void learnOldCrashes(std::uint64_t count = CrashHistory::CrashLimit)
    {
        for (std::uint64_t process = 1; process <= count; ++process)
            history.add({ { Crashing, ServerProcess(process) }, OldCrash }, steadyNow());
    }
    void claim()
    {
        isGranted.reset();
        quarantines.claimTrial(Crashing, [this](bool granted) { isGranted = granted; });
    }
    bool claimNow()
    {
        claim();
        path.runUntil([this] { return isGranted.has_value(); });
        return *isGranted;
    }

    RequestPath &path;
    CrashHistory history;
    StoreClient store;
    QuarantineStore quarantines;
    std::optional<bool> isGranted;
};

const std::string CrashingKey = "0000000000000007";

} // namespace

// Guards against a trial by every node at the moment at which the quarantine ends (review case 9).
TEST_CASE("of the nodes that want to try a crashing request at the same time one is granted it")
{
    RequestPath path;
    RowStore rows(path);
    std::list<TrialNode> nodes;
    for (int i = 0; i < 6; ++i)
        nodes.emplace_back(path, rows).learnOldCrashes();
    const bool hasRow = GENERATE(true, false);
    if (hasRow) {
        CHECK(nodes.front().claimNow());
        rows.age(CrashingKey, CrashHistory::TrialExpiry);
    }
    for (TrialNode &node : nodes)
        node.claim();
    path.runUntil([&] {
        return std::all_of(nodes.begin(), nodes.end(),
                           [](const TrialNode &node) { return node.isGranted.has_value(); });
    });
    CHECK(std::count_if(nodes.begin(), nodes.end(),
                        [](const TrialNode &node) { return *node.isGranted; })
          == 1);
}

// Guards against a second trial while the first may still run, and against none for ever after the
// node that had it was lost, cut off or restarted.
TEST_CASE("a granted trial binds all nodes until it expires, also over restarts")
{
    RequestPath path;
    RowStore rows(path);
    TrialNode first(path, rows);
    first.learnOldCrashes();
    REQUIRE(first.claimNow());
    TrialNode second(path, rows);
    second.learnOldCrashes();
    CHECK_FALSE(second.claimNow());
    TrialNode restarted(path, rows);
    rows.age(CrashingKey, absl::ZeroDuration());
    restarted.quarantines.start();
    path.runUntil([&] { return !restarted.history.list(steadyNow()).empty(); });
    path.loop.run_for(std::chrono::milliseconds(50));
    CHECK(rows.rows.contains(CrashingKey));
    CHECK_FALSE(restarted.claimNow());
    CHECK_FALSE(first.claimNow());
    rows.age(CrashingKey, CrashHistory::TrialExpiry);
    CHECK(second.claimNow());
    CHECK_FALSE(restarted.claimNow());
}

// Guards against a trial by a node that has not heard of the last crash.
TEST_CASE("a node that lags behind learns the crashes from the row in place of a trial")
{
    RequestPath path;
    RowStore rows(path);
    TrialNode ahead(path, rows);
    ahead.learnOldCrashes();
    ahead.history.add({ { Crashing, ServerProcess(4) }, absl::ZeroDuration() }, steadyNow());
    ahead.quarantines.save(Crashing);
    path.runUntil([&] { return rows.rows.contains(CrashingKey); });
    TrialNode behind(path, rows);
    behind.learnOldCrashes();
    CHECK_FALSE(behind.claimNow());
    CHECK(behind.history.isQuarantined(Crashing, steadyNow()));
}

TEST_CASE("without the store a crashing request is not tried")
{
    RequestPath path;
    RowStore rows(path);
    TrialNode node(path, rows);
    node.learnOldCrashes();
    rows.isRefusing = true;
    CHECK_FALSE(node.claimNow());
    rows.isRefusing = false;
    CHECK(node.claimNow());
}

namespace {

/// Grants trials when the test says so.
struct ManualTrialClaims final : public TrialClaims
{
    void claimTrial(ContentDigest content, std::function<void(bool)> onDecided) override
    {
        claimed = content;
        decide = std::move(onDecided);
    }

    std::optional<ContentDigest> claimed;
    std::function<void(bool)> decide;
};

} // namespace

// Guards against a trial that is not asked for, that is repeated at a second server, or that is
// sent for a client that has left.
TEST_CASE("a request whose quarantine has ended is sent once, and only if a trial is granted")
{
    RequestPath path;
    path.configure();
    ManualTrialClaims claims;
    path.ingress.setTrialClaims(claims);
    // The digest of the request, as the node that would have charged it knows it.
    TestConnection &before = path.connectClient();
    before.write(makeGetRequest("/look/crash", "r0"));
    path.awaitBackendRequest("X-Attempt-Id: r0").write(makeResponse("r0", "ok"));
    path.runUntil([&] { return contains(before.received, "200 OK"); });
    const ContentDigest content = path.lastContent;
    for (std::uint64_t process = 1; process <= CrashHistory::CrashLimit; ++process)
        path.crashHistory.add({ { content, ServerProcess(process) }, OldCrash }, steadyNow());

    TestConnection &client = path.connectClient();
    client.write(makeGetRequest("/look/crash", "r1"));
    path.runUntil([&] { return claims.claimed.has_value(); });
    CHECK(claims.claimed == content);
    CHECK(path.gate.startedRequestCount() == 1);
    SECTION("denied")
    {
        claims.decide(false);
        path.runUntil([&] { return contains(client.received, "\r\n\r\n"); });
        CHECK(contains(client.received, "HTTP/1.1 503"));
        CHECK(path.gate.startedRequestCount() == 1);
    }
    SECTION("granted, and it crashes the server")
    {
        claims.decide(true);
        path.selector.addHost(HostId("other"), ZoneId("north"));
        path.selector.onGateReport(HostId("other"), path.gate.report(), steadyNow());
        path.awaitBackendRequest("X-Attempt-Id: r1").closeWithReset();
        path.runUntil([&] { return contains(client.received, "\r\n\r\n"); });
        CHECK(contains(client.received, "HTTP/1.1 502"));
        CHECK(path.gate.startedRequestCount() == 2);
    }
    SECTION("granted, and it is answered")
    {
        claims.decide(true);
        path.awaitBackendRequest("X-Attempt-Id: r1").write(makeResponse("r1", "safe"));
        path.runUntil([&] { return contains(client.received, "safe"); });
        CHECK(path.crashHistory.list(steadyNow()).empty());
    }
    SECTION("granted after the client has left")
    {
        client.socket.close();
        path.runUntil([&] { return path.ingress.callCount() == 0; });
        claims.decide(true);
        path.loop.run_for(std::chrono::milliseconds(50));
        CHECK(path.gate.startedRequestCount() == 1);
    }
}
