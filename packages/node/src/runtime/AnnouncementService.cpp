/// \file
/// Decodes announcements and deregistrations and acknowledges drains.
#include "runtime/AnnouncementService.h"

#include <absl/strings/str_cat.h>

namespace godwitlift {

AnnouncementService::AnnouncementService(const PlatformProtocol &protocol, ServiceId service,
                                         Address backendServerAddress, BackendServerGate &gate,
                                         DrainReplicator &replicator, RateLimitedLog &log,
                                         NodeMetrics &metrics)
    : m_protocol(protocol)
    , m_service(std::move(service))
    , m_backendServerAddress(std::move(backendServerAddress))
    , m_gate(gate)
    , m_replicator(replicator)
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
                                           const BackendServerId &server)
{
    const DrainRecord record = *m_gate.lifecycle().drains().find(server);
    m_replicator.replicate(record, [this, exchange, record](DrainCopy copy) {
        if (copy == DrainCopy::None) {
            m_log.write("drain-not-recorded",
                        LogLine("drain-not-recorded").add("server", record.server.value()),
                        steadyNow());
            exchange->respond(503, reasonPhrase(503), {}, {});
            return;
        }
        if (record != m_acknowledgedDrain) {
            m_acknowledgedDrain = record;
            m_log.write("drain-acknowledged",
                        LogLine("drain-acknowledged")
                                .add("server", record.server.value())
                                .add("started_ms", record.startedUpToUnixMs)
                                .add("recorded", name(copy))
                                .add("wait_ms", steadyNow() - exchange->arrivalTime()),
                        steadyNow());
        }
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
        const LifecycleChange change = m_gate.onDeregistration(announcement.id);
        if (change == LifecycleChange::Stale)
            m_log.write("deregistration-stale",
                        LogLine("deregistration-stale")
                                .add("server", announcement.id.value())
                                .add("current", m_gate.lifecycle().id().value()),
                        steadyNow());
        acknowledgeDrain(exchange, announcement.id);
        return;
    }
    if (call->service != m_service || call->address != m_backendServerAddress) {
        refuse(exchange,
               absl::StrCat("announces service ", call->service.value(), " at ",
                            call->address.value(), ", which is not this host's backend server"));
        return;
    }
    const LifecycleChange change = m_gate.onAnnouncement(announcement);
    if (change == LifecycleChange::Stale)
        m_log.write("announcement-stale",
                    LogLine("announcement-stale")
                            .add("server", announcement.id.value())
                            .add("sequence", announcement.sequence.value())
                            .add("started_ms", announcement.startedUnixMs)
                            .add("draining", announcement.isDraining ? "yes" : "no"),
                    steadyNow());
    if (announcement.isDraining)
        acknowledgeDrain(exchange, announcement.id);
    else
        acknowledge(exchange);
}

void AnnouncementService::onRequestRejected(unsigned status)
{
    m_metrics.recordRejectedRequest(status);
}

} // namespace godwitlift
