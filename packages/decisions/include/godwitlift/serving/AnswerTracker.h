/// \file
/// Checks that an answer received in parts is complete and makes progress.
#pragma once

#include "godwitlift/base/StrongId.h"
#include "godwitlift/base/Verdict.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace godwitlift {

/// Tracks one answer from its head to its end. Not thread-safe.
///
/// Every received byte of the body is progress. There is no limit on the total time, so that a long
/// transfer that makes progress is never aborted.
class AnswerTracker final
{
public:
    AnswerTracker(AttemptId expected, absl::Duration stallTimeout, absl::Time now)
        : m_expectedAttempt(expected)
        , m_stallTimeout(stallTimeout)
        , m_lastProgress(now)
    {}

    /// \p attempt is the attempt that the head belongs to, \p length the body's length in bytes, if
    /// known. Returns a reason other than None if the answer must be discarded.
    Reason onHead(AttemptId attempt, std::optional<std::uint64_t> length, absl::Time now);
    Reason onBody(std::uint64_t bytes, absl::Time now);
    /// Subtracts a part that could not be processed yet and will be delivered again.
    void rollBackBody(std::uint64_t bytes) { m_receivedBytes -= bytes; }
    /// The sender has signalled the end of the body.
    Reason onEnd(absl::Time now);
    /// None, or AnswerStalled if there was no progress within the stall timeout.
    Reason checkProgress(absl::Time now) const;

    bool isComplete() const { return m_isComplete; }
    std::uint64_t receivedBytes() const { return m_receivedBytes; }

private:
    AttemptId m_expectedAttempt;
    absl::Duration m_stallTimeout;
    absl::Time m_lastProgress;
    bool m_isHeadSeen = false;
    std::optional<std::uint64_t> m_expectedBytes;
    std::uint64_t m_receivedBytes = 0;
    bool m_isComplete = false;
};

} // namespace godwitlift
