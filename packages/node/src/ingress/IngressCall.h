/// \file
/// Processing of one client request from its arrival to its final answer.
#pragma once

#include "ingress/IngressService.h"

#include <set>

namespace godwitlift {

/// Makes attempts at backend servers until one returns an answer or no retry is allowed.
///
/// Invariants: at most one attempt is open; a request that may have run is sent again only if its
/// route is idempotent; 503 is answered only if every attempt is known not to have run.
class IngressCall final : public ExchangeObserver,
                          public AttemptObserver,
                          public std::enable_shared_from_this<IngressCall>
{
public:
    IngressCall(IngressService &ingress, std::shared_ptr<Exchange> exchange,
                std::shared_ptr<const RouteCatalogue> catalogue, const TrafficRoute &route,
                const ClientAccount *account, ServiceId destination, std::string requestId,
                absl::Duration clientTimeout);
    ~IngressCall() override;

    /// The host's backend server makes this request for one that it runs. Must precede start().
    void markAsServerCall() { m_isServerCall = true; }
    void start();
    /// Cancels the open attempt and sends the final answer, because the node is about to exit.
    void onNodeStopping();

    void onClientDisconnected() override;
    void onAnswerBytesSent(std::size_t bytes) override;
    void onAnswerHead(AttemptId id, AnswerHead head) override;
    void onAnswerBody(AttemptId id, std::string data) override;
    void onAnswerComplete(AttemptId id, const GateTimings &timings) override;
    void onAttemptFailed(AttemptId id, const AttemptFailure &failure) override;

private:
    /// Up to this size an answer is buffered until it is complete, so that a failed attempt can be
    /// retried without the client noticing. Larger answers are streamed.
    static constexpr std::size_t AnswerBufferBytes = 64 * 1024;
    /// Maximum number of attempts that end before they reach a backend server, such as those that a
    /// gate refuses.
    static constexpr std::uint32_t UndeliveredAttemptLimit = 3;

    /// Starts the first attempt once the account's quota allows it.
    void awaitQuota();
    void onQuotaDecision(const QuotaDecision &decision);
    /// Gives the credit back if the request has not run, or gives up the wait for it.
    void settleQuota();
    /// Starts the first attempt unless servers have ended under the request.
    void admitByCrashHistory();
    void onTrialDecided(bool isGranted);
    void refuseQuarantined();
    void startFirstAttempt();
    /// Selects the host of the next attempt, of the version that the request may go to.
    std::optional<SelectedHost> selectHost(bool isRepeat);
    bool tryRetry(const AttemptFailure &failure);
    FailedAttempt makeFailedAttempt(const AttemptFailure &failure) const;
    void startAttempt(const SelectedHost &choice);
    /// False if the node is expected to exit before an attempt at \p choice would end.
    bool canComplete(const SelectedHost &choice) const;
    void recordAttemptOutcome(AttemptOutcome outcome, absl::Duration serviceTime);
    void onDeadlineExpired();
    void failCall(Reason reason);
    void beginStreaming();
    /// Takes back an answer of which the client's connection has taken nothing, because answers to
    /// earlier requests are due.
    void withdrawStreamedAnswer();
    /// Body bytes that the head of the answer promises; none if the body's end tells.
    std::optional<std::uint64_t> expectedBodyBytes() const;
    /// Fails the open attempt, whose answer must not reach the client.
    void rejectAnswer();
    void sendFinalAnswer(RetryDecision decision, Reason reason, absl::Duration retryAfter);
    void respondWithError(unsigned status, Reason reason, absl::Duration retryAfter);
    absl::Duration suggestedRetryAfter() const;
    void finishCall(unsigned status, Reason reason);
    /// True if no attempt was open, or if the open one is known not to have run.
    bool cancelAttempt();
    std::string requestHead() const;
    /// Name of the client account; empty for requests without one.
    std::string accountName() const;
    int urgency() const;
    absl::Duration timeLeft() const { return m_deadline - steadyNow(); }

    IngressService &m_ingress;
    std::shared_ptr<Exchange> m_exchange;
    std::shared_ptr<const RouteCatalogue> m_catalogue; ///< Keeps m_route and m_account alive.
    const TrafficRoute &m_route;
    const ClientAccount *m_account; ///< Null for requests without an account.
    ServiceId m_destination;
    std::string m_requestId;
    std::shared_ptr<const std::string> m_body;
    ContentDigest m_content;
    absl::Time m_deadline;
    LoopTimer m_deadlineTimer;
    std::shared_ptr<IngressCall> m_self; ///< Keeps the call alive until it has ended.

    AttemptId m_attemptId; ///< Of the open attempt; 0 if none.
    HostId m_host;         ///< Of the open or, if none, the last attempt.
    /// Roll-out order for which the attempt counts as one to the new version; 0 if it does not.
    std::uint64_t m_rolloutOrder = 0;
    std::set<HostId> m_triedHosts;
    std::uint32_t m_serversReached = 0;
    std::uint32_t m_undeliveredAttempts = 0;
    absl::Time m_attemptStart;
    GateTimings m_timings;                    ///< Of the attempt that returned the answer.
    Verdict m_worstVerdict = Verdict::NotRun; ///< Worst verdict of the attempts that have ended.

    bool m_isQuotaApplied = false;
    QuotaTicket m_quotaTicket = 0; ///< Of the decision by quota.
    bool m_isQuotaDecided = false;
    bool m_hasQuotaCredit = false;

    std::optional<AnswerHead> m_answerHead;
    std::string m_bufferedBody;
    std::size_t m_answerBytes = 0;
    bool m_isStreaming = false;
    bool m_isServerCall = false;
    /// Tries a request under which servers have ended; not repeated once a server has it.
    bool m_isTrial = false;
};

} // namespace godwitlift
