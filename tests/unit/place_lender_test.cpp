// SPDX-License-Identifier: MIT
// Load pattern: upstreams with few slots crash if they have to reject too many requests, and
// callers at all nodes offer more than they can serve.
#include "fordwood/place_lender.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/place_share.hpp"
#include "fordwood/rendezvous.hpp"
#include "support/place_fleet.hpp"

using namespace fordwood;
using namespace std::chrono_literals;
using support::PlaceFleet;

namespace {

constexpr std::uint64_t kUpstream = 7;

PlaceRequest requestOf(std::uint64_t process, std::uint64_t number,
                       std::chrono::milliseconds patience = 0ms)
{
    return {{process, number}, {kUpstream}, patience, 3s};
}

// A lender of one upstream of two slots that has known all open requests for a while.
class WarmLender
{
public:
    WarmLender()
    {
        lender.setUpstreams({{kUpstream, 2, 0}});
        lender.apply({1, {}, {}});
        pass(500ms);
        lender.apply({1, {}, {}});
    }

    // Lets time pass in which the lender does its periodic work.
    void pass(Duration time)
    {
        for (const TimePoint end = clock.now() + time; clock.now() < end; clock.advance(100ms))
            lender.tick();
        lender.tick();
    }

    // Whether the request gets a place at once.
    bool lends(const PlaceRequest &request)
    {
        lender.request(request);
        const auto decisions = lender.takeDecisions();
        return decisions.size() == 1 && decisions.front().reply.isLent();
    }

    ManualClock clock;
    PlaceLender lender{clock};
};

// Checks, from a second after the first requests, that no upstream falls over and that they are
// used.
void checkUsedWithoutFalls(const PlaceFleet::Traits &traits, Duration time)
{
    PlaceFleet fleet(traits);
    fleet.run(1s);
    fleet.takeServedShare();
    fleet.run(time);
    CHECK(fleet.falls() == 0);
    CHECK(fleet.takeServedShare() >= 0.8);
}

} // namespace

TEST_CASE("place lender: lends as many places as there are slots, and rejects the rest at once "
          "[brittle]")
{
    WarmLender it;
    CHECK(it.lends(requestOf(1, 1)));
    CHECK(it.lends(requestOf(2, 1)));
    it.lender.request(requestOf(3, 1));
    const auto decisions = it.lender.takeDecisions();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().process == 3);
    CHECK_FALSE(decisions.front().reply.isLent());
    CHECK(decisions.front().reply.retryAfter > 0ms);
    it.lender.giveBack({1, 1}, false);
    CHECK(it.lends(requestOf(3, 2)));
}

TEST_CASE("place lender: requests wait in order as long as they may [brittle]")
{
    WarmLender it;
    REQUIRE(it.lends(requestOf(1, 1)));
    REQUIRE(it.lends(requestOf(1, 2)));
    it.lender.giveBack({1, 2}, false); // so that the time of a place is known
    REQUIRE(it.lends(requestOf(1, 3)));
    it.lender.request(requestOf(2, 1, 1'500ms));
    it.lender.request(requestOf(3, 1, 2'500ms));
    CHECK(it.lender.takeDecisions().empty());
    it.lender.giveBack({1, 1}, false);
    const auto first = it.lender.takeDecisions();
    REQUIRE(first.size() == 1);
    CHECK(first.front().process == 2);
    it.pass(2'500ms);
    const auto last = it.lender.takeDecisions();
    REQUIRE(last.size() == 1);
    CHECK(last.front().process == 3);
    CHECK_FALSE(last.front().reply.isLent());
}

TEST_CASE("place lender: requests without a place count [brittle]")
{
    WarmLender it;
    it.lender.apply({2, {}, {{kUpstream, 2}}});
    CHECK_FALSE(it.lends(requestOf(1, 1)));
    it.lender.apply({2, {}, {{kUpstream, 1}}});
    CHECK(it.lends(requestOf(1, 2)));
    // A process that is gone reports nothing more.
    it.pass(1s);
    CHECK(it.lends(requestOf(1, 3)));
}

TEST_CASE("place lender: a lost return is found out by the next report [brittle]")
{
    WarmLender it;
    REQUIRE(it.lends(requestOf(1, 1)));
    REQUIRE(it.lends(requestOf(1, 2)));
    it.lender.apply({1, {2}, {}});
    CHECK_FALSE(it.lends(requestOf(2, 1))); // the report may be older than the place
    it.pass(300ms);
    it.lender.apply({1, {2}, {}});
    CHECK(it.lends(requestOf(2, 2)));
}

TEST_CASE("place lender: a place is free again when its lease ends [brittle]")
{
    WarmLender it;
    REQUIRE(it.lends(requestOf(1, 1)));
    REQUIRE(it.lends(requestOf(1, 2)));
    it.pass(3s);
    CHECK(it.lender.lentPlaces() == 0);
}

TEST_CASE("place lender: an upstream that has rejected a request gets fewer, and slowly more again "
          "[brittle]")
{
    WarmLender it;
    REQUIRE(it.lends(requestOf(1, 1)));
    REQUIRE(it.lends(requestOf(1, 2)));
    it.lender.giveBack({1, 2}, true);
    CHECK_FALSE(it.lends(requestOf(1, 3)));
    it.pass(300ms);
    CHECK_FALSE(it.lends(requestOf(1, 4))); // one place is lent
    it.pass(700ms);
    CHECK(it.lends(requestOf(1, 5)));
}

TEST_CASE("place lender: one that takes over goes by what nodes have exchanged at first "
          "[brittle]")
{
    ManualClock clock;
    PlaceLender lender(clock);
    lender.setUpstreams({{kUpstream, 2, 2}});
    lender.request(requestOf(1, 1));
    const auto decisions = lender.takeDecisions();
    REQUIRE(decisions.size() == 1);
    CHECK_FALSE(decisions.front().reply.isLent());
}

TEST_CASE(
    "place lender: one that was suspended, or has just started, lends nothing before it knows "
    "what another has lent [brittle]")
{
    WarmLender it;
    REQUIRE(it.lends(requestOf(1, 1)));
    it.lender.giveBack({1, 1}, false);
    SUBCASE("suspended")
    {
        it.clock.advance(1'400ms);
    }
    SUBCASE("started")
    {
        it.lender.waitForReports();
    }
    it.lender.setUpstreams({{kUpstream, 2, 0}});
    CHECK_FALSE(it.lends(requestOf(1, 2)));
    it.lender.apply({2, {}, {{kUpstream, 2}}});
    it.pass(500ms);
    CHECK_FALSE(it.lender.isOpen());
    // The others may find out at different times that it lends.
    it.lender.recordPeer();
    it.pass(200ms);
    it.lender.recordPeer();
    CHECK_FALSE(it.lender.isOpen());
    it.pass(100ms);
    it.lender.apply({2, {}, {{kUpstream, 1}}});
    CHECK(it.lends(requestOf(1, 3)));
    CHECK_FALSE(it.lends(requestOf(1, 4)));
}

TEST_CASE("place lender: upstreams do not fall over and are used, for any number of nodes "
          "[brittle]")
{
    for (const std::size_t nodes : {1U, 3U, 30U, 300U}) {
        for (const std::size_t slots : {1U, 2U, 16U}) {
            for (const double load : {0.75, 2.0}) {
                CAPTURE(nodes);
                CAPTURE(slots);
                CAPTURE(load);
                PlaceFleet::Traits traits;
                traits.nodes = nodes;
                traits.slots = slots;
                traits.load = load;
                checkUsedWithoutFalls(traits, 4s);
            }
        }
    }
}

TEST_CASE("place lender: most requests come to one of many nodes [brittle]")
{
    PlaceFleet::Traits traits;
    traits.nodes = 30;
    traits.shareOfFirstNode = 0.9;
    checkUsedWithoutFalls(traits, 5s);
}

TEST_CASE("place lender: the lender dies, for several courses of events [brittle]")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        PlaceFleet::Traits traits;
        traits.nodes = 8;
        PlaceFleet fleet(traits, seed);
        fleet.run(1s);
        fleet.killLender();
        fleet.run(1s);
        fleet.takeServedShare();
        fleet.run(3s);
        CHECK(fleet.falls() == 0);
        CHECK(fleet.takeServedShare() >= 0.8);
    }
}

TEST_CASE("place lender: upstreams with fewer free slots than they announce do not fall over "
          "[brittle]")
{
    PlaceFleet::Traits traits;
    traits.slots = 6;
    PlaceFleet fleet(traits);
    fleet.run(2s);
    fleet.setSlotsTaken(2);
    fleet.run(10s);
    CHECK(fleet.falls() == 0);
}

TEST_CASE("place share: all nodes together use no more than the slots, and each has some where "
          "there are enough upstreams [brittle]")
{
    for (const std::size_t nodes : {1U, 3U, 8U, 79U}) {
        std::vector<std::string> names;
        for (std::size_t n = 0; n < nodes; ++n)
            names.push_back("n" + std::to_string(n));
        std::vector<std::size_t> ofNode(nodes);
        for (int n = 0; n < 300; ++n) {
            const std::uint64_t upstream = stableHash("u" + std::to_string(n));
            std::size_t sum = 0;
            for (std::size_t it = 0; it < nodes; ++it) {
                std::vector<std::string> others = names;
                others.erase(others.begin() + static_cast<std::ptrdiff_t>(it));
                const std::size_t share = placeShare(upstream, 6, names[it], others);
                ofNode[it] += share;
                sum += share;
            }
            CHECK(sum == 6);
        }
        for (const std::size_t it : ofNode)
            CHECK(it > 0);
    }
}
