/// \file
/// Sends started requests to backend servers on this host.
#pragma once

#include "godwitlift/adapters/AnswerSink.h"
#include "godwitlift/serving/Gate.h"

#include <functional>
#include <memory>

namespace godwitlift {

/// A request that holds a slot at its gate.
struct BackendJob
{
    ForwardedCall call;
    Address address;
    absl::Time deadline;              ///< For the answer's head; afterwards progress counts.
    std::shared_ptr<AnswerSink> sink; ///< Takes head and body; the end goes to `ended`.
    /// Called once on a worker thread. \p reason is None only with RunOutcome::Answered; \p
    /// received counts the bytes of the body.
    std::function<void(RunOutcome end, Reason reason, std::uint64_t received)> ended;
};

/// Worker pool over HTTP. Thread-safe.
class BackendClient
{
public:
    virtual ~BackendClient() = default;
    static std::unique_ptr<BackendClient> create();
    virtual void run(BackendJob job) = 0;
    /// Makes sure that at least \p count jobs can run at a time.
    virtual void ensureWorkers(std::size_t count) = 0;
};

} // namespace godwitlift
