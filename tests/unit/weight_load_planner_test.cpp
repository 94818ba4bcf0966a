// SPDX-License-Identifier: MIT
#include "fordwood/weight_load_planner.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// One planner that must bring engine "e" to "v2".
struct Bench
{
    ManualClock clock;
    WeightLoadPlanner planner{"n1", 7, clock, {}, 1};
    WeightLoadPlanner::StoredTable stored;

    Bench() { planner.setTargets({{"e", "127.0.0.1:1", "m", "v2"}}, 2, 1, 3); }

    // Ticks until the planner has done something of the kind; answers reads of the engine.
    template <typename T>
    std::optional<T> next(const std::string &served = "v1")
    {
        for (int n = 0; n < 200; ++n) {
            planner.tick();
            for (const LoadAction &it : planner.takeActions()) {
                if (const T *wanted = std::get_if<T>(&it))
                    return *wanted;
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

TEST_CASE("load planner: takes a slot, orders with its fence, reads back, gives it up [weights]")
{
    Bench bench;
    const auto taken = bench.next<SwapLoadTable>();
    REQUIRE(taken);
    REQUIRE(taken->table.slots.size() == 1);
    bench.stored = {taken->table, 5};
    bench.planner.tableSwapped(true);
    const auto order = bench.next<OrderLoad>();
    REQUIRE(order);
    CHECK(order->fence == taken->table.slots[0].fence);
    CHECK(order->weightVersion == "v2");
    bench.planner.orderEnded("e");
    const auto released = bench.next<SwapLoadTable>("v2");
    REQUIRE(released);
    CHECK(released->expectedRevision == 5);
    CHECK(released->table.slots.empty());
    bench.planner.tableSwapped(true);
    CHECK(bench.planner.pending() == 0);
    CHECK_FALSE(bench.planner.isHeld("e"));
}

TEST_CASE("load planner: no order after the time in which its slot lets it start [weights]")
{
    Bench bench;
    const auto taken = bench.next<SwapLoadTable>();
    REQUIRE(taken);
    bench.clock.advance(6s); // the write took so long, or the process was paused
    bench.stored = {taken->table, 5};
    bench.planner.tableSwapped(true);
    const auto released = bench.next<SwapLoadTable>();
    REQUIRE(released);
    CHECK(released->table.slots.empty());
}

TEST_CASE("load planner: a lost reply is settled by reading back [weights]")
{
    for (const bool tookEffect : {false, true}) {
        CAPTURE(tookEffect);
        Bench bench;
        const auto taken = bench.next<SwapLoadTable>();
        REQUIRE(taken);
        if (tookEffect)
            bench.stored = {taken->table, 5};
        bench.planner.tableSwapped(std::nullopt);
        if (tookEffect)
            CHECK(bench.next<OrderLoad>());
        else
            CHECK(bench.next<SwapLoadTable>()); // it tries again
    }
}

TEST_CASE("load planner: another's slot is respected until it was seen unchanged long enough "
          "[weights]")
{
    Bench bench;
    bench.stored = {{9, 2, {{9, "gone", 3, "other"}}}, 4};
    CHECK_FALSE(bench.next<SwapLoadTable>()); // ten seconds
    bench.clock.advance(35s);
    const auto taken = bench.next<SwapLoadTable>();
    REQUIRE(taken);
    CHECK(taken->table.slots.size() == 1);
    CHECK(taken->table.slots[0].fence == 10);
}

TEST_CASE("load planner: a node that is behind does not load older weights [weights]")
{
    Bench bench;
    bench.stored = {{9, 3, {}}, 4}; // somebody loads for configuration 3
    CHECK_FALSE(bench.next<SwapLoadTable>());
}
