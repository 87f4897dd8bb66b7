/// \file
/// Counters and histograms of a node, as text for Prometheus.
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

    void requestEnded(unsigned status, Reason reason, int urgency, absl::Duration latency);
    /// \p total is the time at the ingress; what exceeds \p times went between the hosts.
    void attemptEnded(Verdict verdict, Reason reason, absl::Duration total,
                      const GateTimings &times);
    void retried(Reason reason);
    void gateRefused(Reason reason);
    void requestRejected(unsigned status);
    void storeCall(std::string_view call, std::string_view outcome);
    void linkLost(std::string_view cause);
    void undecodable(std::string_view what);
    /// A gauge that is set when the text is asked for.
    void set(std::string_view gauge, double value);
    std::string text() const;

private:
    struct Families;

    std::unique_ptr<Families> m_families;
};

} // namespace godwitlift
