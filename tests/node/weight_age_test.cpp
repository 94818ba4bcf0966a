// SPDX-License-Identifier: MIT
// Engines began requests on weights that operators had replaced 16 s before; 10 s are allowed.
// Callers got whole answers, from weights that were meant to be gone. All nodes had been killed in
// the middle of the change. Each new process read in the store which weights were named, took that
// for news, and used replaced weights for a further 8.5 s; with peers that had lived through the
// naming it would have learnt better, but there were none. Nine nodes logged "WeightsNamed
// weights=3" at 24.10 s and, anew, at 34.64 s ("WeightsAgeLearnt age_ms=0 from=" their own names);
// 46 requests were sent to engines with version 2 after 40.8 s.
#include <doctest/doctest.h>

#include "node/weights_fleet.hpp"

using namespace fordwood::node;
using namespace std::chrono_literals;

TEST_CASE("weights: nodes that all start anew begin nothing on weights that were replaced long ago "
          "[weights]")
{
    WeightsFleet fleet(3);
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(1));
    REQUIRE(fleet.waitForPeers());
    fleet.nameWeights(2);
    REQUIRE(fleet.waitForWeights(2));
    CHECK(fleet.nodesThatUse(1) == 3);
    fleet.advance(6s);
    fleet.killAll();
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(2));
    fleet.advance(4s);
    CHECK(fleet.nodesThatUse(1) == 0);
    CHECK(fleet.nodesThatUse(2) == 3);
}

// The other side: engines with replaced weights are of use while they may be.
TEST_CASE("weights: a node that starts anew learns from its peers how old weights are [weights]")
{
    WeightsFleet fleet(3);
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(1));
    REQUIRE(fleet.waitForPeers());
    fleet.advance(2s);
    fleet.nameWeights(2);
    REQUIRE(fleet.waitForWeights(2));
    // One after the other: no life that saw the naming is left in the end.
    for (int n = 0; n < 3; ++n) {
        fleet.kill(n);
        fleet.advance(1s);
        fleet.start(n);
        REQUIRE(fleet.waitForPeers());
        fleet.advance(500ms);
        CHECK(fleet.nodesThatUse(1) == 3);
    }
    fleet.advance(4500ms);
    CHECK(fleet.nodesThatUse(1) == 0);
}

TEST_CASE("weights: a node that starts without peers uses only the newest [weights]")
{
    WeightsFleet fleet(3);
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(1));
    fleet.nameWeights(2);
    REQUIRE(fleet.waitForWeights(2));
    fleet.advance(1s);
    fleet.killAll();
    fleet.store().removeAll("fordwood/named/");
    fleet.start(2);
    REQUIRE(fleet.waitForWeights(2));
    CHECK(fleet.nodesThatUse(1) == 0);
    CHECK(fleet.nodesThatUse(2) == 1);
}

// Nobody is left who saw the naming; the store still tells how old it may be.
TEST_CASE("weights: nodes that all start anew soon after a naming use what it replaced while they "
          "may [weights]")
{
    WeightsFleet fleet(3);
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(1));
    REQUIRE(fleet.waitForPeers());
    fleet.advance(2s);
    fleet.nameWeights(2);
    REQUIRE(fleet.waitForWeights(2));
    fleet.advance(1s);
    fleet.killAll();
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(2));
    fleet.advance(300ms);
    for (int n = 0; n < 9; ++n) {
        CHECK(fleet.nodesThatUse(1) == 3);
        fleet.advance(400ms);
    }
    fleet.advance(4s); // 9 s after the naming
    CHECK(fleet.nodesThatUse(1) == 0);
    CHECK(fleet.nodesThatUse(2) == 3);
}

TEST_CASE("weights: what was named while the store was away is as old as its absence may make it "
          "[weights]")
{
    WeightsFleet fleet(2);
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(1));
    REQUIRE(fleet.waitForPeers());
    fleet.advance(2s);
    fleet.store().setDown(true);
    fleet.advance(5s);
    fleet.nameWeights(2);
    fleet.store().setDown(false);
    REQUIRE(fleet.waitForWeights(2));
    CHECK(fleet.nodesThatUse(1) == 2);
    fleet.advance(4s);
    CHECK(fleet.nodesThatUse(1) == 0);
}

// Found by the random test. A node that had started between two namings knew the age of the second
// only, and took it for the age of all that it had ever replaced ("WeightsAgeLearnt weights=4
// age_ms=2000 from=mark", and engines with version 1, replaced 9 s before, were used).
TEST_CASE("weights: the age of a naming says nothing of weights that were replaced before it "
          "[weights]")
{
    WeightsFleet fleet(2);
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(1));
    REQUIRE(fleet.waitForPeers());
    fleet.advance(1s);
    fleet.nameWeights(2);
    REQUIRE(fleet.waitForWeights(2));
    fleet.advance(8s);
    fleet.nameWeights(3);
    REQUIRE(fleet.waitForWeights(3));
    fleet.advance(500ms);
    fleet.killAll();
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(3));
    fleet.advance(700ms);
    CHECK(fleet.nodesThatUse(1) == 0);
    CHECK(fleet.nodesThatUse(2) == 2);
}

// The first naming that a model ever has replaces weights that nobody named. Its age was called
// unknown for that, and all engines stood idle until they were loaded: on one day 0.808 instead of
// 0.882 of the requests were served.
TEST_CASE("weights: what the first naming of a model replaces is used while it may be [weights]")
{
    WeightsFleet fleet(3, 0);
    fleet.startAll();
    REQUIRE(fleet.waitForPeers());
    fleet.advance(2s);
    fleet.nameWeights(2);
    REQUIRE(fleet.waitForWeights(2));
    CHECK(fleet.nodesThatUse(1) == 3);
    fleet.advance(10s);
    CHECK(fleet.nodesThatUse(1) == 0);
}

// The store confirms a naming and then answers nobody for eight seconds. Each node's waiting call
// is answered when that is over, and the two seconds that were taken for the longest way of its
// answer made the naming so young: version 1 was used for 5 s too long.
TEST_CASE(
    "weights: a naming that the store confirmed before it stalled is as old as that [weights]")
{
    WeightsFleet fleet(3);
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(1));
    REQUIRE(fleet.waitForPeers());
    fleet.advance(3s);
    fleet.store().setStalled(true);
    fleet.nameWeights(2);
    fleet.advance(8s);
    fleet.store().setStalled(false);
    REQUIRE(fleet.waitForWeights(2));
    fleet.advance(2300ms);
    CHECK(fleet.nodesThatUse(1) == 0);
    CHECK(fleet.nodesThatUse(2) == 3);
}

// Nodes that found a naming know that it is at least so old. A word from long ago, which calls it
// younger than that, must not tell them anything: it was passed on late.
TEST_CASE("weights: an old word of a naming makes it no younger than it is known to be [weights]")
{
    WeightsFleet fleet(3);
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(1));
    fleet.nameWeights(2);
    REQUIRE(fleet.waitForWeights(2));
    fleet.advance(7s);
    fleet.killAll();
    fleet.startAll();
    REQUIRE(fleet.waitForWeights(2));
    REQUIRE(fleet.waitForPeers());
    fleet.advance(3s);
    Gossip old;
    old.node = "n9";
    old.failureDomain = "domain-9";
    old.gossipAddress = fleet.host(9) + ":8083";
    old.replicaAddress = fleet.host(9) + ":8082";
    old.namingAges["m"][2] = {150ms, 200ms, 1};
    fleet.sendToAll(old);
    fleet.advance(500ms);
    CHECK(fleet.nodesThatUse(1) == 0);
    fleet.advance(3s);
    CHECK(fleet.nodesThatUse(1) == 0);
}
