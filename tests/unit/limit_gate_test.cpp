// SPDX-License-Identifier: MIT
// The load pattern: an overloaded upstream names what it takes from all nodes together, while
// callers keep the nodes busy, evenly or at a few of them. Each test looks at both sides: the most
// that arrives in any four seconds, and the part of the named rate that is used while callers wait.
#include "fordwood/limit_gate.hpp"

#include <doctest/doctest.h>

#include "support/limit_fleet.hpp"

using namespace fordwood;
using namespace std::chrono_literals;
using support::LimitFleet;

namespace {

// When the limit is counted, from its first naming.
constexpr Duration kEnforcedAfter = 3s;

std::size_t capacityInFourSeconds(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * 4.0 + 5.0);
}

} // namespace

TEST_CASE(
    "limit gate: no four seconds bring more than the upstream bears, and what it takes is put "
    "to use, however many nodes there are [limit]")
{
    for (const std::size_t nodes : {1U, 3U, 8U, 79U, 300U}) {
        for (const double perSecond : {0.3, 1.0, 2.4, 3.2, 10.0, 30.0}) {
            CAPTURE(nodes);
            CAPTURE(perSecond);
            LimitFleet fleet(nodes, perSecond);
            fleet.updateLiveNodes();
            const TimePoint named = fleet.clock.now();
            // Long enough for a few requests at the least rate.
            fleet.run(perSecond < 1.0 ? 30s : 15s);
            CHECK(fleet.maxInFourSeconds(named + kEnforcedAfter)
                  <= capacityInFourSeconds(perSecond));
            CHECK(fleet.utilization(named + kEnforcedAfter) >= 0.8);
        }
    }
}

TEST_CASE("limit gate: callers at a few of the nodes, or at one, are given what the others do not "
          "need [limit]")
{
    for (const std::size_t nodes : {8U, 79U}) {
        for (const std::size_t busy : {1U, 2U}) {
            CAPTURE(nodes);
            CAPTURE(busy);
            LimitFleet fleet(nodes, 3.2);
            fleet.updateLiveNodes();
            for (std::size_t n = busy; n < nodes; ++n)
                fleet.nodes[n].hasCallers = false;
            const TimePoint named = fleet.clock.now();
            fleet.run(20s);
            CHECK(fleet.maxInFourSeconds(named + kEnforcedAfter) <= capacityInFourSeconds(3.2));
            CHECK(fleet.utilization(named + kEnforcedAfter) >= 0.8);
            // They move to other nodes.
            for (std::size_t n = 0; n < nodes; ++n)
                fleet.nodes[n].hasCallers = n >= nodes - busy;
            fleet.run(6s);
            const TimePoint moved = fleet.clock.now();
            fleet.run(15s);
            CHECK(fleet.maxInFourSeconds(named + kEnforcedAfter) <= capacityInFourSeconds(3.2));
            CHECK(fleet.utilization(moved) >= 0.8);
        }
    }
}

TEST_CASE(
    "limit gate: a node that stands still sends nothing that it has saved up, and its part is "
    "used by the others [limit][freeze]")
{
    for (const double perSecond : {0.3, 2.4, 10.0}) {
        CAPTURE(perSecond);
        LimitFleet fleet(8, perSecond);
        fleet.updateLiveNodes();
        const TimePoint named = fleet.clock.now();
        fleet.run(8s);
        for (const std::size_t n : {0U, 3U})
            fleet.nodes[n].isFrozen = true;
        fleet.run(1s);
        fleet.updateLiveNodes();
        fleet.run(4s);
        const TimePoint told = fleet.clock.now();
        fleet.run(10s);
        CHECK(fleet.utilization(told)
              >= 0.55); // two in three at least: they may be cut off and alive
        for (const std::size_t n : {0U, 3U})
            fleet.nodes[n].isFrozen = false;
        fleet.updateLiveNodes();
        const TimePoint awake = fleet.clock.now();
        fleet.run(perSecond < 1.0 ? 30s : 12s);
        CHECK(fleet.maxInFourSeconds(named + kEnforcedAfter) <= capacityInFourSeconds(perSecond));
        CHECK(fleet.utilization(awake) >= 0.7);
    }
}

TEST_CASE(
    "limit gate: two sides of a cut together stay below what the upstream bears, and each uses "
    "the most of its part [limit][partition]")
{
    for (const std::size_t nodes : {8U, 79U}) {
        for (const double perSecond : {0.3, 2.4, 3.2, 10.0, 30.0}) {
            CAPTURE(nodes);
            CAPTURE(perSecond);
            LimitFleet fleet(nodes, perSecond);
            fleet.updateLiveNodes();
            const TimePoint named = fleet.clock.now();
            fleet.run(8s);
            for (std::size_t n = 0; n < nodes / 2; ++n)
                fleet.nodes[n].side = 1;
            fleet.run(1s);
            fleet.updateLiveNodes();
            const TimePoint cut = fleet.clock.now();
            fleet.run(15s);
            CHECK(fleet.utilization(cut) >= 0.8);
            for (LimitFleet::Node &it : fleet.nodes)
                it.side = 0;
            fleet.updateLiveNodes();
            fleet.run(8s);
            CHECK(fleet.maxInFourSeconds(named + kEnforcedAfter)
                  <= capacityInFourSeconds(perSecond));
        }
    }
}

TEST_CASE("limit gate: nodes that are replaced one after the other, or lost all at once, send no "
          "more [limit][restart]")
{
    constexpr double kRate = 2.4;
    LimitFleet fleet(8, kRate);
    fleet.updateLiveNodes();
    const TimePoint named = fleet.clock.now();
    fleet.run(5s);
    SUBCASE("one after the other")
    {
        for (std::size_t n = 0; n < 16; ++n) {
            fleet.nodes.pop_front();
            fleet.updateLiveNodes();
            fleet.run(500ms);
            fleet.start("new-" + std::to_string(n));
            fleet.updateLiveNodes();
            fleet.run(1s);
        }
        CHECK(fleet.utilization(named + 5s) >= 0.4);
        fleet.run(10s);
        CHECK(fleet.maxInFourSeconds(named + kEnforcedAfter) <= capacityInFourSeconds(kRate));
    }
    SUBCASE("all but one at once")
    {
        while (fleet.nodes.size() > 1)
            fleet.nodes.pop_front();
        fleet.updateLiveNodes();
        for (std::size_t n = 0; n < 7; ++n)
            fleet.start("new-" + std::to_string(n));
        fleet.updateLiveNodes();
        fleet.run(15s);
        CHECK(fleet.maxInFourSeconds(named + 5s + kEnforcedAfter) <= capacityInFourSeconds(kRate));
        CHECK(fleet.utilization(named + 5s + kEnforcedAfter) >= 0.6);
    }
}

TEST_CASE("limit gate: a limit that is lowered holds within three seconds, and one that is lifted "
          "is gone from nodes that send there nothing [limit]")
{
    for (const std::size_t nodes : {8U, 79U}) {
        CAPTURE(nodes);
        LimitFleet fleet(nodes, 10.0);
        fleet.updateLiveNodes();
        fleet.run(8s);
        fleet.limit = 1.0;
        const TimePoint lowered = fleet.clock.now();
        fleet.run(12s);
        CHECK(fleet.maxInFourSeconds(lowered + kEnforcedAfter) <= capacityInFourSeconds(1.0));
        CHECK(fleet.utilization(lowered + kEnforcedAfter) >= 0.8);
        for (std::size_t n = 2; n < nodes; ++n)
            fleet.nodes[n].hasCallers = false;
        fleet.limit.reset();
        // Their parts grow once the others have ceased to send, and then an answer shows it.
        fleet.run(12s);
        for (LimitFleet::Node &it : fleet.nodes)
            CHECK_FALSE(it.gate().upstreamLimits().perSecond("u"));
    }
}

TEST_CASE("limit gate: the next life of an upstream has no limit of the one before [limit]")
{
    LimitFleet fleet(3, 1.0);
    fleet.updateLiveNodes();
    fleet.run(5s);
    LimitGate &gate = fleet.nodes.front().gate();
    CHECK_FALSE((gate.maySend("u") && gate.maySend("u") && gate.ownRate("u") > 1.0));
    REQUIRE(gate.ownRate("u"));
    CHECK(gate.totalRate("u") == 1.0);
    gate.forget("u");
    gate.upstreamLimits().addUpstream("u/2");
    CHECK(gate.maySend("u/2"));
    CHECK_FALSE(gate.ownRate("u/2"));
    CHECK(gate.ownUpdates().empty());
}

TEST_CASE("limit share: what all may send stays below what the upstream bears, on either side of a "
          "cut [limit]")
{
    for (const double perSecond : {0.1, 0.3, 1.0, 2.4, 3.2, 7.0, 30.0, 400.0}) {
        CAPTURE(perSecond);
        const double borne = 1.5 * perSecond * 4.0 + 5.0;
        const LimitShare whole = shareOfLimit(perSecond, true);
        CHECK(whole.perSecond == perSecond);
        CHECK(static_cast<double>(whole.senders) + 4.4 * whole.perSecond <= borne);
        const LimitShare side = shareOfLimit(perSecond, false);
        CHECK(side.perSecond >= 0.6 * perSecond);
        CHECK(2.0 * (static_cast<double>(side.senders) + 4.4 * side.perSecond) <= borne + 1e-9);
    }
}
