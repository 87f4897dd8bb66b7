/// \file
/// Endpoints of the local API.
#include "LocalApi.h"

#include "godwitlift/json/ObjectReader.h"

namespace godwitlift {

namespace {

using nlohmann::json;

constexpr std::uint64_t MaxSlots = 10'000;

Result<Announcement> decodeAnnouncement(std::string_view text)
{
    BOOST_LEAF_AUTO(document, parseJson(text));
    std::vector<InputFault> faults;
    ObjectReader reader(document, "", faults);
    Announcement announcement;
    announcement.id = BackendServerId(reader.requiredText("id"));
    announcement.service = ServiceId(reader.requiredText("service"));
    announcement.address = Address(reader.requiredText("address"));
    announcement.slots = static_cast<std::uint32_t>(reader.requiredInteger("slots", 1, MaxSlots));
    announcement.isDraining = reader.flag("draining", false);
    std::string ip;
    std::uint16_t port = 0;
    if (!isIdentifier(announcement.id.value()))
        reader.addFault("id", "not an identifier");
    if (!isIdentifier(announcement.service.value()))
        reader.addFault("service", "not an identifier");
    if (!splitAddress(announcement.address, ip, port))
        reader.addFault("address", "expected an IPv4 address and port");
    reader.reportUnknownKeys();
    if (!faults.empty())
        return boost::leaf::new_error(InputError{ std::move(faults) });
    return announcement;
}

void respond(HttpExchange &exchange, int status, const json &body)
{
    exchange.respond(status, { { "Content-Type", "application/json" } }, body.dump() + "\n");
}

} // namespace

LocalApi::LocalApi(ControlRuntime &control, ServingRuntime &serving, Metrics &metrics)
    : m_control(control)
    , m_serving(serving)
    , m_metrics(metrics)
{}

void LocalApi::handle(std::shared_ptr<HttpExchange> exchange)
{
    const HttpRequest &request = exchange->request();
    if (request.method == "POST" && request.path == "/local/announce")
        handleAnnouncement(*exchange);
    else if (request.method == "POST" && request.path == "/local/drain")
        handleDrain(*exchange);
    else if (request.method == "GET" && request.path == "/metrics")
        exchange->respond(200, { { "Content-Type", "text/plain; version=0.0.4" } },
                          m_metrics.expositionText());
    else if (request.method == "GET" && request.path == "/health")
        handleHealthCheck(*exchange);
    else
        respond(*exchange, 404, json{ { "problem", "no such endpoint" } });
}

void LocalApi::handleAnnouncement(HttpExchange &exchange)
{
    std::string problem;
    const auto announcement =
            valueOrErrorText([&] { return decodeAnnouncement(exchange.request().body); }, problem);
    if (!announcement) {
        respond(exchange, 400, json{ { "problem", problem } });
        return;
    }
    m_control.processInput([&](ControlPlane &plane, absl::Time now) {
        return plane.announceBackendServer(*announcement, now);
    });
    respond(exchange, 200, json{ { "version", m_control.status().version.value() } });
}

void LocalApi::handleDrain(HttpExchange &exchange)
{
    const std::string id = exchange.request().queryParameter("id");
    if (!isIdentifier(id)) {
        respond(exchange, 400, json{ { "problem", "id: not an identifier" } });
        return;
    }
    m_control.processInput([&](ControlPlane &plane, absl::Time now) {
        return plane.drainBackendServer(BackendServerId(id), now);
    });
    respond(exchange, 200, json{ { "draining", id } });
}

void LocalApi::handleHealthCheck(HttpExchange &exchange)
{
    const NodeStatus status = m_control.status();
    respond(exchange, status.isReady ? 200 : 503,
            json{ { "ready", status.isReady },
                  { "version", status.version.value() },
                  { "in_progress", m_serving.activeRequestCount() } });
}

} // namespace godwitlift
