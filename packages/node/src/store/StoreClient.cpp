/// \file
/// HTTP calls to the platform's store and their timeouts.
#include "store/StoreClient.h"

#include <absl/strings/str_cat.h>

namespace godwitlift {

std::string_view name(StoreOutcome outcome)
{
    switch (outcome) {
    case StoreOutcome::Done:
        return "done";
    case StoreOutcome::Refused:
        return "refused";
    case StoreOutcome::Conflict:
        return "conflict";
    case StoreOutcome::HistoryGone:
        return "history-gone";
    case StoreOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view name(StoreRequest::Kind kind)
{
    switch (kind) {
    case StoreRequest::Kind::List:
        return "list";
    case StoreRequest::Kind::Watch:
        return "watch";
    case StoreRequest::Kind::Put:
        return "put";
    case StoreRequest::Kind::Remove:
        return "remove";
    }
    return "unknown";
}

namespace {

/// Timeout of a call, in addition to the time that a watch waits at the store. A slow store takes
/// tenths of a second to answer.
constexpr absl::Duration AnswerTimeout = absl::Milliseconds(1000);
/// Largest body of an answer, in bytes; the store returns at most 1 MB of rows at a time.
constexpr std::size_t AnswerBodyLimit = std::size_t(4) * 1024 * 1024;
/// A connection to the store that was idle for longer is not reused.
constexpr absl::Duration MaxConnectionIdleTime = absl::Seconds(3);

} // namespace

class StoreClient::Call final : public BackendExchangeObserver
{
public:
    Call(StoreClient &client, StoreRequest request, Callback callback)
        : m_client(client)
        , m_request(std::move(request))
        , m_callback(std::move(callback))
        , m_timer(client.m_loop.get_executor())
    {}

    void start(std::list<std::shared_ptr<Call>>::iterator position)
    {
        m_position = position;
        m_connection = m_client.acquireConnection(m_request.isOnNewConnection);
        expireAfter(m_timer, m_request.watchTimeout + AnswerTimeout);
        m_timer.async_wait([this, weak = std::weak_ptr<Call>(*position)](
                                   const boost::system::error_code &error) {
            if (!error && weak.lock() != nullptr)
                complete(StoreAnswer());
        });
        const EncodedRequest encoded = m_client.m_protocol.encodeStoreRequest(m_request);
        std::string text =
                absl::StrCat(encoded.method, " ", encoded.target,
                             " HTTP/1.1\r\nHost: ", m_client.m_store.address().to_string(), ":",
                             m_client.m_store.port(), "\r\n");
        if (!encoded.body.empty())
            absl::StrAppend(&text, "Content-Type: application/json\r\nContent-Length: ",
                            encoded.body.size(), "\r\n");
        absl::StrAppend(&text, "\r\n", encoded.body);
        m_connection->sendRequest(std::move(text), nullptr, {}, false, *this);
    }

    void close() { m_connection->close(); }

    void onResponseHead(const ResponseHead &head) override
    {
        m_status = head.status;
        m_era = m_client.m_protocol.decodeStoreEra(
                [&head](std::string_view name) { return head.fields.find(name); });
    }
    void onResponseBody(std::string data) override
    {
        m_body += data;
        if (m_body.size() > AnswerBodyLimit)
            complete(StoreAnswer());
    }
    void onResponseComplete() override
    {
        if (!m_connection->isClosed()) {
            if (m_client.m_idleConnection != nullptr)
                m_client.m_idleConnection->close();
            m_client.m_idleConnection = m_connection;
        }
        StoreAnswer answer = m_client.m_protocol.decodeStoreAnswer(m_request, m_status, m_body);
        answer.era = m_era;
        if (m_era != 0 && m_era < m_client.m_era)
            answer = StoreAnswer();
        complete(answer);
    }
    void onExchangeFailed(Reason, bool hasSentBytes) override
    {
        StoreAnswer answer;
        answer.outcome = hasSentBytes ? StoreOutcome::Unknown : StoreOutcome::Refused;
        complete(answer);
    }

private:
    void complete(const StoreAnswer &answer)
    {
        // Keeps this call alive until the callback has returned.
        const std::shared_ptr<Call> self = *m_position;
        m_client.m_calls.erase(m_position);
        m_timer.cancel();
        if (answer.outcome == StoreOutcome::Unknown)
            m_connection->close();
        m_client.m_observer(m_request, answer);
        m_callback(answer);
    }

    StoreClient &m_client;
    StoreRequest m_request;
    Callback m_callback;
    LoopTimer m_timer;
    std::list<std::shared_ptr<Call>>::iterator m_position;
    std::shared_ptr<BackendConnection> m_connection;
    unsigned m_status = 0;
    StoreEra m_era = 0;
    std::string m_body;
};

StoreClient::StoreClient(asio::io_context &loop, asio::ip::tcp::endpoint store,
                         const PlatformProtocol &protocol, Observer observer)
    : m_loop(loop)
    , m_store(std::move(store))
    , m_protocol(protocol)
    , m_observer(std::move(observer))
{}

StoreClient::~StoreClient()
{
    for (const auto &call : m_calls)
        call->close();
    if (m_idleConnection != nullptr)
        m_idleConnection->close();
}

std::shared_ptr<BackendConnection> StoreClient::acquireConnection(bool isNew)
{
    auto idle = std::move(m_idleConnection);
    m_idleConnection.reset();
    if (!isNew && idle != nullptr && idle->isReusable()
        && steadyNow() - idle->idleSince() < MaxConnectionIdleTime)
        return idle;
    if (idle != nullptr)
        idle->close();
    return std::make_shared<BackendConnection>(m_loop, m_store, m_protocol.headerNames());
}

void StoreClient::call(StoreRequest request, Callback callback)
{
    const auto position = m_calls.insert(
            m_calls.end(), std::make_shared<Call>(*this, std::move(request), std::move(callback)));
    (*position)->start(position);
}

} // namespace godwitlift
