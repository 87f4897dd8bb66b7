/// \file
/// Platform in memory whose faults a test commands.
#pragma once

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/platform/InMemoryPlatform.h"

#include <absl/time/time.h>

#include <optional>

namespace godwitlift::test {

/// Executes requests at once and says when, if ever, the answer arrives.
class FakePlatform final
{
public:
    bool isDown = false;
    absl::Duration delay = absl::Milliseconds(5);
    double loseAnswers = 0;  ///< Probability that a write's answer is lost after it took effect.
    double loseRequests = 0; ///< Probability that a request is lost before it takes effect.
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

    /// Empty if no answer will come.
    std::optional<PlatformAnswer> execute(const PlatformRequest &request, RandomSource &random)
    {
        if (isDown || random.uniformReal() < loseRequests) {
            PlatformAnswer refused;
            refused.id = request.id;
            refused.outcome = PlatformOutcome::Unavailable;
            return isDown ? std::optional(refused) : std::nullopt;
        }
        const bool isWrite = std::holds_alternative<Transact>(request.operation)
                             || std::holds_alternative<PutObject>(request.operation);
        ++(isWrite ? writes : reads);
        PlatformAnswer answer = godwitlift::execute(request, m_table, m_objects);
        if (isWrite && random.uniformReal() < loseAnswers)
            return std::nullopt;
        return answer;
    }

    InMemoryTableService &table() { return m_table; }

private:
    InMemoryTableService m_table;
    InMemoryObjectStore m_objects;
};

} // namespace godwitlift::test
