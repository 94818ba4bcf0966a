// SPDX-License-Identifier: MIT
// How the nodes of a large fleet hear of the load that the others have sent.
#include "node/load_exchange.hpp"

#include <utility>

#include <doctest/doctest.h>

#include "support/relay_fleet.hpp"

using namespace fordwood;
using namespace fordwood::node;

TEST_CASE("load exchange: each node hears what all others have sent, its own part left out "
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

TEST_CASE("load exchange: what a node without a duty hears and sends does not grow with the fleet "
          "[sums][relays]")
{
    const auto messages = [](std::size_t nodesInEach, std::uint8_t subnet) {
        RelayFleet fleet(3, nodesInEach, subnet);
        fleet.withRelays().run(5);
        const std::size_t last = fleet.nodes().size() - 1;
        const std::size_t heard = fleet.nodes()[last].received;
        const std::size_t sent = fleet.nodes()[last].links->datagramsSent();
        fleet.run(10);
        return std::pair(fleet.nodes()[last].received - heard,
                         fleet.nodes()[last].links->datagramsSent() - sent);
    };
    // Ten rounds: one message of either relay, and one to either, in each.
    CHECK(messages(8, 82) == std::pair<std::size_t, std::size_t>(20, 20));
    CHECK(messages(32, 83) == std::pair<std::size_t, std::size_t>(20, 20));
}

TEST_CASE("load exchange: nothing is lost while one relay of each failure domain is gone "
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
    fleet.run(10); // what the dead ones had sent counts for a second
    for (std::size_t n = 3; n < fleet.nodes().size(); ++n)
        CHECK(fleet.runningElsewhere(n) == 32);
}

TEST_CASE("load exchange: relays that nobody knew before are found by all [sums][relays]")
{
    RelayFleet fleet(3, 12, 85);
    fleet.withRelays().run(6);
    // All strong VMs lose power; weak ones of each failure domain step in.
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

TEST_CASE("load exchange: a node that starts again takes no part of its last life out of a sum "
          "[sums][relays]")
{
    RelayFleet fleet(3, 12, 86);
    fleet.withRelays().run(6);
    fleet.start(35);
    fleet.run(4);
    CHECK(fleet.runningElsewhere(35) == 35);
}
