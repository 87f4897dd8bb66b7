/// \file
/// In-memory platform with injected faults.
#pragma once

#include "godwitlift/base/RandomSource.h"
#include "godwitlift/platform/InMemoryPlatform.h"

#include <absl/time/time.h>

#include <optional>

namespace godwitlift::test {

/// Executes requests at once; the caller delivers the answer after `latency`.
class FakePlatform final
{
public:
    bool isDown = false;
    absl::Duration latency = absl::Milliseconds(5);
    double answerLossProbability = 0; ///< Probability that the answer to an executed write is lost.
    double requestLossProbability = 0; ///< Probability that a request is lost before execution.
    std::uint64_t readCount = 0;
    std::uint64_t writeCount = 0;

    /// Empty if the request or the answer is lost.
    std::optional<PlatformAnswer> execute(const PlatformRequest &request, RandomSource &random)
    {
        if (isDown || random.uniformReal() < requestLossProbability) {
            PlatformAnswer unavailable;
            unavailable.id = request.id;
            unavailable.outcome = PlatformOutcome::Unavailable;
            return isDown ? std::optional(unavailable) : std::nullopt;
        }
        const bool isWrite = std::holds_alternative<Transact>(request.operation)
                             || std::holds_alternative<PutObject>(request.operation);
        ++(isWrite ? writeCount : readCount);
        PlatformAnswer answer = godwitlift::execute(request, m_table, m_objects);
        if (isWrite && random.uniformReal() < answerLossProbability)
            return std::nullopt;
        return answer;
    }

    InMemoryTableService &table() { return m_table; }

private:
    InMemoryTableService m_table;
    InMemoryObjectStore m_objects;
};

} // namespace godwitlift::test
