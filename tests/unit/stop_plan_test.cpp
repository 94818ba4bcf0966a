// SPDX-License-Identifier: MIT
#include <doctest/doctest.h>

#include "fordwood/stop_plan.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kSignal{1'000s};

} // namespace

// Guards against times that count from when a process without processor time takes the signal.
TEST_CASE("stop plan: all times count from the signal, however late it is taken [stop]")
{
    StopPlan plan(8s);
    CHECK_FALSE(plan.hasBegun());
    CHECK(plan.mayTake(kSignal + 1h, kSignal));
    plan.begin(kSignal);
    CHECK(plan.endsAt() == kSignal + 7'500ms);
    CHECK(plan.elapsed(kSignal + 1'500ms) == 1'500ms);
    CHECK(plan.mayTake(kSignal + 12s, kSignal + 2'700ms));
    CHECK_FALSE(plan.mayTake(kSignal + 7'501ms, kSignal + 2'800ms));
    CHECK(plan.mayTake(plan.endsAt(), kSignal + 7s));
    CHECK_FALSE(plan.isOutOfRotation(kSignal + 3'100ms));
    CHECK(plan.isOutOfRotation(kSignal + 3'200ms));
}

TEST_CASE("stop plan: a short stop keeps a quarter at most for its end [stop]")
{
    StopPlan plan(1s);
    plan.begin(kSignal);
    CHECK(plan.endsAt() == kSignal + 750ms);
}
