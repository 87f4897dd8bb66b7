/// \file
/// Interface to the metrics of a node.
#pragma once

#include "godwitlift/adapters/PeerTransport.h"
#include "godwitlift/base/Verdict.h"

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <string_view>

namespace godwitlift {

/// Counters, gauges and histograms of one node. Thread-safe.
class Metrics : public ControlTrafficObserver
{
public:
    static std::unique_ptr<Metrics> create();

    virtual void recordCall(const std::string &rank, Verdict verdict, Reason reason) = 0;
    virtual void recordRetry(Reason reason) = 0;
    virtual void recordGateRefusal(Reason reason) = 0;
    virtual void recordCallLatency(const std::string &rank, absl::Duration latency) = 0;
    virtual void setVersionInForce(Version version) = 0;
    virtual void recordPlatformRequest(std::string_view outcome) = 0;
    virtual void recordConnectionReplacement() = 0;
    virtual void setProcessorSeconds(double seconds) = 0;
    virtual void setResidentBytes(double bytes) = 0;
    virtual void setHostCount(std::size_t count) = 0;
    /// All metrics in the Prometheus text exposition format.
    virtual std::string expositionText() const = 0;
};

} // namespace godwitlift
