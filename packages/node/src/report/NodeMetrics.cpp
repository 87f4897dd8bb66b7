/// \file
/// Metric families of prometheus-cpp and their labels.
#include "report/NodeMetrics.h"

#include <absl/strings/str_cat.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace godwitlift {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Registry;

/// Bounds of the latency buckets: from an answer of a backend server on the same host to the
/// longest client deadlines.
const prometheus::Histogram::BucketBoundaries LatencyBoundsSeconds = { 0.005, 0.02, 0.05, 0.1, 0.2,
                                                                       0.4,   0.8,  1.6,  3.2, 10 };

Family<Counter> &counter(Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

Family<Histogram> &histogram(Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

} // namespace

struct NodeMetrics::Families
{
    Registry registry;
    Family<Counter> &requests = counter(registry, "godwitlift_requests_total",
                                        "Client requests by status, reason and urgency");
    Family<Histogram> &latency = histogram(registry, "godwitlift_request_seconds",
                                           "Time from a request's arrival to its answer");
    Family<Counter> &attempts = counter(registry, "godwitlift_attempts_total",
                                        "Attempts at gates by verdict and reason");
    Family<Histogram> &hops =
            histogram(registry, "godwitlift_hop_seconds", "Time of answered attempts by hop");
    Family<Counter> &retries =
            counter(registry, "godwitlift_retries_total", "Repeated attempts by reason");
    Family<Counter> &refusals = counter(registry, "godwitlift_gate_refusals_total",
                                        "Attempts that the gate refused, by reason");
    Family<Counter> &rejected = counter(registry, "godwitlift_rejected_total",
                                        "Malformed or oversized requests by status");
    Family<Counter> &quota = counter(registry, "godwitlift_quota_messages_total",
                                     "Asks for quota credit and grants, by kind");
    Family<Counter> &yields =
            counter(registry, "godwitlift_input_yields_total",
                    "Connections that yielded unfinished messages or unsent output, by kind");
    Family<Counter> &store =
            counter(registry, "godwitlift_store_calls_total", "Store calls by outcome");
    Family<Counter> &links =
            counter(registry, "godwitlift_links_lost_total", "Lost links to peers by cause");
    Family<Counter> &undecodable = counter(registry, "godwitlift_undecodable_total",
                                           "Inputs that could not be read, by kind");
    Family<Gauge> &gauges = prometheus::BuildGauge()
                                    .Name("godwitlift_node")
                                    .Help("State of the node by name")
                                    .Register(registry);
};

NodeMetrics::NodeMetrics()
    : m_families(std::make_unique<Families>())
{}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::recordRequest(unsigned status, Reason reason, int urgency, absl::Duration latency)
{
    m_families->requests
            .Add({ { "status", absl::StrCat(status) },
                   { "reason", std::string(name(reason)) },
                   { "urgency", absl::StrCat(urgency) } })
            .Increment();
    m_families->latency.Add({ { "urgency", absl::StrCat(urgency) } }, LatencyBoundsSeconds)
            .Observe(absl::ToDoubleSeconds(latency));
}

void NodeMetrics::recordAttempt(Verdict verdict, Reason reason, absl::Duration total,
                                const GateTimings &timings)
{
    m_families->attempts
            .Add({ { "verdict", std::string(name(verdict)) },
                   { "reason", std::string(name(reason)) } })
            .Increment();
    if (verdict != Verdict::Ran)
        return;
    const auto observe = [this](const char *hop, absl::Duration duration) {
        m_families->hops.Add({ { "hop", hop } }, LatencyBoundsSeconds)
                .Observe(absl::ToDoubleSeconds(duration));
    };
    observe("transit", total - timings.queueTime - timings.serviceTime);
    observe("gate-queue", timings.queueTime);
    observe("backend-server", timings.serviceTime);
}

void NodeMetrics::recordRetry(Reason reason)
{
    m_families->retries.Add({ { "reason", std::string(name(reason)) } }).Increment();
}

void NodeMetrics::recordGateRefusal(Reason reason)
{
    m_families->refusals.Add({ { "reason", std::string(name(reason)) } }).Increment();
}

void NodeMetrics::recordYield(std::string_view kind)
{
    m_families->yields.Add({ { "kind", std::string(kind) } }).Increment();
}

void NodeMetrics::recordRejectedRequest(unsigned status)
{
    m_families->rejected.Add({ { "status", absl::StrCat(status) } }).Increment();
}

void NodeMetrics::recordQuotaMessage(std::string_view kind)
{
    m_families->quota.Add({ { "kind", std::string(kind) } }).Increment();
}

void NodeMetrics::recordStoreCall(std::string_view call, std::string_view outcome)
{
    m_families->store.Add({ { "call", std::string(call) }, { "outcome", std::string(outcome) } })
            .Increment();
}

void NodeMetrics::recordLostLink(std::string_view cause)
{
    m_families->links.Add({ { "cause", std::string(cause) } }).Increment();
}

void NodeMetrics::recordUndecodable(std::string_view kind)
{
    m_families->undecodable.Add({ { "kind", std::string(kind) } }).Increment();
}

void NodeMetrics::setGauge(std::string_view gauge, double value)
{
    m_families->gauges.Add({ { "value", std::string(gauge) } }).Set(value);
}

std::string NodeMetrics::toPrometheusText() const
{
    return prometheus::TextSerializer().Serialize(m_families->registry.Collect());
}

} // namespace godwitlift
