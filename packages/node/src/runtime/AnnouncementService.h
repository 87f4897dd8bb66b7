/// \file
/// Calls of the host's backend server to its node: announcements and deregistrations.
#pragma once

#include "gate/BackendServerGate.h"
#include "http/HttpServer.h"
#include "peers/PeerMesh.h"

namespace godwitlift {

/// Answers the backend server. A drain is acknowledged once the gate is closed and others remember
/// it, so that a restart of this node does not open the gate again.
class AnnouncementService final : public HttpHandler
{
public:
    AnnouncementService(const PlatformProtocol &protocol, ServiceId service, Address backendServer,
                        BackendServerGate &server, PeerMesh &mesh, RateLimitedLog &log,
                        NodeMetrics &metrics);

    void handle(const std::shared_ptr<Exchange> &exchange) override;
    void requestRejected(unsigned status) override;

private:
    void acknowledge(const std::shared_ptr<Exchange> &exchange);
    void acknowledgeDrain(const std::shared_ptr<Exchange> &exchange, const BackendServerId &server,
                          std::int64_t startedUnixMs);
    void refuse(const std::shared_ptr<Exchange> &exchange, const std::string &problem);

    const PlatformProtocol &m_protocol;
    ServiceId m_service;
    Address m_backendServer;
    BackendServerGate &m_server;
    PeerMesh &m_mesh;
    RateLimitedLog &m_log;
    NodeMetrics &m_metrics;
    BackendServerId m_remembered; ///< Last drained backend server that others remember.
    std::int64_t m_rememberedStart = 0;
};

} // namespace godwitlift
