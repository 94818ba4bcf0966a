// SPDX-License-Identifier: MIT
// Engines began requests on weights that operators had replaced 16 s before; 10 s are allowed.
// Callers got whole answers, from weights that were meant to be gone.
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
