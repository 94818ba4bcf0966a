// SPDX-License-Identifier: MIT
// What nodes pass on of each other's orders to engines.
#include "node/order_words.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

OrderWord word(std::chrono::milliseconds age, std::chrono::milliseconds lastOrder)
{
    return {age, lastOrder, {"e"}, {}};
}

} // namespace

TEST_CASE("order words: nodes that never order are not kept and not passed on [sums]")
{
    ManualClock clock;
    OrderWords words(clock);
    for (int n = 0; n < 300; ++n)
        CHECK_FALSE(words.note("n" + std::to_string(n), {}));
    CHECK(words.toPassOn().empty());
}

TEST_CASE("order words: the newest word counts, however it came here [sums]")
{
    ManualClock clock;
    clock.advance(10s);
    OrderWords words(clock);
    CHECK(words.note("a", word(300ms, 50ms)));
    CHECK(words.note("a", word(20ms, 10ms)));
    CHECK_FALSE(words.note("a", word(200ms, 50ms))); // an echo
    CHECK(words.lastOrder("a") == clock.now() - 30ms);
    CHECK(words.lastSaid("a") == clock.now() - 20ms);
    CHECK_FALSE(words.lastOrder("b"));
}

TEST_CASE("order words: a word grows older while it is passed on, and ends [sums]")
{
    ManualClock clock;
    clock.advance(10s);
    OrderWords words(clock);
    words.note("a", word(0ms, 50ms));
    clock.advance(400ms);
    REQUIRE(words.toPassOn().contains("a"));
    CHECK(words.toPassOn().at("a").age == 400ms);
    CHECK(words.toPassOn().at("a").lastOrder == 50ms);
    clock.advance(3s);
    CHECK(words.toPassOn().empty());
}

TEST_CASE(
    "order words: the word that nothing loads any more takes the place of the last one [sums]")
{
    ManualClock clock;
    clock.advance(10s);
    OrderWords words(clock);
    words.note("a", word(0ms, 50ms));
    clock.advance(10ms);
    CHECK(words.note("a", {}));
    CHECK(words.toPassOn().empty());
}
