/// \file
/// Judges whether an answer that arrives in parts is whole and makes progress.
#pragma once

#include "godwitlift/base/StrongId.h"
#include "godwitlift/base/Verdict.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace godwitlift {

/// Follows one answer from its head to its end. Not thread-safe.
///
/// Progress is any byte of the body; the total time does not count, so that a long transfer that
/// moves is never cut.
class AnswerTracker final
{
public:
    AnswerTracker(AttemptId expected, absl::Duration stallTimeout, absl::Time now)
        : m_expected(expected)
        , m_stallTimeout(stallTimeout)
        , m_progress(now)
    {}

    /// The head names the attempt it answers and, if known, the body's length in bytes.
    /// Returns a reason other than None if the answer must be dropped.
    Reason head(AttemptId attempt, std::optional<std::uint64_t> length, absl::Time now);
    Reason body(std::uint64_t bytes, absl::Time now);
    /// The last part was not taken and will come again.
    void takeBack(std::uint64_t bytes) { m_received -= bytes; }
    /// The sender says the body is complete.
    Reason end(absl::Time now);
    /// None, or AnswerStalled if nothing has moved for too long.
    Reason check(absl::Time now) const;

    bool isWhole() const { return m_whole; }
    std::uint64_t received() const { return m_received; }

private:
    AttemptId m_expected;
    absl::Duration m_stallTimeout;
    absl::Time m_progress; ///< Time of the last part.
    bool m_headSeen = false;
    std::optional<std::uint64_t> m_length;
    std::uint64_t m_received = 0;
    bool m_whole = false;
};

} // namespace godwitlift
