// SPDX-License-Identifier: MIT
// What a node that has just started, or has stood still, takes for the age of what it reads.
#include <doctest/doctest.h>

#include "fordwood/cold_gate.hpp"
#include "fordwood/context_store_log.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/stall_detector.hpp"
#include "fordwood/upstream_directory.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

TEST_CASE("ages: a thread that turns slowly has not stood still [standstill]")
{
    ManualClock clock;
    clock.advance(1h);
    StallDetector detector(clock);
    CHECK(detector.poll() == 0ms);
    clock.advance(999ms);
    CHECK(detector.poll() == 0ms);
    clock.advance(3s);
    CHECK(detector.poll() == 3s);
    CHECK(detector.poll() == 0ms);
}

// A node that has heard of a store of kept context from a relay, and then becomes one itself, tells
// others what it has heard. The word of the store was some hundred milliseconds old when it came
// (800 of them in this test), and was told on as if the store had answered just then; readers
// fetch by such a word for 1.5 s.
TEST_CASE("ages: the word of a store that came from a relay is told on as old as it is [relays]")
{
    ManualClock clock;
    clock.advance(1h);
    ContextStoreLog log(clock);
    StoreNews news;
    news.store = "s";
    news.epoch = 1;
    news.age = 800ms;
    log.storeAnswered(news);
    clock.advance(100ms);
    REQUIRE(log.updatesSince({}).size() == 1);
    CHECK(log.updatesSince({}).front().age == 900ms);
    // The other side: the store's own answer is news.
    news.age = 0ms;
    log.storeAnswered(news);
    CHECK(log.updatesSince({}).front().age == 0ms);
}

TEST_CASE("ages: an older word of a store that comes later makes no newer one older [relays]")
{
    ManualClock clock;
    clock.advance(1h);
    ContextStoreLog log(clock);
    StoreNews news;
    news.store = "s";
    news.epoch = 1;
    log.storeAnswered(news);
    clock.advance(100ms);
    news.age = 800ms;
    log.storeAnswered(news);
    CHECK(log.updatesSince({}).front().age == 100ms);
}

// Ruled out: a record says for how long the upstream stays cold from its writing on, and a node
// counts from its reading. That is too long for who reads late, never too short.
TEST_CASE("ages: who reads the record of a cold upstream late is careful for longer [cold]")
{
    ManualClock clock;
    clock.advance(1h);
    ColdGate early(clock, {}, "a");
    early.noteCold("u", 3s);
    clock.advance(2s);
    ColdGate late(clock, {}, "b");
    late.noteCold("u", 3s);
    CHECK(early.isCold("u"));
    CHECK(late.isCold("u"));
    clock.advance(1s);
    CHECK_FALSE(early.isCold("u"));
    CHECK(late.isCold("u"));
    // The other side: no longer than the record says.
    clock.advance(2s);
    CHECK_FALSE(late.isCold("u"));
}

// Records of upstreams run out while the store is away, and their upstreams write them anew within
// two seconds of its return; until then nodes keep what may have run out. A node that started just
// after the return, and hears so from a peer, takes the store for having answered since ever: it
// drops such an upstream at once (1 of 1), where the others keep it.
TEST_CASE("ages: a node that starts as the store returns keeps what may have run out [expiry]")
{
    ManualClock clock;
    clock.advance(1h);
    UpstreamDirectory directory(clock, {});
    UpstreamRecord record;
    record.instanceId = "u";
    record.service = "s";
    directory.put(record);
    directory.remove("u", true);
    CHECK(directory.tick().empty());
    CHECK(directory.takesNewWork("u"));
    // The other side: what does not come back is gone.
    clock.advance(2'500ms);
    directory.tick();
    CHECK_FALSE(directory.takesNewWork("u"));
}
