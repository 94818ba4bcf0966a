// SPDX-License-Identifier: MIT
// An overloaded upstream advertises one rate limit for all nodes together, while callers keep all
// nodes or a few of them busy. Each test checks both the peak of arrivals in any four seconds and
// the fraction of the limit that is used while callers wait.
#include "fordwood/limit_gate.hpp"

#include <doctest/doctest.h>

#include "support/limit_fleet.hpp"

using namespace fordwood;
using namespace std::chrono_literals;
using support::LimitFleet;

namespace {

// The limit must be enforced from this time after its first announcement.
constexpr Duration kEnforcedAfter = 3s;

std::size_t capacityInFourSeconds(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * 4.0 + 5.0);
}

} // namespace

TEST_CASE("limit gate: arrivals in any four seconds stay within the upstream's capacity, and its "
          "rate is used, for any number of nodes [limit]")
{
    for (const std::size_t nodes : {1U, 3U, 8U, 79U, 300U}) {
        for (const double perSecond : {0.3, 1.0, 2.4, 3.2, 10.0, 30.0}) {
            CAPTURE(nodes);
            CAPTURE(perSecond);
            LimitFleet fleet(nodes, perSecond);
            fleet.updateLiveNodes();
            const TimePoint named = fleet.clock.now();
            // Long enough for a few requests at the lowest rate.
            fleet.run(perSecond < 1.0 ? 30s : 15s);
            CHECK(fleet.maxInFourSeconds(named + kEnforcedAfter)
                  <= capacityInFourSeconds(perSecond));
            CHECK(fleet.utilization(named + kEnforcedAfter) >= 0.8);
        }
    }
}

TEST_CASE("limit gate: a few nodes with callers, or a single one, get the share of the nodes "
          "without callers [limit]")
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
            // The callers move to other nodes.
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

TEST_CASE("limit gate: a paused node accumulates no credit, and the others take over its share "
          "[limit][freeze]")
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
        const TimePoint detected = fleet.clock.now();
        fleet.run(10s);
        // Two thirds at least: the paused nodes may be partitioned off and alive.
        CHECK(fleet.utilization(detected) >= 0.55);
        for (const std::size_t n : {0U, 3U})
            fleet.nodes[n].isFrozen = false;
        fleet.updateLiveNodes();
        const TimePoint resumed = fleet.clock.now();
        fleet.run(perSecond < 1.0 ? 30s : 12s);
        CHECK(fleet.maxInFourSeconds(named + kEnforcedAfter) <= capacityInFourSeconds(perSecond));
        CHECK(fleet.utilization(resumed) >= 0.7);
    }
}

TEST_CASE("limit gate: the two sides of a partition together stay within the capacity, and use "
          "most of the limit [limit][partition]")
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

TEST_CASE("limit gate: nodes that are replaced one by one, or lost all at once, do not exceed the "
          "capacity [limit][restart]")
{
    constexpr double kRate = 2.4;
    LimitFleet fleet(8, kRate);
    fleet.updateLiveNodes();
    const TimePoint named = fleet.clock.now();
    fleet.run(5s);
    SUBCASE("one by one")
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

TEST_CASE("limit gate: a lowered limit is enforced within three seconds, and a lifted one is "
          "dropped by nodes that send nothing to the upstream [limit]")
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
        // Their shares grow once the others have stopped sending, and then a response lifts the
        // limit.
        fleet.run(12s);
        for (LimitFleet::Node &it : fleet.nodes)
            CHECK_FALSE(it.gate().upstreamLimits().perSecond("u"));
    }
}

TEST_CASE("limit gate: a new instance of an upstream does not inherit the limit [limit]")
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

TEST_CASE("limit share: the senders' total stays within the capacity, also with two sides of a "
          "partition [limit]")
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
