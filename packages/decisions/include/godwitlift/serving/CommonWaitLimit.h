/// \file
/// Bound on the waits at a gate that keeps requests with distant objectives from taking all room.
#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace godwitlift {

/// Slack of the requests of one rank: the time from their arrival until their objective.
///
/// Above the room for all, a queue grows until new requests are refused for their wait. With a
/// limit of its own for each request, those with much slack fill the queue and the others find none
/// that they could wait for. While that happens, all requests of the rank are to be refused at the
/// wait at which the others are. Not thread-safe.
class CommonWaitLimit final
{
public:
    /// Length of the windows after which endWindow() is to be called.
    static constexpr absl::Duration Window = absl::Seconds(1);

    void onArrival(absl::Duration slack);
    /// A request was refused for its wait.
    void onRefused(absl::Duration slack);
    void endWindow();
    /// Slack by which the wait of all requests is limited; none unless requests with little slack
    /// were refused in this window or the previous one.
    std::optional<absl::Duration> slack() const;

private:
    std::vector<absl::Duration> m_samples; ///< Of the latest arrivals; a ring.
    std::size_t m_nextSample = 0;
    /// Slack that most requests reach; infinite until the first window has ended.
    absl::Duration m_shortSlack = absl::InfiniteDuration();
    bool m_hasRefused = false; ///< A request with at least m_shortSlack, in this window.
    bool m_hadRefused = false; ///< The same in the previous window.
};

} // namespace godwitlift
