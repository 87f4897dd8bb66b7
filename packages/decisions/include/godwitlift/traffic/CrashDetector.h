/// \file
/// Decides which requests were in progress when a backend server ended.
#pragma once

#include "godwitlift/traffic/CrashHistory.h"

#include <absl/time/time.h>

#include <vector>

namespace godwitlift {

/// Collects the requests whose answers were lost until it is known whether their server ended. Not
/// thread-safe.
///
/// A lost answer alone does not show a crash. The server has ended if it accepts no connection, or
/// another process has taken its place, before it answers any request that began after the loss.
class CrashDetector final
{
public:
    /// A server that has ended is noticed by the next request to it. After this time its end no
    /// longer counts as the cause of a lost answer.
    static constexpr absl::Duration ConfirmationTime = absl::Seconds(10);

    /// The server \p process sent no complete answer to a request that it had received. Ignored
    /// without a digest: nodes of earlier versions send none, so that all their requests would
    /// count as one.
    void onAnswerLost(ContentDigest content, ServerProcess process, absl::Time now);
    /// The server answers a request that began at \p started.
    void onAnswer(absl::Time started);
    /// The server has ended. Returns the requests that it ran at that time.
    std::vector<ServerCrash> onServerEnded(absl::Time now);

private:
    struct LostAnswer
    {
        ServerCrash crash;
        absl::Time time;
    };

    std::vector<LostAnswer> m_lostAnswers;
};

} // namespace godwitlift
