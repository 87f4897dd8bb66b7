/// \file
/// Announcements, drains and their acknowledgement.
#include "runtime/AnnouncementService.h"

#include <absl/strings/str_cat.h>

namespace godwitlift {

AnnouncementService::AnnouncementService(const PlatformProtocol &protocol, ServiceId service,
                                         Address backendServer, BackendServerGate &server,
                                         PeerMesh &mesh, RateLimitedLog &log, NodeMetrics &metrics)
    : m_protocol(protocol)
    , m_service(std::move(service))
    , m_backendServer(std::move(backendServer))
    , m_server(server)
    , m_mesh(mesh)
    , m_log(log)
    , m_metrics(metrics)
{}

void AnnouncementService::acknowledge(const std::shared_ptr<Exchange> &exchange)
{
    exchange->respond(200, reasonPhrase(200), "Content-Type: application/json\r\n", "{}");
}

void AnnouncementService::refuse(const std::shared_ptr<Exchange> &exchange,
                                 const std::string &problem)
{
    m_metrics.recordUndecodable("announcement");
    m_log.write("announcement-refused", LogLine("announcement-refused").add("problem", problem),
                steadyNow());
    exchange->respond(400, reasonPhrase(400), {}, {});
}

void AnnouncementService::acknowledgeDrain(const std::shared_ptr<Exchange> &exchange,
                                           const BackendServerId &server,
                                           std::int64_t startedUnixMs)
{
    if (server == m_remembered && startedUnixMs == m_rememberedStart) {
        acknowledge(exchange);
        return;
    }
    m_mesh.replicateDrain({ server, startedUnixMs }, [this, exchange, server, startedUnixMs] {
        m_remembered = server;
        m_rememberedStart = startedUnixMs;
        m_log.write("drain-acknowledged",
                    LogLine("drain-acknowledged")
                            .add("server", server.value())
                            .add("wait_ms", steadyNow() - exchange->arrived()),
                    steadyNow());
        acknowledge(exchange);
    });
}

void AnnouncementService::handle(const std::shared_ptr<Exchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    std::string problem;
    const auto call = valueOrErrorText(
            [&] {
                return m_protocol.decodeServerCall(request.head.method, request.head.target,
                                                   request.body);
            },
            problem);
    if (!call) {
        refuse(exchange, problem);
        return;
    }
    const ServerAnnouncement &announcement = call->announcement;
    if (call->kind == ServerCall::Kind::Deregister) {
        const LifecycleChange change = m_server.onDeregistration(announcement.id);
        if (change == LifecycleChange::Stale)
            acknowledge(exchange); // An earlier process; the gate serves another one.
        else
            acknowledgeDrain(exchange, announcement.id, m_server.lifecycle().startedUnixMs());
        return;
    }
    if (call->service != m_service || call->address != m_backendServer) {
        refuse(exchange,
               absl::StrCat("announces service ", call->service.value(), " at ",
                            call->address.value(), ", which is not this host's backend server"));
        return;
    }
    const LifecycleChange change = m_server.onAnnouncement(announcement);
    if (change == LifecycleChange::Stale)
        m_log.write("announcement-stale",
                    LogLine("announcement-stale")
                            .add("server", announcement.id.value())
                            .add("sequence", announcement.sequence.value())
                            .add("started_ms", announcement.startedUnixMs),
                    steadyNow());
    if (announcement.isDraining && change != LifecycleChange::Stale)
        acknowledgeDrain(exchange, announcement.id, announcement.startedUnixMs);
    else
        acknowledge(exchange);
}

void AnnouncementService::requestRejected(unsigned status)
{
    m_metrics.recordRejectedRequest(status);
}

} // namespace godwitlift
