// SPDX-License-Identifier: MIT
// Distribution of load reports between the nodes of a large fleet.
#include "node/load_exchange.hpp"

#include <utility>

#include <doctest/doctest.h>

#include "support/relay_fleet.hpp"

using namespace fordwood;
using namespace fordwood::node;

TEST_CASE("load exchange: each node receives the load of all others without its own "
          "[sums][relays]")
{
    RelayFleet fleet(3, 12, 81);
    fleet.withRelays().run(6);
    for (std::size_t n = 0; n < fleet.nodes().size(); ++n) {
        CAPTURE(n);
        CHECK(fleet.runningElsewhere(n) == 35);
        CHECK(fleet.nodes()[n].exchange->liveNodes() == 36);
    }
}

TEST_CASE("load exchange: the traffic of a node that is no relay does not grow with the fleet "
          "[sums][relays]")
{
    const auto messages = [](std::size_t nodesInEach, std::uint8_t subnet) {
        RelayFleet fleet(3, nodesInEach, subnet);
        fleet.withRelays().run(5);
        const std::size_t last = fleet.nodes().size() - 1;
        const std::size_t receivedBefore = fleet.nodes()[last].received;
        const std::size_t sent = fleet.nodes()[last].links->datagramsSent();
        fleet.run(10);
        return std::pair(fleet.nodes()[last].received - receivedBefore,
                         fleet.nodes()[last].links->datagramsSent() - sent);
    };
    // Ten rounds, each with one message from and one to each of the two relays.
    CHECK(messages(8, 82) == std::pair<std::size_t, std::size_t>(20, 20));
    CHECK(messages(32, 83) == std::pair<std::size_t, std::size_t>(20, 20));
}

TEST_CASE("load exchange: no load is lost while one relay of each failure domain is down "
          "[sums][relays]")
{
    RelayFleet fleet(3, 12, 84);
    fleet.withRelays().run(6);
    for (std::size_t n = 0; n < 3; ++n)
        fleet.stop(n);
    fleet.run(5);
    for (std::size_t n = 3; n < fleet.nodes().size(); ++n) {
        CAPTURE(n);
        CHECK(fleet.runningElsewhere(n) >= 32);
    }
    fleet.run(10); // the load of the stopped nodes counts for a second
    for (std::size_t n = 3; n < fleet.nodes().size(); ++n)
        CHECK(fleet.runningElsewhere(n) == 32);
}

TEST_CASE("load exchange: all nodes find relays that none of them knew before [sums][relays]")
{
    RelayFleet fleet(3, 12, 85);
    fleet.withRelays().run(6);
    // All strong VMs lose power; weak ones of each failure domain become relays.
    for (std::size_t n = 0; n < 9; ++n)
        fleet.stop(n);
    for (std::size_t n = 30; n < 36; ++n)
        fleet.makeRelay(n);
    fleet.run(25);
    for (std::size_t n = 9; n < fleet.nodes().size(); ++n) {
        CAPTURE(n);
        CHECK(fleet.runningElsewhere(n) == 26);
    }
}

TEST_CASE("load exchange: a restarted node subtracts no load of its previous run from a sum "
          "[sums][relays]")
{
    RelayFleet fleet(3, 12, 86);
    fleet.withRelays().run(6);
    fleet.start(35);
    fleet.run(4);
    CHECK(fleet.runningElsewhere(35) == 35);
}
