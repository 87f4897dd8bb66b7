/// \file
/// prometheus-cpp behind the Metrics interface.
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
                          .Help("Calls of callers by rank, verdict and reason")
                          .Register(m_registry))
        , m_latency(BuildHistogram()
                            .Name("godwitlift_call_seconds")
                            .Help("Time from a call's arrival to its end by rank")
                            .Register(m_registry))
        , m_sentBytes(BuildCounter()
                              .Name("godwitlift_control_sent_bytes_total")
                              .Help("Control bytes sent by message kind")
                              .Register(m_registry))
        , m_sentMessages(BuildCounter()
                                 .Name("godwitlift_control_sent_messages_total")
                                 .Help("Control messages sent by kind")
                                 .Register(m_registry))
        , m_receivedBytes(BuildCounter()
                                  .Name("godwitlift_control_received_bytes_total")
                                  .Help("Control bytes received by message kind")
                                  .Register(m_registry))
        , m_platform(BuildCounter()
                             .Name("godwitlift_platform_requests_total")
                             .Help("Requests to the platform by outcome")
                             .Register(m_registry))
        , m_gauges(BuildGauge()
                           .Name("godwitlift_state")
                           .Help("Node state: version in force, hosts known, process figures")
                           .Register(m_registry))
        , m_replaced(BuildCounter()
                             .Name("godwitlift_connections_replaced_total")
                             .Help("Silent connections replaced by new ones")
                             .Register(m_registry)
                             .Add({}))
    {
        addReasonCounters();
    }

    void callEnded(const std::string &rank, Verdict verdict, Reason reason) override
    {
        m_calls.Add({ { "rank", rank },
                      { "verdict", std::string(name(verdict)) },
                      { "reason", std::string(name(reason)) } })
                .Increment();
        if (reason != Reason::None)
            m_refusals[static_cast<std::size_t>(reason)]->Increment();
    }
    void retried(Reason reason) override
    {
        m_retries[static_cast<std::size_t>(reason)]->Increment();
    }
    void gateRefused(Reason reason) override
    {
        m_gateRefusals[static_cast<std::size_t>(reason)]->Increment();
    }
    void callLatency(const std::string &rank, absl::Duration latency) override
    {
        m_latency.Add({ { "rank", rank } }, latencyBuckets())
                .Observe(absl::ToDoubleSeconds(latency));
    }
    void versionInForce(Version version) override
    {
        gauge("version_in_force").Set(static_cast<double>(version.value()));
    }
    void hosts(std::size_t count) override { gauge("hosts").Set(static_cast<double>(count)); }
    void processorSeconds(double seconds) override { gauge("processor_seconds").Set(seconds); }
    void residentBytes(double bytes) override { gauge("resident_bytes").Set(bytes); }
    void platformRequest(std::string_view outcome) override
    {
        m_platform.Add({ { "outcome", std::string(outcome) } }).Increment();
    }
    void connectionReplaced() override { m_replaced.Increment(); }
    void sent(std::string_view kind, std::size_t bytes) override
    {
        const prometheus::Labels labels{ { "kind", std::string(kind) } };
        m_sentBytes.Add(labels).Increment(static_cast<double>(bytes));
        m_sentMessages.Add(labels).Increment();
    }
    void received(std::string_view kind, std::size_t bytes) override
    {
        m_receivedBytes.Add({ { "kind", std::string(kind) } })
                .Increment(static_cast<double>(bytes));
    }

    std::string text() const override
    {
        return prometheus::TextSerializer().Serialize(m_registry.Collect());
    }

private:
    using ReasonCounters = std::array<prometheus::Counter *, ReasonCount>;

    prometheus::Gauge &gauge(const char *what) { return m_gauges.Add({ { "what", what } }); }

    /// Every reason has its counter from the start, so that a zero can be told from a gap.
    void addReasonCounters()
    {
        fill(m_refusals, "godwitlift_refusals_total", "Calls ended without an answer by reason");
        fill(m_retries, "godwitlift_retries_total", "Attempts repeated by reason");
        fill(m_gateRefusals, "godwitlift_gate_refusals_total",
             "Requests refused at this host's gates by reason");
    }
    void fill(ReasonCounters &counters, const char *counterName, const char *help)
    {
        auto &family = BuildCounter().Name(counterName).Help(help).Register(m_registry);
        for (std::size_t i = 0; i < ReasonCount; ++i)
            counters[i] = &family.Add({ { "reason", std::string(name(static_cast<Reason>(i))) } });
    }

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_calls;
    prometheus::Family<prometheus::Histogram> &m_latency;
    prometheus::Family<prometheus::Counter> &m_sentBytes;
    prometheus::Family<prometheus::Counter> &m_sentMessages;
    prometheus::Family<prometheus::Counter> &m_receivedBytes;
    prometheus::Family<prometheus::Counter> &m_platform;
    prometheus::Family<prometheus::Gauge> &m_gauges;
    prometheus::Counter &m_replaced;
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
