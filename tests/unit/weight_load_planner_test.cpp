// SPDX-License-Identifier: MIT
#include "fordwood/weight_load_planner.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// A planner with the target version "v2" for engine "e".
struct PlannerFixture
{
    ManualClock clock;
    WeightLoadPlanner planner{"n1", 7, clock, {}, 1};
    WeightLoadPlanner::StoredTable stored;

    PlannerFixture() { planner.setTargets({{"e", "127.0.0.1:1", "m", "v2"}}, 2, 1, 3); }

    // Ticks until the planner returns an action of this type. Answers its requests for the engine's
    // state, with `served` as the version, and its reads of the table.
    template <typename T>
    std::optional<T> runUntilAction(const std::string &served = "v1")
    {
        for (int n = 0; n < 200; ++n) {
            planner.tick();
            for (const LoadAction &it : planner.takeActions()) {
                if (const T *action = std::get_if<T>(&it))
                    return *action;
                if (const auto *read = std::get_if<ReadEngine>(&it))
                    planner.engineRead(read->upstream, EngineState{{{"m", served}}, false});
                if (std::get_if<ReadLoadTable>(&it) != nullptr)
                    planner.tableRead(stored);
            }
            clock.advance(50ms);
        }
        return std::nullopt;
    }
};

} // namespace

TEST_CASE("weight load planner: takes a slot, orders with its fence, reads the state back and "
          "releases the slot [weights]")
{
    PlannerFixture fixture;
    const auto taken = fixture.runUntilAction<SwapLoadTable>();
    REQUIRE(taken);
    REQUIRE(taken->table.slots.size() == 1);
    fixture.stored = {taken->table, 5};
    fixture.planner.tableSwapped(true);
    const auto order = fixture.runUntilAction<OrderLoad>();
    REQUIRE(order);
    CHECK(order->fence == taken->table.slots[0].fence);
    CHECK(order->weightVersion == "v2");
    fixture.planner.orderEnded("e");
    const auto released = fixture.runUntilAction<SwapLoadTable>("v2");
    REQUIRE(released);
    CHECK(released->expectedRevision == 5);
    CHECK(released->table.slots.empty());
    fixture.planner.tableSwapped(true);
    CHECK(fixture.planner.pendingLoads() == 0);
    CHECK_FALSE(fixture.planner.isHeld("e"));
}

TEST_CASE("weight load planner: sends no order after the start time that the slot allows [weights]")
{
    PlannerFixture fixture;
    const auto taken = fixture.runUntilAction<SwapLoadTable>();
    REQUIRE(taken);
    fixture.clock.advance(6s); // the write took that long, or the process was suspended
    fixture.stored = {taken->table, 5};
    fixture.planner.tableSwapped(true);
    const auto released = fixture.runUntilAction<SwapLoadTable>();
    REQUIRE(released);
    CHECK(released->table.slots.empty());
}

TEST_CASE("weight load planner: a lost reply is resolved by reading the table [weights]")
{
    for (const bool tookEffect : {false, true}) {
        CAPTURE(tookEffect);
        PlannerFixture fixture;
        const auto taken = fixture.runUntilAction<SwapLoadTable>();
        REQUIRE(taken);
        if (tookEffect)
            fixture.stored = {taken->table, 5};
        fixture.planner.tableSwapped(std::nullopt);
        if (tookEffect)
            CHECK(fixture.runUntilAction<OrderLoad>());
        else
            CHECK(fixture.runUntilAction<SwapLoadTable>()); // it tries again
    }
}

TEST_CASE("weight load planner: a slot of another node is kept until it was seen unchanged for "
          "long enough [weights]")
{
    PlannerFixture fixture;
    fixture.stored = {{9, 2, {{9, "gone", 3, "other"}}}, 4};
    CHECK_FALSE(
        fixture.runUntilAction<SwapLoadTable>()); // runUntilAction() gives up after ten seconds
    fixture.clock.advance(35s);
    const auto taken = fixture.runUntilAction<SwapLoadTable>();
    REQUIRE(taken);
    CHECK(taken->table.slots.size() == 1);
    CHECK(taken->table.slots[0].fence == 10);
}

TEST_CASE("weight load planner: a node with an older configuration loads no older weights "
          "[weights]")
{
    PlannerFixture fixture;
    fixture.stored = {{9, 3, {}}, 4}; // another node loads for configuration 3
    CHECK_FALSE(fixture.runUntilAction<SwapLoadTable>());
}
