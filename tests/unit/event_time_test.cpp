// SPDX-License-Identifier: MIT
// What a node may believe of the age of what it has heard of.
#include <doctest/doctest.h>

#include "fordwood/event_time.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/replica_freshness.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{1h};

} // namespace

TEST_CASE("event time: who has only heard of it learns from one who was there [beliefs]")
{
    EventTime found{std::nullopt, kStart + 10s};
    CHECK(found.narrow(EventTime::at(kStart + 2s)));
    CHECK(found == EventTime::at(kStart + 2s));
    CHECK_FALSE(found.narrow({std::nullopt, kStart + 11s}));
}

TEST_CASE("event time: a word that calls it younger than it is known to be tells nothing [beliefs]")
{
    EventTime found{std::nullopt, kStart};
    CHECK_FALSE(found.narrow(EventTime::at(kStart + 3s)));
    CHECK_FALSE(found.earliest);
    CHECK(found.latest == kStart);
    EventTime dated{kStart - 5s, kStart};
    CHECK_FALSE(dated.narrow(EventTime::at(kStart + 3s)));
    CHECK(dated == EventTime{kStart - 5s, kStart});
}

// Words take a while on their way: one from a node that was there seems a little later.
TEST_CASE("event time: a word that is a little late counts as if it came at once [beliefs]")
{
    EventTime found{std::nullopt, kStart};
    found.narrow(EventTime::at(kStart + 200ms));
    CHECK(found == EventTime::at(kStart));
}

TEST_CASE("event time: words that come back again and again move nothing [beliefs]")
{
    constexpr Duration kDelay = 90ms;
    EventTime one{kStart, kStart + 4s};
    EventTime other{std::nullopt, kStart + 5s};
    for (int n = 0; n < 100; ++n) {
        other.narrow({*one.earliest + kDelay, one.latest + kDelay});
        one.narrow({*other.earliest + kDelay, other.latest + kDelay});
    }
    CHECK(one.earliest == kStart);
    CHECK(*other.earliest <= kStart + kDelay);
}

TEST_CASE("freshness: a copy is whole as of the question, not of the answer [beliefs]")
{
    ManualClock clock;
    ReplicaFreshness freshness(clock);
    CHECK_FALSE(freshness.completeAsOf());
    CHECK_FALSE(freshness.ageFromStore());
    const TimePoint asked = clock.now();
    clock.advance(800ms);
    freshness.storeAnswered(asked);
    CHECK(freshness.completeAsOf() == asked);
    CHECK(freshness.ageFromStore() == 800ms);
    freshness.storeAnswered(asked - 5s); // a watch that waited for long
    CHECK(freshness.completeAsOf() == asked);
}

TEST_CASE("freshness: a call that waited for news dates them [beliefs]")
{
    ManualClock clock;
    ReplicaFreshness freshness(clock);
    for (int n = 0; n < 50; ++n) {
        clock.advance(100ms);
        freshness.tick();
    }
    freshness.storeHadNoChanges(clock.now() - 2s);
    CHECK(freshness.completeAsOf() == clock.now() - 2s);
    clock.advance(3s); // the process stood still, and the next answer lay in its socket
    const auto before = freshness.completeAsOf();
    freshness.storeHadNoChanges(clock.now() - 2s);
    CHECK(freshness.completeAsOf() == before);
}

TEST_CASE("freshness: peers' words count from when the store told them [beliefs]")
{
    ManualClock clock;
    ReplicaFreshness freshness(clock);
    freshness.peerHadNoChanges(300ms);
    CHECK(freshness.completeAsOf() == clock.now() - 300ms);
    CHECK_FALSE(freshness.ageFromStore()); // only its own word is told on
}

TEST_CASE("freshness: words that lay in the sockets of a process that stood still say nothing "
          "[beliefs][standstill]")
{
    ManualClock clock;
    ReplicaFreshness freshness(clock);
    freshness.tick();
    freshness.peerHadNoChanges(0ms);
    const auto before = freshness.completeAsOf();
    clock.advance(3s);
    freshness.peerHadNoChanges(0ms);
    CHECK(freshness.completeAsOf() == before);
    freshness.tick();
    freshness.peerHadNoChanges(0ms);
    CHECK(freshness.completeAsOf() == before);
    for (int n = 0; n < 5; ++n) {
        clock.advance(100ms);
        freshness.tick();
    }
    freshness.peerHadNoChanges(0ms);
    CHECK(freshness.completeAsOf() == clock.now());
}
