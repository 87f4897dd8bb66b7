/// \file
/// HttpServer implemented with libmicrohttpd.
#include "MicrohttpdExchange.h"
#include "godwitlift/adapters/HttpServer.h"

#include <absl/base/thread_annotations.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <set>

namespace godwitlift {

namespace {

/// Memory of libmicrohttpd for one connection; limits the size of the request headers.
constexpr std::size_t ConnectionMemoryBytes = 32U << 10U;
constexpr int PayloadTooLarge = 413;

MHD_Result appendHeader(void *context, MHD_ValueKind, const char *name, const char *value)
{
    auto *headers = static_cast<std::vector<HttpHeader> *>(context);
    headers->push_back({ name, value == nullptr ? "" : value });
    return MHD_YES;
}

MHD_Result appendQueryParameter(void *context, MHD_ValueKind, const char *name, const char *value)
{
    auto *target = static_cast<std::string *>(context);
    absl::StrAppend(target, target->find('?') == std::string::npos ? "?" : "&", name);
    if (value != nullptr)
        absl::StrAppend(target, "=", value);
    return MHD_YES;
}

std::string clientAddressOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    char text[INET_ADDRSTRLEN] = "";
    if (info != nullptr && info->client_addr->sa_family == AF_INET) {
        const auto *address = reinterpret_cast<const sockaddr_in *>(info->client_addr);
        inet_ntop(AF_INET, &address->sin_addr, text, sizeof(text));
    }
    return text;
}

class MicrohttpdServer final : public HttpServer
{
public:
    MicrohttpdServer(HttpLimits limits, HttpHandler &handler)
        : m_limits(limits)
        , m_handler(handler)
    {}
    MicrohttpdServer(const MicrohttpdServer &) = delete;
    MicrohttpdServer &operator=(const MicrohttpdServer &) = delete;
    ~MicrohttpdServer() override
    {
        if (m_daemon == nullptr)
            return;
        // libmicrohttpd aborts the process if a connection is still suspended when the daemon
        // stops.
        abortOpenExchanges();
        MHD_stop_daemon(m_daemon);
    }

    bool start(const std::string &ip, std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        m_daemon = MHD_start_daemon(
                MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, port, nullptr, nullptr,
                &MicrohttpdServer::onAccess, this, MHD_OPTION_SOCK_ADDR,
                reinterpret_cast<sockaddr *>(&address), MHD_OPTION_THREAD_POOL_SIZE,
                m_limits.threadCount, MHD_OPTION_CONNECTION_LIMIT, m_limits.maxConnections,
                MHD_OPTION_CONNECTION_TIMEOUT, m_limits.idleTimeoutSeconds,
                MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionMemoryBytes,
                MHD_OPTION_NOTIFY_COMPLETED, &MicrohttpdServer::onRequestCompleted, this,
                MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_END);
        return m_daemon != nullptr;
    }

    void stopAccepting() override
    {
        const MHD_socket socket = MHD_quiesce_daemon(m_daemon);
        if (socket != MHD_INVALID_SOCKET)
            ::close(socket);
    }

    std::size_t openExchangeCount() const override { return m_openExchangeCount; }

private:
    using ExchangePointer = std::shared_ptr<MicrohttpdExchange>;

    static MHD_Result onAccess(void *context, MHD_Connection *connection, const char *url,
                               const char *method, const char *, const char *data,
                               std::size_t *size, void **state)
    {
        auto *server = static_cast<MicrohttpdServer *>(context);
        if (*state == nullptr) {
            *state = server->createExchange(connection, url, method);
            return MHD_YES;
        }
        ExchangePointer &exchange = *static_cast<ExchangePointer *>(*state);
        if (*size > 0) {
            server->appendBody(*exchange, { data, *size });
            *size = 0;
            return MHD_YES;
        }
        return server->processRequest(exchange);
    }

    void abortOpenExchanges()
    {
        std::vector<ExchangePointer> open;
        {
            const absl::MutexLock lock(&m_openExchangesMutex);
            m_isStopping = true;
            open.assign(m_openExchanges.begin(), m_openExchanges.end());
        }
        for (const ExchangePointer &exchange : open)
            exchange->abortAnswer();
    }

    /// Registers an exchange while its connection may be suspended.
    void registerExchange(const ExchangePointer &exchange)
    {
        const absl::MutexLock lock(&m_openExchangesMutex);
        m_openExchanges.insert(exchange);
        if (m_isStopping)
            exchange->abortAnswer();
    }

    void unregisterExchange(const ExchangePointer &exchange)
    {
        const absl::MutexLock lock(&m_openExchangesMutex);
        m_openExchanges.erase(exchange);
    }

    ExchangePointer *createExchange(MHD_Connection *connection, const char *url, const char *method)
    {
        auto *pointer = new ExchangePointer(
                std::make_shared<MicrohttpdExchange>(connection, m_openExchangeCount));
        ++m_openExchangeCount;
        HttpRequest &request = (*pointer)->mutableRequest();
        request.method = method;
        request.path = url;
        request.target = url;
        request.clientAddress = clientAddressOf(connection);
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &appendHeader, &request.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &appendQueryParameter,
                                  &request.target);
        return pointer;
    }

    void appendBody(MicrohttpdExchange &exchange, std::string_view part) const
    {
        std::string &body = exchange.mutableRequest().body;
        if (body.size() + part.size() > m_limits.maxBodyBytes)
            exchange.isTooLarge = true;
        else
            body.append(part);
    }

    /// Dispatches a complete request to the handler, once, and then sends or awaits the answer.
    MHD_Result processRequest(const ExchangePointer &exchange)
    {
        if (exchange->isDispatched)
            return exchange->queueOrSuspend(exchange);
        exchange->isDispatched = true;
        if (exchange->isTooLarge) {
            exchange->respond(
                    PayloadTooLarge,
                    { { "Godwitlift-Verdict", "not-run" }, { "Godwitlift-Reason", "too-large" } },
                    "{\"verdict\":\"not-run\",\"reason\":\"too-large\"}\n");
            return exchange->queueOrSuspend(exchange);
        }
        registerExchange(exchange);
        m_handler.handle(exchange);
        return exchange->queueOrSuspend(exchange);
    }

    static void onRequestCompleted(void *context, MHD_Connection *, void **state,
                                   MHD_RequestTerminationCode code)
    {
        auto *pointer = static_cast<ExchangePointer *>(*state);
        if (pointer == nullptr)
            return;
        static_cast<MicrohttpdServer *>(context)->unregisterExchange(*pointer);
        (*pointer)->onRequestTerminated(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
        delete pointer;
        *state = nullptr;
    }

    HttpLimits m_limits;
    HttpHandler &m_handler;
    MHD_Daemon *m_daemon = nullptr;
    std::atomic<std::size_t> m_openExchangeCount = 0;
    absl::Mutex m_openExchangesMutex; ///< Locked before the mutex of an exchange.
    std::set<ExchangePointer> m_openExchanges ABSL_GUARDED_BY(m_openExchangesMutex);
    bool m_isStopping ABSL_GUARDED_BY(m_openExchangesMutex) = false;
};

} // namespace

std::string HttpRequest::header(std::string_view name) const
{
    const std::string wanted(name);
    for (const HttpHeader &header : headers) {
        if (absl::EqualsIgnoreCase(header.name, wanted))
            return header.value;
    }
    return {};
}

std::string HttpRequest::queryParameter(std::string_view name) const
{
    const std::size_t start = target.find('?');
    if (start == std::string::npos)
        return {};
    std::string_view rest = std::string_view(target).substr(start + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=')
            return std::string(pair.substr(name.size() + 1));
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return {};
}

bool splitAddress(const Address &address, std::string &ip, std::uint16_t &port)
{
    const std::size_t colon = address.value().rfind(':');
    if (colon == std::string::npos)
        return false;
    ip = address.value().substr(0, colon);
    std::uint32_t number = 0;
    in_addr parsed{};
    if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1
        || !absl::SimpleAtoi(address.value().substr(colon + 1), &number) || number == 0
        || number > UINT16_MAX)
        return false;
    port = static_cast<std::uint16_t>(number);
    return true;
}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(const Address &address, HttpLimits limits,
                                                       HttpHandler &handler)
{
    std::string ip;
    std::uint16_t port = 0;
    if (!splitAddress(address, ip, port))
        return makeInputError("listen", "not an IPv4 address and port: " + address.value());
    auto server = std::make_unique<MicrohttpdServer>(limits, handler);
    if (!server->start(ip, port))
        return makeInputError("listen", "cannot listen on " + address.value());
    return std::unique_ptr<HttpServer>(std::move(server));
}

} // namespace godwitlift
