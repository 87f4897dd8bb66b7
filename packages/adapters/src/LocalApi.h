/// \file
/// The API towards backend servers of this host, and metrics.
#pragma once

#include "ControlRuntime.h"
#include "ServingRuntime.h"
#include "godwitlift/adapters/HttpServer.h"

namespace godwitlift {

/// Takes announcements and drains, serves metrics, health and issued keys. Thread-safe.
class LocalApi final : public HttpHandler
{
public:
    /// All references must outlive the API.
    LocalApi(ControlRuntime &control, ServingRuntime &serving, Metrics &metrics);

    void handle(std::shared_ptr<HttpExchange> exchange) override;

private:
    void announce(HttpExchange &exchange);
    void drain(HttpExchange &exchange);
    void health(HttpExchange &exchange);

    ControlRuntime &m_control;
    ServingRuntime &m_serving;
    Metrics &m_metrics;
};

} // namespace godwitlift
