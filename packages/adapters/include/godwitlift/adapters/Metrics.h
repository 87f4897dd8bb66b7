/// \file
/// Counters and gauges of the node, served as text for Prometheus.
#pragma once

#include "godwitlift/adapters/PeerTransport.h"
#include "godwitlift/base/Verdict.h"

#include <absl/time/time.h>

#include <memory>
#include <string>
#include <string_view>

namespace godwitlift {

/// All metrics of one node. Thread-safe.
class Metrics : public TrafficObserver
{
public:
    static std::unique_ptr<Metrics> create();

    virtual void callEnded(const std::string &rank, Verdict verdict, Reason reason) = 0;
    virtual void retried(Reason reason) = 0;
    virtual void gateRefused(Reason reason) = 0;
    virtual void callLatency(const std::string &rank, absl::Duration latency) = 0;
    virtual void versionInForce(Version version) = 0;
    virtual void platformRequest(std::string_view outcome) = 0;
    virtual void connectionReplaced() = 0;
    virtual void processorSeconds(double seconds) = 0;
    virtual void residentBytes(double bytes) = 0;
    virtual void hosts(std::size_t count) = 0;
    /// Exposition text.
    virtual std::string text() const = 0;
};

} // namespace godwitlift
