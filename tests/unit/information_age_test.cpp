// SPDX-License-Identifier: MIT
// The age that a node assigns to what it reads, in particular just after it started or was stalled.
#include <doctest/doctest.h>

#include "fordwood/cold_gate.hpp"
#include "fordwood/context_store_log.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/stall_detector.hpp"
#include "fordwood/upstream_directory.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

TEST_CASE("information age: a slow thread does not count as stalled [standstill]")
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

// A node that follows a context store through a relay may become a relay itself. It used to pass on
// the store's answer, some hundred milliseconds old when it arrived (800 in this test), as if the
// store had answered at that moment, although readers fetch for 1.5 s after a store's answer.
TEST_CASE("information age: an answer of a store that came through a relay is passed on with its "
          "age [relays]")
{
    ManualClock clock;
    clock.advance(1h);
    ContextStoreLog log(clock);
    ContextStoreUpdate update;
    update.store = "s";
    update.epoch = 1;
    update.age = 800ms;
    log.storeAnswered(update);
    clock.advance(100ms);
    REQUIRE(log.updatesSince({}).size() == 1);
    CHECK(log.updatesSince({}).front().age == 900ms);
    // An answer that came from the store itself has no age.
    update.age = 0ms;
    log.storeAnswered(update);
    CHECK(log.updatesSince({}).front().age == 0ms);
}

TEST_CASE("information age: an older answer of a store that arrives later does not replace a newer "
          "one's age [relays]")
{
    ManualClock clock;
    clock.advance(1h);
    ContextStoreLog log(clock);
    ContextStoreUpdate update;
    update.store = "s";
    update.epoch = 1;
    log.storeAnswered(update);
    clock.advance(100ms);
    update.age = 800ms;
    log.storeAnswered(update);
    CHECK(log.updatesSince({}).front().age == 100ms);
}

// A record contains for how long the upstream stays cold from when it was written, and a node
// counts from when it reads it. That may be too long for a node that reads late, but never too
// short.
TEST_CASE("information age: a node that reads the record of a cold upstream late limits it for "
          "longer [cold]")
{
    ManualClock clock;
    clock.advance(1h);
    ColdGate early(clock, {}, "a");
    early.setCold("u", 3s);
    clock.advance(2s);
    ColdGate late(clock, {}, "b");
    late.setCold("u", 3s);
    CHECK(early.isCold("u"));
    CHECK(late.isCold("u"));
    clock.advance(1s);
    CHECK_FALSE(early.isCold("u"));
    CHECK(late.isCold("u"));
    // But for no longer than the record says.
    clock.advance(2s);
    CHECK_FALSE(late.isCold("u"));
}

// Records of upstreams may expire while the store is unavailable, and the upstreams write them
// again within two seconds of its return; until then nodes keep upstreams whose records may have
// expired. A node that started just after the return and learned of it from a peer used to assume
// that the store had been available all along, and dropped such an upstream at once while the other
// nodes kept it.
TEST_CASE("information age: a node that starts as the store returns keeps upstreams whose records "
          "may have expired [expiry]")
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
    // An upstream whose record does not return is removed.
    clock.advance(2'500ms);
    directory.tick();
    CHECK_FALSE(directory.takesNewWork("u"));
}
