// SPDX-License-Identifier: MIT
// What a node that has just started, or has stood still, takes for the age of what it reads.
#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/standstill_watch.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

TEST_CASE("ages: a thread that turns slowly has not stood still [standstill]")
{
    ManualClock clock;
    clock.advance(1h);
    StandstillWatch watch(clock);
    CHECK(watch.turn() == 0ms);
    clock.advance(999ms);
    CHECK(watch.turn() == 0ms);
    clock.advance(3s);
    CHECK(watch.turn() == 3s);
    CHECK(watch.turn() == 0ms);
}
