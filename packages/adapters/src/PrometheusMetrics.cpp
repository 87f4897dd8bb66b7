/// \file
/// Metrics implemented with prometheus-cpp.
#include "godwitlift/adapters/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace godwitlift {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

prometheus::Histogram::BucketBoundaries latencyBuckets()
{
    return { 0.0005, 0.001, 0.0017, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5 };
}

class PrometheusMetrics final : public Metrics
{
public:
    PrometheusMetrics()
        : m_calls(BuildCounter()
                          .Name("godwitlift_calls_total")
                          .Help("Calls by rank, verdict and reason")
                          .Register(m_registry))
        , m_callLatency(
                  BuildHistogram()
                          .Name("godwitlift_call_seconds")
                          .Help("Time from the arrival of a call to the end of its answer by rank")
                          .Register(m_registry))
        , m_sentBytes(BuildCounter()
                              .Name("godwitlift_control_sent_bytes_total")
                              .Help("Bytes of control messages sent by message kind")
                              .Register(m_registry))
        , m_sentMessages(BuildCounter()
                                 .Name("godwitlift_control_sent_messages_total")
                                 .Help("Control messages sent by message kind")
                                 .Register(m_registry))
        , m_receivedBytes(BuildCounter()
                                  .Name("godwitlift_control_received_bytes_total")
                                  .Help("Bytes of control messages received by message kind")
                                  .Register(m_registry))
        , m_platformRequests(BuildCounter()
                                     .Name("godwitlift_platform_requests_total")
                                     .Help("Platform requests by outcome")
                                     .Register(m_registry))
        , m_stateGauges(BuildGauge()
                                .Name("godwitlift_state")
                                .Help("Node state: version in force, known hosts, CPU time and "
                                      "resident memory of the process")
                                .Register(m_registry))
        , m_connectionsReplaced(BuildCounter()
                                        .Name("godwitlift_connections_replaced_total")
                                        .Help("Unresponsive peer connections replaced by new ones")
                                        .Register(m_registry)
                                        .Add({}))
    {
        registerReasonCounters();
    }

    void recordCall(const std::string &rank, Verdict verdict, Reason reason) override
    {
        m_calls.Add({ { "rank", rank },
                      { "verdict", std::string(name(verdict)) },
                      { "reason", std::string(name(reason)) } })
                .Increment();
        if (reason != Reason::None)
            m_refusals[static_cast<std::size_t>(reason)]->Increment();
    }
    void recordRetry(Reason reason) override
    {
        m_retries[static_cast<std::size_t>(reason)]->Increment();
    }
    void recordGateRefusal(Reason reason) override
    {
        m_gateRefusals[static_cast<std::size_t>(reason)]->Increment();
    }
    void recordCallLatency(const std::string &rank, absl::Duration latency) override
    {
        m_callLatency.Add({ { "rank", rank } }, latencyBuckets())
                .Observe(absl::ToDoubleSeconds(latency));
    }
    void setVersionInForce(Version version) override
    {
        stateGauge("version_in_force").Set(static_cast<double>(version.value()));
    }
    void setHostCount(std::size_t count) override
    {
        stateGauge("hosts").Set(static_cast<double>(count));
    }
    void setProcessorSeconds(double seconds) override
    {
        stateGauge("processor_seconds").Set(seconds);
    }
    void setResidentBytes(double bytes) override { stateGauge("resident_bytes").Set(bytes); }
    void recordPlatformRequest(std::string_view outcome) override
    {
        m_platformRequests.Add({ { "outcome", std::string(outcome) } }).Increment();
    }
    void recordConnectionReplacement() override { m_connectionsReplaced.Increment(); }
    void onMessageSent(std::string_view kind, std::size_t bytes) override
    {
        const prometheus::Labels labels{ { "kind", std::string(kind) } };
        m_sentBytes.Add(labels).Increment(static_cast<double>(bytes));
        m_sentMessages.Add(labels).Increment();
    }
    void onMessageReceived(std::string_view kind, std::size_t bytes) override
    {
        m_receivedBytes.Add({ { "kind", std::string(kind) } })
                .Increment(static_cast<double>(bytes));
    }

    std::string expositionText() const override
    {
        return prometheus::TextSerializer().Serialize(m_registry.Collect());
    }

private:
    using ReasonCounters = std::array<prometheus::Counter *, ReasonCount>;

    prometheus::Gauge &stateGauge(const char *stateName)
    {
        return m_stateGauges.Add({ { "what", stateName } });
    }

    /// Creates the counter of every reason up front, so that a reason that never occurred is
    /// exported as zero instead of being absent.
    void registerReasonCounters()
    {
        addReasonCounters(m_refusals, "godwitlift_refusals_total",
                          "Calls that ended without an answer by reason");
        addReasonCounters(m_retries, "godwitlift_retries_total", "Retries by reason");
        addReasonCounters(m_gateRefusals, "godwitlift_gate_refusals_total",
                          "Requests refused by this host's gates by reason");
    }
    void addReasonCounters(ReasonCounters &counters, const char *counterName, const char *help)
    {
        auto &family = BuildCounter().Name(counterName).Help(help).Register(m_registry);
        for (std::size_t i = 0; i < ReasonCount; ++i)
            counters[i] = &family.Add({ { "reason", std::string(name(static_cast<Reason>(i))) } });
    }

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_calls;
    prometheus::Family<prometheus::Histogram> &m_callLatency;
    prometheus::Family<prometheus::Counter> &m_sentBytes;
    prometheus::Family<prometheus::Counter> &m_sentMessages;
    prometheus::Family<prometheus::Counter> &m_receivedBytes;
    prometheus::Family<prometheus::Counter> &m_platformRequests;
    prometheus::Family<prometheus::Gauge> &m_stateGauges;
    prometheus::Counter &m_connectionsReplaced;
    ReasonCounters m_refusals{};
    ReasonCounters m_retries{};
    ReasonCounters m_gateRefusals{};
};

} // namespace

std::unique_ptr<Metrics> Metrics::create()
{
    return std::make_unique<PrometheusMetrics>();
}

} // namespace godwitlift
