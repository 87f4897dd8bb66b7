/// \file
/// libmicrohttpd behind the HttpServer interface.
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

constexpr std::size_t HeaderLimitBytes = 32U << 10U;
constexpr int PayloadTooLarge = 413;

MHD_Result addHeader(void *cls, MHD_ValueKind, const char *name, const char *value)
{
    auto *headers = static_cast<std::vector<HttpHeader> *>(cls);
    headers->push_back({ name, value == nullptr ? "" : value });
    return MHD_YES;
}

MHD_Result addArgument(void *cls, MHD_ValueKind, const char *name, const char *value)
{
    auto *target = static_cast<std::string *>(cls);
    absl::StrAppend(target, target->find('?') == std::string::npos ? "?" : "&", name);
    if (value != nullptr)
        absl::StrAppend(target, "=", value);
    return MHD_YES;
}

std::string addressOf(MHD_Connection *connection)
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
        // libmicrohttpd ends the process if a connection is suspended when it stops.
        abortOpenExchanges();
        MHD_stop_daemon(m_daemon);
    }

    bool start(const std::string &ip, std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        m_daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, port,
                                    nullptr, nullptr, &MicrohttpdServer::access, this,
                                    MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&address),
                                    MHD_OPTION_THREAD_POOL_SIZE, m_limits.threads,
                                    MHD_OPTION_CONNECTION_LIMIT, m_limits.connections,
                                    MHD_OPTION_CONNECTION_TIMEOUT, m_limits.idleSeconds,
                                    MHD_OPTION_CONNECTION_MEMORY_LIMIT, HeaderLimitBytes,
                                    MHD_OPTION_NOTIFY_COMPLETED, &MicrohttpdServer::completed, this,
                                    MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_END);
        return m_daemon != nullptr;
    }

    void stopAccepting() override
    {
        const MHD_socket socket = MHD_quiesce_daemon(m_daemon);
        if (socket != MHD_INVALID_SOCKET)
            ::close(socket);
    }

    std::size_t inProgress() const override { return m_inProgress; }

private:
    using Holder = std::shared_ptr<MicrohttpdExchange>;

    static MHD_Result access(void *cls, MHD_Connection *connection, const char *url,
                             const char *method, const char *, const char *data, std::size_t *size,
                             void **state)
    {
        auto *server = static_cast<MicrohttpdServer *>(cls);
        if (*state == nullptr) {
            *state = server->open(connection, url, method);
            return MHD_YES;
        }
        Holder &exchange = *static_cast<Holder *>(*state);
        if (*size > 0) {
            server->takeBody(*exchange, { data, *size });
            *size = 0;
            return MHD_YES;
        }
        return server->proceed(exchange);
    }

    void abortOpenExchanges()
    {
        std::vector<Holder> open;
        {
            const absl::MutexLock lock(&m_openMutex);
            m_isStopping = true;
            open.assign(m_open.begin(), m_open.end());
        }
        for (const Holder &exchange : open)
            exchange->abort();
    }

    /// Registers an exchange for the time in which it may be suspended.
    void enlist(const Holder &exchange)
    {
        const absl::MutexLock lock(&m_openMutex);
        m_open.insert(exchange);
        if (m_isStopping)
            exchange->abort();
    }

    void delist(const Holder &exchange)
    {
        const absl::MutexLock lock(&m_openMutex);
        m_open.erase(exchange);
    }

    Holder *open(MHD_Connection *connection, const char *url, const char *method)
    {
        auto *holder = new Holder(std::make_shared<MicrohttpdExchange>(connection, m_inProgress));
        ++m_inProgress;
        HttpRequest &request = (*holder)->editableRequest();
        request.method = method;
        request.path = url;
        request.target = url;
        request.clientAddress = addressOf(connection);
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &addHeader, &request.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &addArgument, &request.target);
        return holder;
    }

    void takeBody(MicrohttpdExchange &exchange, std::string_view part) const
    {
        std::string &body = exchange.editableRequest().body;
        if (body.size() + part.size() > m_limits.requestBytes)
            exchange.isTooLarge = true;
        else
            body.append(part);
    }

    MHD_Result proceed(const Holder &exchange)
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
        enlist(exchange);
        m_handler.handle(exchange);
        return exchange->queueOrSuspend(exchange);
    }

    static void completed(void *cls, MHD_Connection *, void **state,
                          MHD_RequestTerminationCode code)
    {
        auto *holder = static_cast<Holder *>(*state);
        if (holder == nullptr)
            return;
        static_cast<MicrohttpdServer *>(cls)->delist(*holder);
        (*holder)->connectionEnded(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
        delete holder;
        *state = nullptr;
    }

    HttpLimits m_limits;
    HttpHandler &m_handler;
    MHD_Daemon *m_daemon = nullptr;
    std::atomic<std::size_t> m_inProgress = 0;
    absl::Mutex m_openMutex; ///< Taken before an exchange's lock.
    std::set<Holder> m_open ABSL_GUARDED_BY(m_openMutex);
    bool m_isStopping ABSL_GUARDED_BY(m_openMutex) = false;
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

std::string HttpRequest::query(std::string_view name) const
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
        return makeInputError("listen", "not an IP number and port: " + address.value());
    auto server = std::make_unique<MicrohttpdServer>(limits, handler);
    if (!server->start(ip, port))
        return makeInputError("listen", "cannot listen on " + address.value());
    return std::unique_ptr<HttpServer>(std::move(server));
}

} // namespace godwitlift
