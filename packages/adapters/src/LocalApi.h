/// \file
/// HTTP API for the backend servers on this host and for monitoring.
#pragma once

#include "ControlRuntime.h"
#include "ServingRuntime.h"
#include "godwitlift/adapters/HttpServer.h"

namespace godwitlift {

/// Handles announcements and drain requests of backend servers; serves metrics and health checks.
/// Thread-safe.
class LocalApi final : public HttpHandler
{
public:
    /// All references must outlive the API.
    LocalApi(ControlRuntime &control, ServingRuntime &serving, Metrics &metrics);

    void handle(std::shared_ptr<HttpExchange> exchange) override;

private:
    void handleAnnouncement(HttpExchange &exchange);
    void handleDrain(HttpExchange &exchange);
    void handleHealthCheck(HttpExchange &exchange);

    ControlRuntime &m_control;
    ServingRuntime &m_serving;
    Metrics &m_metrics;
};

} // namespace godwitlift
