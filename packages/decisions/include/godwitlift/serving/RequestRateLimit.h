/// \file
/// Limit of requests per second that a backend server states, kept by its gate.
#pragma once

#include "godwitlift/distribution/TokenBucket.h"

#include <absl/time/time.h>

#include <cstddef>
#include <optional>

namespace godwitlift {

/// State of a request limit as gates report it to ingresses.
struct RequestLimitReport
{
    double perSecond = 0; ///< As the backend server states it.
    /// Requests that may start at once, minus those that wait; less than 1 if the next one waits.
    double allowance = 0;

    friend bool operator==(const RequestLimitReport &, const RequestLimitReport &) = default;
};

/// Decides when the next request may be sent to one backend server. Not thread-safe.
///
/// A token bucket that fills at the stated rate and holds the requests of BurstTime. A limit that
/// ends and is stated again continues with the tokens that are left, so that a server cannot be
/// sent another burst each time.
///
/// Invariant: while a limit holds, at most limit x (t + BurstTime) + 1 requests start in any time
/// t.
class RequestRateLimit final
{
public:
    /// Time in which a bucket that is empty fills. Long enough that requests that arrive at random
    /// use the whole rate, short enough that the server gets no more than twice its rate in a
    /// second.
    static constexpr absl::Duration BurstTime = absl::Seconds(1);
    /// Rate that is used if a smaller one is stated: the end of a limit shows only in answers, so
    /// that a server that gets no requests would stay limited.
    static constexpr double MinRequestsPerSecond = 0.2;

    /// Sets the rate; none lifts the limit. The first limit starts with a single token.
    void setLimit(std::optional<double> requestsPerSecond, absl::Time now);
    /// Another process has replaced the backend server, which has stated no limit yet.
    void reset();
    /// Records a request to the server, whether or not the limit allowed it.
    void onStarted(absl::Time now);

    bool isLimited() const { return m_limit.has_value(); }
    /// As stated; none without a limit.
    std::optional<double> limit() const { return m_limit; }
    /// Requests that may be sent at once. Infinite without a limit.
    double allowance(absl::Time now) const;
    bool allowsStart(absl::Time now) const { return allowance(now) >= 1; }
    /// Time until a request may start before which \p requestsAhead others start. Zero without a
    /// limit.
    absl::Duration waitBehind(std::size_t requestsAhead, absl::Time now) const;

    /// None without a limit. \p queued requests wait at the gate.
    std::optional<RequestLimitReport> report(std::size_t queued, absl::Time now) const;
    /// Expected wait of a request if this node has sent \p sent others since \p report. The other
    /// nodes are expected to use the tokens that have been added since.
    static absl::Duration expectedWait(const RequestLimitReport &report, std::size_t sent);

    /// Rate at which a server with the limit \p requestsPerSecond is sent requests.
    static double usableRate(double requestsPerSecond);

private:
    /// Tokens that a full bucket holds.
    static double burst(double requestsPerSecond);

    std::optional<double> m_limit;
    std::optional<TokenBucket> m_bucket; ///< Set from the first limit of the process on.
};

} // namespace godwitlift
