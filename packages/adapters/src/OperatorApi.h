/// \file
/// The intent API towards operators.
#pragma once

#include "ControlRuntime.h"
#include "godwitlift/adapters/HttpServer.h"
#include "godwitlift/adapters/NodeSettings.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <thread>

namespace godwitlift {

/// Answers operators' requests on worker threads of its own, because confirming waits for the
/// platform. Refuses callers without an operator's token. Thread-safe; its lock is a leaf.
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
    void work();
    void serve(HttpExchange &exchange);
    /// Name of the operator whose token the request carries; empty if there is none.
    std::string operatorOf(const HttpRequest &request) const;
    void plan(HttpExchange &exchange);
    void confirm(HttpExchange &exchange, const std::string &author);
    void status(HttpExchange &exchange);
    void history(HttpExchange &exchange);
    void configuration(HttpExchange &exchange);
    void version(HttpExchange &exchange);

    std::vector<OperatorCredential> m_credentials;
    ControlRuntime &m_control;
    absl::Mutex m_mutex;
    std::deque<std::shared_ptr<HttpExchange>> m_waiting ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::vector<std::thread> m_threads;
};

} // namespace godwitlift
