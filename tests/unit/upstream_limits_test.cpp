// SPDX-License-Identifier: MIT
// An upstream advertises, changes and lifts a limit in responses that only some nodes receive.
// Responses overtake each other, and the other nodes receive updates late or twice.
#include "fordwood/upstream_limits.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/rendezvous.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// Two nodes with the same upstream in service.
struct TwoNodes
{
    TwoNodes()
    {
        clock.advance(1h);
        a.addUpstream("u");
        b.addUpstream("u");
    }

    // Delivers a response to a request that was sent `ago` before now.
    std::optional<LimitChange> answer(UpstreamLimits &node, std::optional<double> perSecond,
                                      Duration ago = 100ms)
    {
        return node.onAnswer("u", perSecond, clock.now() - ago);
    }

    ManualClock clock;
    UpstreamLimits a{clock};
    UpstreamLimits b{clock};
};

} // namespace

TEST_CASE(
    "limits: a response sets a limit, peers receive it, and a later response lifts it [limit]")
{
    TwoNodes nodes;
    CHECK_FALSE(nodes.answer(nodes.a, std::nullopt));
    CHECK(nodes.a.updates().empty());
    const auto named = nodes.answer(nodes.a, 3.2);
    REQUIRE(named);
    CHECK(named->now == 3.2);
    CHECK_FALSE(named->before);
    CHECK_FALSE(nodes.answer(nodes.a, 3.2)); // no change
    CHECK(nodes.a.limitedUpstreams() == 1);
    nodes.clock.advance(2s);
    const auto changes = nodes.b.applyUpdates(nodes.a.updates());
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().age == 2s);
    CHECK(nodes.b.perSecond("u") == 3.2);
    CHECK(nodes.b.applyUpdates(nodes.a.updates()).empty());

    nodes.clock.advance(1s);
    const auto lifted = nodes.answer(nodes.b, std::nullopt);
    REQUIRE(lifted);
    CHECK(lifted->before == 3.2);
    nodes.a.applyUpdates(nodes.b.updates());
    CHECK_FALSE(nodes.a.perSecond("u"));
    CHECK(nodes.a.limitedUpstreams() == 0);
}

TEST_CASE(
    "limits: an older update does not restore a lifted limit, and its sender is corrected [limit]")
{
    TwoNodes nodes;
    nodes.answer(nodes.a, 3.2);
    const std::vector<LimitGossip> old = nodes.a.updates();
    nodes.b.applyUpdates(old);
    nodes.clock.advance(1s);
    nodes.answer(nodes.a, std::nullopt);
    CHECK(nodes.a.applyUpdates(old).empty());
    CHECK_FALSE(nodes.a.perSecond("u"));
    // Peers receive the lifted limit for a while; after that it is dropped.
    CHECK(nodes.a.updates().size() == 1);
    nodes.clock.advance(1min);
    CHECK(nodes.a.updates().empty());
    // A node that was unreachable for longer still announces the old limit.
    CHECK(nodes.b.perSecond("u") == 3.2);
    nodes.a.applyUpdates(nodes.b.updates());
    CHECK(nodes.b.applyUpdates(nodes.a.updates()).size() == 1);
    CHECK_FALSE(nodes.b.perSecond("u"));
}

TEST_CASE("limits: the limit follows the newest response, not the one that arrives last [limit]")
{
    TwoNodes nodes;
    nodes.answer(nodes.a, 2.0);
    nodes.clock.advance(500ms);
    // Sent before this node knew the limit, so the response may be older than the one with the
    // limit.
    CHECK_FALSE(nodes.answer(nodes.a, std::nullopt, 800ms));
    CHECK_FALSE(nodes.answer(nodes.a, 4.0, 800ms));
    CHECK(nodes.answer(nodes.a, 4.0, 100ms));
    nodes.clock.advance(100ms);
    CHECK_FALSE(nodes.answer(nodes.a, 2.0, 300ms)); // sent before the change
    CHECK(nodes.answer(nodes.a, 3.0, 50ms));
    // The limit is relaxed only by a response to a request sent after the last confirmation.
    nodes.clock.advance(1s);
    nodes.answer(nodes.a, 3.0);
    CHECK_FALSE(nodes.answer(nodes.a, std::nullopt, 200ms));
    nodes.clock.advance(300ms);
    CHECK(nodes.answer(nodes.a, std::nullopt, 200ms));
    nodes.clock.advance(10ms);
    CHECK_FALSE(nodes.answer(nodes.a, 3.0, 400ms)); // a delayed response
    CHECK(nodes.answer(nodes.a, 3.0, 5ms)); // the upstream is overloaded again
}

TEST_CASE("limits: if two nodes read different responses at once, the stricter limit applies until "
          "the next response [limit]")
{
    TwoNodes nodes;
    nodes.answer(nodes.a, 5.0);
    nodes.answer(nodes.b, 2.0);
    nodes.a.applyUpdates(nodes.b.updates());
    nodes.b.applyUpdates(nodes.a.updates());
    CHECK(nodes.a.perSecond("u") == 2.0);
    CHECK(nodes.b.perSecond("u") == 2.0);
    nodes.clock.advance(1s);
    CHECK(nodes.answer(nodes.a, 5.0));
    nodes.b.applyUpdates(nodes.a.updates());
    CHECK(nodes.b.perSecond("u") == 5.0);
}

TEST_CASE("limits: a new instance has no limit, and nothing is kept for ended upstreams [limit]")
{
    TwoNodes nodes;
    nodes.answer(nodes.a, 2.0);
    nodes.a.forget("u");
    nodes.a.addUpstream("u/2");
    CHECK_FALSE(nodes.a.perSecond("u"));
    CHECK_FALSE(nodes.a.perSecond("u/2"));
    CHECK(nodes.a.applyUpdates({{stableHash("u"), 9, 2.0, 0s, {}}}).empty());
    CHECK_FALSE(nodes.answer(nodes.a, 2.0));
    CHECK(nodes.a.updates().empty());
}

TEST_CASE("limits: a limit of zero still allows the occasional request that detects its end, and "
          "an unreachably high limit counts as none [limit]")
{
    TwoNodes nodes;
    nodes.answer(nodes.a, 0.0);
    REQUIRE(nodes.a.perSecond("u"));
    CHECK(*nodes.a.perSecond("u") > 0.0);
    CHECK(*nodes.a.perSecond("u") <= 0.2);
    nodes.clock.advance(1s);
    nodes.answer(nodes.a, 1e300);
    CHECK_FALSE(nodes.a.perSecond("u"));
}
