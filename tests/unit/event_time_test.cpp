// SPDX-License-Identifier: MIT
// Which age a node may assume for an event that it learned of, and when its replica was complete.
#include <doctest/doctest.h>

#include "fordwood/event_time.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/replica_freshness.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

using Evidence = ReplicaFreshness::Evidence;

const TimePoint kStart{1h};
const StoreVersion kVersion{1, 7}; // that the replica has reached

} // namespace

TEST_CASE("event time: a node that did not see the event takes the bounds of one that did "
          "[beliefs]")
{
    EventTime found{std::nullopt, kStart + 10s};
    CHECK(found.narrow(EventTime::at(kStart + 2s)));
    CHECK(found == EventTime::at(kStart + 2s));
    CHECK_FALSE(found.narrow({std::nullopt, kStart + 11s}));
}

TEST_CASE("event time: an earliest time after the known latest one is ignored [beliefs]")
{
    EventTime found{std::nullopt, kStart};
    CHECK_FALSE(found.narrow(EventTime::at(kStart + 3s)));
    CHECK_FALSE(found.earliest);
    CHECK(found.latest == kStart);
    EventTime dated{kStart - 5s, kStart};
    CHECK_FALSE(dated.narrow(EventTime::at(kStart + 3s)));
    CHECK(dated == EventTime{kStart - 5s, kStart});
}

// Messages are delayed, so the time from a node that saw the event appears a little later.
TEST_CASE("event time: an earliest time that is slightly late is limited to the latest one "
          "[beliefs]")
{
    EventTime found{std::nullopt, kStart};
    found.narrow(EventTime::at(kStart + 200ms));
    CHECK(found == EventTime::at(kStart));
}

TEST_CASE("event time: bounds that two nodes send each other repeatedly do not drift [beliefs]")
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

TEST_CASE("freshness: a replica is complete as of the time of the call, not of the answer "
          "[beliefs]")
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
    freshness.storeAnswered(asked - 5s); // a watch call that waited for a long time
    CHECK(freshness.completeAsOf() == asked);
}

TEST_CASE("freshness: a watch call without changes shows completeness, unless the process was "
          "stalled [beliefs]")
{
    ManualClock clock;
    ReplicaFreshness freshness(clock);
    for (int n = 0; n < 50; ++n) {
        clock.advance(100ms);
        freshness.tick();
    }
    freshness.storeHadNoChanges(clock.now() - 2s);
    CHECK(freshness.completeAsOf() == clock.now() - 2s);
    clock.advance(3s); // the process was stalled, and the next answer waited in its socket
    const auto before = freshness.completeAsOf();
    freshness.storeHadNoChanges(clock.now() - 2s);
    CHECK(freshness.completeAsOf() == before);
}

TEST_CASE("freshness: a peer's report counts from when the store showed the peer's replica to be "
          "complete [beliefs]")
{
    ManualClock clock;
    ReplicaFreshness freshness(clock);
    freshness.replicaReached(kVersion);
    freshness.peerWasComplete(kVersion, 300ms, Evidence::Store);
    CHECK(freshness.completeAsOf() == clock.now() - 300ms);
    CHECK_FALSE(freshness.ageFromStore()); // only what the store itself showed is passed on
}

TEST_CASE("freshness: reports that waited in the sockets of a stalled process are ignored "
          "[beliefs][standstill]")
{
    ManualClock clock;
    ReplicaFreshness freshness(clock);
    freshness.replicaReached(kVersion);
    freshness.tick();
    freshness.peerWasComplete(kVersion, 0ms, Evidence::Store);
    const auto before = freshness.completeAsOf();
    clock.advance(3s);
    freshness.peerWasComplete(kVersion, 0ms, Evidence::Store);
    CHECK(freshness.completeAsOf() == before);
    freshness.tick();
    freshness.peerWasComplete(kVersion, 0ms, Evidence::Store);
    CHECK(freshness.completeAsOf() == before);
    for (int n = 0; n < 5; ++n) {
        clock.advance(100ms);
        freshness.tick();
    }
    freshness.peerWasComplete(kVersion, 0ms, Evidence::Store);
    CHECK(freshness.completeAsOf() == clock.now());
}

TEST_CASE("freshness: a peer's report of changes that the replica lacks counts once it has them "
          "[beliefs]")
{
    ManualClock clock;
    ReplicaFreshness freshness(clock);
    freshness.replicaReached(kVersion);
    const TimePoint reported = clock.now() - 100ms;
    freshness.peerWasComplete({1, 9}, 100ms, Evidence::Store);
    CHECK_FALSE(freshness.completeAsOf());
    clock.advance(500ms);
    freshness.replicaReached({1, 8});
    CHECK_FALSE(freshness.completeAsOf());
    freshness.replicaReached({1, 9});
    CHECK(freshness.completeAsOf() == reported); // and not later: newer changes may follow
    CHECK(freshness.ageFromReader() == 600ms);
}

TEST_CASE("freshness: reports of another epoch of the store do not count [beliefs]")
{
    ManualClock clock;
    ReplicaFreshness freshness(clock);
    freshness.replicaReached({2, 3});
    freshness.peerWasComplete({1, 9}, 0ms, Evidence::Store);
    CHECK_FALSE(freshness.completeAsOf());
    freshness.peerWasComplete({3, 1}, 0ms, Evidence::Store);
    freshness.replicaReached({4, 1});
    CHECK_FALSE(freshness.completeAsOf());
    freshness.peerWasComplete({4, 1}, 0ms, Evidence::Store);
    CHECK(freshness.completeAsOf() == clock.now());
    freshness.storeRestored();
    CHECK_FALSE(freshness.completeAsOf());
    CHECK_FALSE(freshness.ageFromReader());
}

TEST_CASE("freshness: what a peer knows from its peers is not passed on [beliefs]")
{
    ManualClock clock;
    ReplicaFreshness freshness(clock);
    freshness.replicaReached(kVersion);
    freshness.peerWasComplete(kVersion, 200ms, Evidence::Peer);
    CHECK(freshness.completeAsOf() == clock.now() - 200ms);
    CHECK_FALSE(freshness.ageFromReader());
    freshness.peerWasComplete(kVersion, 300ms, Evidence::Store);
    CHECK(freshness.ageFromReader() == 300ms);
    CHECK_FALSE(freshness.ageFromStore());
}
