// SPDX-License-Identifier: MIT
// What a node holds in memory for callers and upstreams that read slowly.
#include <doctest/doctest.h>

#include <list>
#include <memory>

#include "fordwood/buffer_budget.hpp"

using namespace fordwood;

namespace {

constexpr BufferLimits kLimits{100'000, 1'000'000, 2'000'000};

// Fills answers of the team until no more may be read into them, like callers who stop reading.
void fillAnswers(std::list<BufferBudget::Buffer> &answers, BufferBudget &budget,
                 const std::string &team, int callers)
{
    constexpr std::size_t kPartBytes = 8'000;
    for (int n = 0; n < callers; ++n) {
        BufferBudget::Buffer &answer = answers.emplace_back(budget);
        answer.setTeam(team);
        while (budget.mayReadAnswer(answer))
            answer.add(kPartBytes);
    }
}

} // namespace

TEST_CASE("buffer budget: an answer may fill its channel's limit and no more [buffers]")
{
    BufferBudget budget(kLimits);
    BufferBudget::Buffer answer(budget);
    answer.add(kLimits.perChannel);
    CHECK(budget.mayReadAnswer(answer));
    answer.add(1);
    CHECK_FALSE(budget.mayReadAnswer(answer));
    answer.remove(1);
    CHECK(budget.mayReadAnswer(answer));
}

TEST_CASE("buffer budget: two thousand stopped readers of one team leave another team's requests "
          "and answers their space [buffers]")
{
    BufferBudget budget(kLimits);
    std::list<BufferBudget::Buffer> answers;
    fillAnswers(answers, budget, "slow", 2'000);
    constexpr std::size_t kPartBytes = 8'000;
    CHECK(budget.total() <= kLimits.perTeam + 2'000 * (BufferBudget::kAlwaysAllowed + kPartBytes));

    BufferBudget::Buffer other(budget);
    other.setTeam("other");
    other.add(BufferBudget::kAlwaysAllowed);
    CHECK(budget.mayHoldRequest(other));
    CHECK(budget.mayReadAnswer(other));
}

TEST_CASE("buffer budget: a team at its limit does not keep another from large requests [buffers]")
{
    BufferBudget budget(kLimits);
    BufferBudget::Buffer slow(budget);
    slow.setTeam("slow");
    slow.add(kLimits.perTeam + 1);
    BufferBudget::Buffer more(budget);
    more.setTeam("slow");
    more.add(500'000);
    CHECK_FALSE(budget.mayHoldRequest(more));
    more.setTeam("other");
    CHECK(budget.mayHoldRequest(more));
    more.add(499'999);
    CHECK(budget.mayHoldRequest(more));
    more.add(2);
    CHECK_FALSE(budget.mayHoldRequest(more));
}

TEST_CASE("buffer budget: bytes return with their buffer, also after a move [buffers]")
{
    BufferBudget budget(kLimits);
    {
        BufferBudget::Buffer first(budget);
        first.setTeam("t");
        first.add(700'000);
        const BufferBudget::Buffer second = std::move(first);
        CHECK(budget.total() == 700'000);
        CHECK(second.bytes() == 700'000);
    }
    CHECK(budget.total() == 0);
    BufferBudget::Buffer next(budget);
    next.setTeam("t");
    next.add(kLimits.perTeam);
    CHECK(budget.mayHoldRequest(next));
}

// Guards against writes to a destroyed budget: at the end of the process, the event loop destroys
// unfinished writes after it.
TEST_CASE("buffer budget: a buffer may outlive its budget [buffers]")
{
    auto budget = std::make_unique<BufferBudget>(kLimits);
    BufferBudget::Buffer answer(*budget);
    answer.setTeam("t");
    answer.add(1'000);
    budget.reset();
    answer.remove(400);
    CHECK(answer.bytes() == 600);
}
