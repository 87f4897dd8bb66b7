/// \file
/// HTTP API for operators: planning, confirming and inspecting configuration versions.
#pragma once

#include "ControlRuntime.h"
#include "godwitlift/adapters/HttpServer.h"
#include "godwitlift/adapters/NodeSettings.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <thread>

namespace godwitlift {

/// Handles operators' requests on its own worker threads, because confirming a plan waits for the
/// platform. Refuses requests without a valid operator token. Thread-safe. Lock order: the lock of
/// the API, then that of an exchange.
class OperatorApi final : public HttpHandler
{
public:
    /// \p control must outlive the API.
    OperatorApi(std::vector<OperatorCredential> credentials, ControlRuntime &control);
    OperatorApi(const OperatorApi &) = delete;
    OperatorApi &operator=(const OperatorApi &) = delete;
    ~OperatorApi() override;

    void handle(std::shared_ptr<HttpExchange> exchange) override;

private:
    void runWorker();
    void handleRequest(HttpExchange &exchange);
    /// Returns the name of the operator whose token the request carries; empty if the token is
    /// missing or unknown.
    std::string authenticate(const HttpRequest &request) const;
    void handlePlan(HttpExchange &exchange);
    void handleConfirm(HttpExchange &exchange, const std::string &author);
    void handleStatus(HttpExchange &exchange);
    void handleHistory(HttpExchange &exchange);
    void handleConfiguration(HttpExchange &exchange);
    void handleVersion(HttpExchange &exchange);

    std::vector<OperatorCredential> m_credentials;
    ControlRuntime &m_control;
    absl::Mutex m_mutex;
    std::deque<std::shared_ptr<HttpExchange>> m_queue ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_workers;
};

} // namespace godwitlift
