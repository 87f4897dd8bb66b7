/// \file
/// Sends admitted requests to the backend servers on this host.
#pragma once

#include "godwitlift/adapters/AnswerSink.h"
#include "godwitlift/serving/Gate.h"

#include <functional>
#include <memory>

namespace godwitlift {

/// An admitted request, which holds a slot at its gate until `onEnded` is called.
struct BackendRequest
{
    ForwardedCall call;
    Address address;
    absl::Time deadline;              ///< For the answer's head; the body has the stall timeout.
    std::shared_ptr<AnswerSink> sink; ///< Receives head and body; `onEnded` gets the end.
    /// Called once on a worker thread. \p reason is None only with RunOutcome::Answered;
    /// \p receivedBytes is the size of the received body.
    std::function<void(RunOutcome outcome, Reason reason, std::uint64_t receivedBytes)> onEnded;
};

/// HTTP client with a pool of worker threads. Thread-safe.
class BackendClient
{
public:
    virtual ~BackendClient() = default;
    static std::unique_ptr<BackendClient> create();
    /// Queues \p request for a worker thread.
    virtual void submit(BackendRequest request) = 0;
    /// Grows the pool so that at least \p count requests can run in parallel, up to a fixed
    /// maximum.
    virtual void ensureWorkers(std::size_t count) = 0;
};

} // namespace godwitlift
