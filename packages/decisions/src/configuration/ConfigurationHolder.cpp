/// \file
/// Validates offered versions and replaces the one in force.
#include "godwitlift/configuration/ConfigurationHolder.h"

#include "godwitlift/configuration/ConfigurationCodec.h"

#include <cassert>

namespace godwitlift {

namespace {

/// Steps retained for lagging followers; a follower further behind receives a snapshot.
constexpr std::size_t MaxRetainedSteps = 64;

} // namespace

ConfigurationHolder::ConfigurationHolder()
{
    auto empty = std::make_shared<VersionedConfiguration>();
    empty->digest = digestOf(empty->content);
    m_current = std::move(empty);
}

ApplyOutcome ConfigurationHolder::applySnapshot(Version version, const Digest &digest,
                                                std::string_view text)
{
    if (version <= this->version())
        return ApplyOutcome::NotNewer;
    std::string problem;
    auto content = valueOrErrorText([&] { return decodeConfiguration(text); }, problem);
    if (!content)
        return recordRefusal(version, problem);
    const ApplyOutcome outcome = applyIfValid(version, digest, std::move(*content));
    if (outcome == ApplyOutcome::Applied)
        m_steps.clear();
    return outcome;
}

ApplyOutcome ConfigurationHolder::applyStep(const DeltaStep &step)
{
    if (step.to <= version())
        return ApplyOutcome::NotNewer;
    if (step.from != version())
        return ApplyOutcome::Gap;
    std::string problem;
    const auto delta = valueOrErrorText([&] { return decodeDelta(step.text); }, problem);
    if (!delta)
        return recordRefusal(step.to, problem);
    const ApplyOutcome outcome =
            applyIfValid(step.to, step.digest, delta->appliedTo(m_current->content));
    if (outcome == ApplyOutcome::Applied)
        retainStep(step);
    return outcome;
}

ApplyOutcome ConfigurationHolder::applyIfValid(Version version, const Digest &digest,
                                               Configuration content)
{
    assert(version > this->version());
    auto faults = content.validate();
    if (!faults.empty())
        return recordRefusal(version, InputError{ std::move(faults) }.message());
    if (digestOf(content) != digest)
        return recordRefusal(version,
                             "the digest of the content differs from the announced digest");
    auto next = std::make_shared<VersionedConfiguration>();
    next->version = version;
    next->digest = digest;
    next->content = std::move(content);
    m_current = std::move(next);
    m_snapshotText.reset();
    if (m_latestRefusal && m_latestRefusal->version <= version)
        m_latestRefusal.reset();
    return ApplyOutcome::Applied;
}

ApplyOutcome ConfigurationHolder::recordRefusal(Version version, std::string problem)
{
    m_latestRefusal = RefusedVersion{ version, std::move(problem) };
    return ApplyOutcome::Refused;
}

void ConfigurationHolder::retainStep(DeltaStep step)
{
    m_steps.push_back(std::move(step));
    if (m_steps.size() > MaxRetainedSteps)
        m_steps.pop_front();
}

std::vector<DeltaStep> ConfigurationHolder::stepsSince(Version heldVersion) const
{
    for (std::size_t i = 0; i < m_steps.size(); ++i) {
        if (m_steps[i].from == heldVersion)
            return { m_steps.begin() + static_cast<std::ptrdiff_t>(i), m_steps.end() };
    }
    return {};
}

const std::string &ConfigurationHolder::snapshotText() const
{
    if (!m_snapshotText)
        m_snapshotText = encode(m_current->content);
    return *m_snapshotText;
}

} // namespace godwitlift
