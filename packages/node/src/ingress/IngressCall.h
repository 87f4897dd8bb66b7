/// \file
/// One client request from its arrival to its final answer.
#pragma once

#include "ingress/IngressService.h"

#include <set>

namespace godwitlift {

/// Makes attempts until one brings an answer or no further one is allowed.
///
/// Invariants: at most one attempt is open; a request that may have run is sent again only if its
/// route is idempotent; 503 is answered only if every attempt is known not to have run.
class IngressCall final : public ExchangeObserver,
                          public AttemptObserver,
                          public std::enable_shared_from_this<IngressCall>
{
public:
    IngressCall(IngressService &service, std::shared_ptr<Exchange> exchange,
                std::shared_ptr<const RouteCatalogue> catalogue, const TrafficRoute &route,
                ServiceId destination, std::string requestId, absl::Duration patience);
    ~IngressCall() override;

    void start();
    /// Ends the call although its attempt is still open.
    void nodeStopping();

    void onClientDisconnected() override;
    void onAnswerBytesSent(std::size_t bytes) override;
    void answerHead(AttemptId id, AnswerHead head) override;
    void answerBody(AttemptId id, std::string data) override;
    void answerComplete(AttemptId id, const GateTimes &times) override;
    void attemptFailed(AttemptId id, const AttemptFailure &failure) override;

private:
    /// Answer bytes that are kept back until the answer is whole, so that a failed attempt can be
    /// repeated unseen. Larger answers are streamed from there on.
    static constexpr std::size_t HoldLimit = 64 * 1024;
    /// Attempts that gates turned away before any backend server was reached.
    static constexpr std::uint32_t TurnedAwayLimit = 3;

    void tryNext();
    bool tryAgain(const AttemptFailure &failure);
    FailedAttempt describe(const AttemptFailure &failure) const;
    void sendTo(const SelectedHost &choice);
    void attemptOver(AttemptOutcome outcome, absl::Duration service);
    void deadlinePassed();
    void giveUp(Reason reason);
    void beginStreaming();
    void conclude(RetryDecision step, Reason reason, absl::Duration retryAfter);
    void refuse(unsigned status, Reason reason, absl::Duration retryAfter);
    absl::Duration returnAdvice() const;
    void finished(unsigned status, Reason reason);
    void cancelAttempt();
    std::string requestHead() const;
    absl::Duration left() const { return m_deadline - steadyNow(); }

    IngressService &m_service;
    std::shared_ptr<Exchange> m_exchange;
    std::shared_ptr<const RouteCatalogue> m_catalogue; ///< Keeps m_route alive.
    const TrafficRoute &m_route;
    ServiceId m_destination;
    std::string m_requestId;
    std::shared_ptr<const std::string> m_body;
    absl::Time m_deadline;
    LoopTimer m_timer;
    std::shared_ptr<IngressCall> m_self; ///< Kept until the call has ended.

    AttemptId m_attempt; ///< Open attempt; 0 if none.
    HostId m_host;       ///< Of the open or the last attempt.
    std::set<HostId> m_tried;
    std::uint32_t m_serversReached = 0;
    std::uint32_t m_turnedAway = 0;
    absl::Time m_attemptBegan;
    GateTimes m_times;                 ///< Of the attempt that brought the answer.
    Verdict m_worst = Verdict::NotRun; ///< Gravest verdict of the ended attempts.

    std::optional<AnswerHead> m_head;
    std::string m_held;
    std::size_t m_answerBytes = 0;
    bool m_isStreaming = false;
};

} // namespace godwitlift
