/// \file
/// Handles the backend server's calls to its node: announcements and deregistrations.
#pragma once

#include "gate/BackendServerGate.h"
#include "http/HttpServer.h"
#include "peers/DrainReplicator.h"

namespace godwitlift {

/// Answers the backend server of this host. A drain is acknowledged once the gate is closed and the
/// store or the peers have recorded it, so that a restart of the node does not reopen the gate. If
/// they do not confirm in time, the call is refused, and the backend server repeats it.
class AnnouncementService final : public HttpHandler
{
public:
    AnnouncementService(const PlatformProtocol &protocol, ServiceId service,
                        Address backendServerAddress, BackendServerGate &gate,
                        DrainReplicator &replicator, RateLimitedLog &log, NodeMetrics &metrics);

    void handle(const std::shared_ptr<Exchange> &exchange) override;
    void onRequestRejected(unsigned status) override;

private:
    void acknowledge(const std::shared_ptr<Exchange> &exchange);
    void acknowledgeDrain(const std::shared_ptr<Exchange> &exchange, const BackendServerId &server);
    void refuse(const std::shared_ptr<Exchange> &exchange, const std::string &problem);

    const PlatformProtocol &m_protocol;
    ServiceId m_service;
    Address m_backendServerAddress;
    BackendServerGate &m_gate;
    DrainReplicator &m_replicator;
    RateLimitedLog &m_log;
    NodeMetrics &m_metrics;
    DrainRecord m_acknowledgedDrain; ///< The last one that was logged.
};

} // namespace godwitlift
