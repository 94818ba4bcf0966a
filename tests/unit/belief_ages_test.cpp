// SPDX-License-Identifier: MIT
// What a node that has just started, or has stood still, takes for the age of what it reads.
#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/standstill_watch.hpp"
#include "fordwood/store_news_log.hpp"

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

// A node that has heard of a store of kept context from a relay, and then becomes one itself, tells
// others what it has heard. The word of the store was some hundred milliseconds old when it came
// (800 of them in this test), and was told on as if the store had answered just then; readers
// fetch by such a word for 1.5 s.
TEST_CASE("ages: the word of a store that came from a relay is told on as old as it is [relays]")
{
    ManualClock clock;
    clock.advance(1h);
    StoreNewsLog log(clock);
    StoreNews news;
    news.store = "s";
    news.epoch = 1;
    news.age = 800ms;
    log.told(news);
    clock.advance(100ms);
    REQUIRE(log.since({}).size() == 1);
    CHECK(log.since({}).front().age == 900ms);
    // The other side: the store's own answer is news.
    news.age = 0ms;
    log.told(news);
    CHECK(log.since({}).front().age == 0ms);
}

TEST_CASE("ages: an older word of a store that comes later makes no newer one older [relays]")
{
    ManualClock clock;
    clock.advance(1h);
    StoreNewsLog log(clock);
    StoreNews news;
    news.store = "s";
    news.epoch = 1;
    log.told(news);
    clock.advance(100ms);
    news.age = 800ms;
    log.told(news);
    CHECK(log.since({}).front().age == 100ms);
}
