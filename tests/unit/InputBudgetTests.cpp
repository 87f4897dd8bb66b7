/// \file
/// Who yields when a node holds too many bytes of unfinished messages.
#include "godwitlift/input/InputBudget.h"

#include <catch2/catch.hpp>

using namespace godwitlift;

namespace {

const absl::Time Start = absl::FromUnixSeconds(1000);

} // namespace

TEST_CASE("a body that makes progress outlasts larger ones that stand still")
{
    InputBudget budget(1'000'000);
    const auto stalled = budget.add();
    const auto older = budget.add();
    const auto progressing = budget.add();
    const auto small = budget.add();
    budget.setHeld(stalled, 400'000, YieldOrder::Unfinished, Start + absl::Seconds(2));
    budget.setHeld(older, 400'000, YieldOrder::Unfinished, Start);
    budget.setHeld(progressing, 190'000, YieldOrder::Unfinished, Start + absl::Seconds(9));
    budget.setHeld(small, 2'000, YieldOrder::Unfinished, Start);
    CHECK(budget.chooseYielding(Start + absl::Seconds(10)).empty());
    budget.setHeld(progressing, 360'000, YieldOrder::Unfinished, Start + absl::Seconds(9));
    CHECK(budget.chooseYielding(Start + absl::Seconds(10))
          == std::vector<InputBudget::HolderId>{ older });
}

TEST_CASE("what waits yields after all that is unfinished, and what is kept never")
{
    InputBudget budget(1'000'000);
    const auto kept = budget.add();
    const auto waiting = budget.add();
    const auto unfinished = budget.add();
    budget.setHeld(kept, 700'000, YieldOrder::Never, Start);
    budget.setHeld(waiting, 400'000, YieldOrder::Waiting, Start);
    budget.setHeld(unfinished, 10'000, YieldOrder::Unfinished, Start + absl::Seconds(1));
    CHECK(budget.chooseYielding(Start + absl::Seconds(1))
          == std::vector<InputBudget::HolderId>{ unfinished, waiting });
    budget.remove(waiting);
    CHECK(budget.heldBytes() == 710'000);
    CHECK(budget.add() == waiting);
    CHECK(budget.heldBytes() == 710'000);
    budget.setHeld(kept, 2'000'000, YieldOrder::Never, Start);
    CHECK(budget.chooseYielding(Start + absl::Seconds(1))
          == std::vector<InputBudget::HolderId>{ unfinished });
}

TEST_CASE("the limit of a small host holds one body of the largest size")
{
    constexpr std::size_t Largest = 64 * 1024 * 1024;
    CHECK(InputBudget::limitOf(160'000'000, Largest) > Largest);
    CHECK(InputBudget::limitOf(160'000'000, 1024 * 1024) == 48'000'000);
}

// Guards against a large body and the answers to other clients that do not fit into the memory
// together, and against a body that leaves no room for any answer.
TEST_CASE("unsent output has its share of the memory, and less while large bodies are held")
{
    constexpr std::size_t Memory = 160'000'000;
    CHECK(InputBudget::outputLimitOf(Memory, 0) == 32'000'000);
    CHECK(InputBudget::outputLimitOf(Memory, 100'000'000) == 20'000'000);
    CHECK(InputBudget::outputLimitOf(Memory, 150'000'000) == InputBudget::OutputReserveBytes);
}
