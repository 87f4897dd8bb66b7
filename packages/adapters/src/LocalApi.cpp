/// \file
/// Endpoints towards backend servers.
#include "LocalApi.h"

#include "godwitlift/json/ObjectReader.h"

namespace godwitlift {

namespace {

using nlohmann::json;

constexpr std::uint64_t SlotCeiling = 10'000;

Result<Announcement> decodeAnnouncement(std::string_view text)
{
    BOOST_LEAF_AUTO(document, parseJson(text));
    std::vector<InputFault> faults;
    ObjectReader reader(document, "", faults);
    Announcement announcement;
    announcement.id = BackendServerId(reader.text("id"));
    announcement.service = ServiceId(reader.text("service"));
    announcement.address = Address(reader.text("address"));
    announcement.slots =
            static_cast<std::uint32_t>(reader.requiredInteger("slots", 1, SlotCeiling));
    announcement.isDraining = reader.flag("draining", false);
    std::string ip;
    std::uint16_t port = 0;
    if (!isIdentifier(announcement.id.value()))
        reader.fault("id", "not an identifier");
    if (!isIdentifier(announcement.service.value()))
        reader.fault("service", "not an identifier");
    if (!splitAddress(announcement.address, ip, port))
        reader.fault("address", "expected an IP number and port");
    reader.finish();
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
        announce(*exchange);
    else if (request.method == "POST" && request.path == "/local/drain")
        drain(*exchange);
    else if (request.method == "GET" && request.path == "/metrics")
        exchange->respond(200, { { "Content-Type", "text/plain; version=0.0.4" } },
                          m_metrics.expositionText());
    else if (request.method == "GET" && request.path == "/health")
        health(*exchange);
    else
        respond(*exchange, 404, json{ { "problem", "no such endpoint" } });
}

void LocalApi::announce(HttpExchange &exchange)
{
    std::string problem;
    const auto announcement =
            valueOr([&] { return decodeAnnouncement(exchange.request().body); }, problem);
    if (!announcement) {
        respond(exchange, 400, json{ { "problem", problem } });
        return;
    }
    m_control.processInput([&](ControlPlane &plane, absl::Time now) {
        return plane.announce(*announcement, now);
    });
    respond(exchange, 200, json{ { "version", m_control.status().version.value() } });
}

void LocalApi::drain(HttpExchange &exchange)
{
    const std::string id = exchange.request().query("id");
    if (!isIdentifier(id)) {
        respond(exchange, 400, json{ { "problem", "id: not an identifier" } });
        return;
    }
    m_control.processInput([&](ControlPlane &plane, absl::Time now) {
        return plane.drainBackendServer(BackendServerId(id), now);
    });
    respond(exchange, 200, json{ { "draining", id } });
}

void LocalApi::health(HttpExchange &exchange)
{
    const NodeStatus view = m_control.status();
    respond(exchange, view.isReady ? 200 : 503,
            json{ { "ready", view.isReady },
                  { "version", view.version.value() },
                  { "in_progress", m_serving.inProgress() } });
}

} // namespace godwitlift
