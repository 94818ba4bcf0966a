// SPDX-License-Identifier: MIT
// Tests how information on requests that make upstreams fail spreads in a large fleet.
#include "node/quarantine_distributor.hpp"

#include <doctest/doctest.h>

#include "support/relay_fleet.hpp"

using namespace fordwood;
using namespace fordwood::node;

namespace {

const RequestFingerprint kPoison{1, 2};

// How many nodes quarantine the request by the updates that they received and by `own`.
std::size_t holders(RelayFleet &fleet, const std::vector<QuarantineUpdate> &own = {})
{
    std::size_t n = 0;
    const ManualClock clock;
    for (const RelayFleet::Node &node : fleet.nodes()) {
        Quarantine quarantine(clock);
        for (const QuarantineUpdate &it : node.quarantineUpdates)
            quarantine.apply(it);
        for (const QuarantineUpdate &it : own)
            quarantine.apply(it);
        n += quarantine.isHeld(kPoison) ? 1 : 0;
    }
    return n;
}

} // namespace

TEST_CASE("quarantine: failures seen by nodes of three domains reach every node within half a "
          "second [quarantine][relays]")
{
    RelayFleet fleet(3, 20, 87);
    fleet.withRelays().run(6);
    for (const std::size_t n : {57U, 58U, 59U}) // one of each domain, none a relay
        fleet.nodes()[n].quarantine->addOwn({{kPoison, n}});
    fleet.run(5);
    CHECK(holders(fleet) == 57);
    CHECK(holders(fleet, {{kPoison, 57}, {kPoison, 58}, {kPoison, 59}}) == 60);
}

TEST_CASE("quarantine: with a third of the messages lost, updates still reach all nodes, but later "
          "[quarantine][relays]")
{
    RelayFleet fleet(3, 20, 88);
    fleet.withRelays().run(6);
    fleet.dropEveryNth(3);
    for (const std::size_t n : {57U, 58U, 59U})
        fleet.nodes()[n].quarantine->addOwn({{kPoison, n}});
    fleet.run(30);
    CHECK(holders(fleet, {{kPoison, 57}, {kPoison, 58}, {kPoison, 59}}) == 60);
}

TEST_CASE("quarantine: updates are not sent any more after a while [quarantine][relays]")
{
    RelayFleet fleet(3, 20, 89);
    fleet.withRelays().run(6);
    fleet.nodes()[59].quarantine->addOwn({{kPoison, 1}, {kPoison, 2}, {kPoison, 3}});
    fleet.run(100);
    for (const RelayFleet::Node &it : fleet.nodes()) {
        CHECK_FALSE(it.quarantine->hasUnsent());
        CHECK(it.quarantine->nextBatch().empty());
    }
}

TEST_CASE("quarantine: key and value of a stored request are parsed back, others are rejected "
          "[quarantine]")
{
    const std::string key = QuarantineDistributor::keyOf(kPoison);
    CHECK(QuarantineDistributor::parseKey(key) == kPoison);
    CHECK_FALSE(QuarantineDistributor::parseKey("fordwood/nodes/a"));
    CHECK_FALSE(QuarantineDistributor::parseKey(key + "0"));
    const std::vector<std::uint64_t> instances{3, UINT64_MAX};
    CHECK(QuarantineDistributor::decodeInstances(QuarantineDistributor::encodeInstances(instances))
          == instances);
    for (const char *it : {"", "\x83\x01", "\x63\x61\x62\x63", "\xa1\x61\x61\x01"})
        CHECK_FALSE(QuarantineDistributor::decodeInstances(it));
}
