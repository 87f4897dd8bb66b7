/// \file
/// Counters, histograms and gauges of a node in the Prometheus text format.
#pragma once

#include "gate/Attempt.h"

#include "godwitlift/base/Verdict.h"

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <string_view>

namespace godwitlift {

/// All metrics of one node. Not thread-safe.
class NodeMetrics final
{
public:
    NodeMetrics();
    ~NodeMetrics();

    void recordRequest(unsigned status, Reason reason, int urgency, absl::Duration latency);
    /// \p total is measured at the ingress. Its excess over \p timings is recorded as transit.
    void recordAttempt(Verdict verdict, Reason reason, absl::Duration total,
                       const GateTimings &timings);
    void recordRetry(Reason reason);
    void recordGateRefusal(Reason reason);
    /// A connection gave up what it held because the node held too much.
    void recordYield(std::string_view kind);
    void recordRejectedRequest(unsigned status);
    /// \p kind is of an ask that was sent or a grant that was given.
    void recordQuotaMessage(std::string_view kind);
    void recordStoreCall(std::string_view call, std::string_view outcome);
    void recordLostLink(std::string_view cause);
    void recordUndecodable(std::string_view kind);
    /// Sets a gauge; called before each scrape.
    void setGauge(std::string_view gauge, double value);
    std::string toPrometheusText() const;

private:
    struct Families;

    std::unique_ptr<Families> m_families;
};

} // namespace godwitlift
