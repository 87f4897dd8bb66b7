/// \file
/// Quantile of the slack of recent requests.
#include "godwitlift/serving/CommonWaitLimit.h"

#include <algorithm>
#include <utility>

namespace godwitlift {

namespace {

/// Share of the requests with less slack than the one that sets the limit. Some have lost time on
/// their way here, which says nothing about their kind.
constexpr double ShortSlackQuantile = 0.1;
/// Latest requests from which the quantile is taken.
constexpr std::size_t SampleCount = 256;

} // namespace

void CommonWaitLimit::onArrival(absl::Duration slack)
{
    if (m_samples.size() < SampleCount)
        m_samples.push_back(slack);
    else
        m_samples[m_nextSample] = slack;
    m_nextSample = (m_nextSample + 1) % SampleCount;
}

void CommonWaitLimit::onRefused(absl::Duration slack)
{
    m_hasRefused = m_hasRefused || slack >= m_shortSlack;
}

void CommonWaitLimit::endWindow()
{
    m_hadRefused = std::exchange(m_hasRefused, false);
    if (m_samples.empty())
        return;
    std::vector<absl::Duration> samples = m_samples;
    const auto quantile =
            samples.begin()
            + static_cast<std::ptrdiff_t>(ShortSlackQuantile * static_cast<double>(samples.size()));
    std::nth_element(samples.begin(), quantile, samples.end());
    m_shortSlack = *quantile;
}

std::optional<absl::Duration> CommonWaitLimit::slack() const
{
    return m_hasRefused || m_hadRefused ? std::optional(m_shortSlack) : std::nullopt;
}

} // namespace godwitlift
