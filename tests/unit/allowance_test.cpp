// SPDX-License-Identifier: MIT
#include <doctest/doctest.h>

#include <random>

#include "fordwood/allowance_allocator.hpp"
#include "fordwood/ceiling_gate.hpp"
#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

AllowanceRequest requestFrom(std::uint64_t holder, std::size_t wanted)
{
    return {holder, 1, "t", 0, wanted};
}

} // namespace

TEST_CASE("allowances: a new owner grants nothing until its predecessor's allowances have expired "
          "[ceiling]")
{
    ManualClock clock;
    AllowanceAllocator allocator(clock, {});
    allocator.setPools({{"t", 10}});
    CHECK(allocator.allocate(requestFrom(1, 4)).amount == 0);
    clock.advance(3s);
    CHECK(allocator.allocate(requestFrom(1, 4)).amount == 4);
    CHECK(allocator.allocate(AllowanceRequest{1, 1, "unknown", 0, 4}).amount == 0);
}

TEST_CASE(
    "allowances: the allowance of a silent holder returns to the pool when it expires [ceiling]")
{
    ManualClock clock;
    AllowanceAllocator allocator(clock, {});
    allocator.setPools({{"t", 10}});
    clock.advance(3s);
    CHECK(allocator.allocate(requestFrom(1, 10)).amount == 10);
    CHECK(allocator.allocate(requestFrom(2, 10)).amount == 0);
    clock.advance(2s);
    CHECK(allocator.allocate(requestFrom(1, 10)).amount == 5); // the second holder has asked
    CHECK(allocator.allocate(requestFrom(2, 10)).amount == 0); // the first one's old grant is valid
    clock.advance(1s);
    CHECK(allocator.allocate(requestFrom(2, 10)).amount == 5);
}

TEST_CASE("allowances: the sum never exceeds the pool, for any order of requests [ceiling]")
{
    ManualClock clock;
    AllowanceAllocator allocator(clock, {});
    std::mt19937_64 random(7);
    std::size_t pool = 20;
    allocator.setPools({{"t", pool}});
    for (int it = 0; it < 20'000; ++it) {
        clock.advance(std::chrono::milliseconds(random() % 200));
        const Allowance part = allocator.allocate(requestFrom(random() % 6, random() % 15));
        CHECK(part.amount <= pool);
        CHECK(allocator.granted("t") <= pool);
    }
}

TEST_CASE("ceiling gate: the base share needs no request, the rest needs an allowance [ceiling]")
{
    ManualClock clock;
    CeilingGate gate(clock, {});
    gate.setBases({{"t", 2}});
    CHECK(gate.enter("t"));
    CHECK(gate.enter("t"));
    CHECK_FALSE(gate.enter("t"));
    REQUIRE(gate.mayRequest("t"));
    const AllowanceRequest first = gate.startRequest("t", 1);
    CHECK(first.used == 0);
    CHECK(first.wanted == 2); // one waiting call and one in reserve
    gate.onAnswer("t", first.requestId, {1, 3s});
    CHECK(gate.enter("t"));
    CHECK_FALSE(gate.enter("t"));
    CHECK_FALSE(gate.mayRequest("t")); // the owner has just granted less than requested
    clock.advance(200ms);
    CHECK(gate.mayRequest("t"));
    for (int it = 0; it < 100; ++it)
        CHECK(gate.enter("free")); // a team without a ceiling
}

TEST_CASE("ceiling gate: an allowance expires counted from its request, and late answers are "
          "ignored [ceiling]")
{
    ManualClock clock;
    CeilingGate gate(clock, {});
    gate.setBases({{"t", 0}});
    const AllowanceRequest late = gate.startRequest("t", 1);
    clock.advance(1s);
    gate.onNoAnswer("t");
    const AllowanceRequest second = gate.startRequest("t", 1);
    gate.onAnswer("t", late.requestId, {5, 3s}); // would appear to last longer than it does
    CHECK_FALSE(gate.enter("t"));
    clock.advance(1s);
    gate.onAnswer("t", second.requestId, {1, 3s});
    CHECK(gate.enter("t"));
    clock.advance(1s);
    CHECK(gate.dueForRenewal().size() == 1);
    gate.leave("t");
    CHECK(gate.dueForRenewal().empty());
    clock.advance(1s); // three seconds after the request, two after the answer
    CHECK_FALSE(gate.enter("t"));
}
