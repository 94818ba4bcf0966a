// SPDX-License-Identifier: MIT
// The load pattern: an upstream names a limit to the nodes that happen to send there, changes and
// lifts it; answers overtake each other, and the other nodes hear of it late or twice.
#include "fordwood/upstream_limits.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/rendezvous.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// Two nodes that know one upstream.
struct TwoNodes
{
    TwoNodes()
    {
        clock.advance(1h);
        a.addUpstream("u");
        b.addUpstream("u");
    }

    // An answer to a request that was sent so long ago.
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

TEST_CASE("limits: an answer names one, peers hear of it, and a later answer lifts it [limit]")
{
    TwoNodes nodes;
    CHECK_FALSE(nodes.answer(nodes.a, std::nullopt));
    CHECK(nodes.a.updates().empty());
    const auto named = nodes.answer(nodes.a, 3.2);
    REQUIRE(named);
    CHECK(named->now == 3.2);
    CHECK_FALSE(named->before);
    CHECK_FALSE(nodes.answer(nodes.a, 3.2)); // nothing new
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

TEST_CASE("limits: an older word does not revive a limit, and who says it is told what came after "
          "[limit]")
{
    TwoNodes nodes;
    nodes.answer(nodes.a, 3.2);
    const std::vector<LimitGossip> old = nodes.a.updates();
    nodes.b.applyUpdates(old);
    nodes.clock.advance(1s);
    nodes.answer(nodes.a, std::nullopt);
    CHECK(nodes.a.applyUpdates(old).empty());
    CHECK_FALSE(nodes.a.perSecond("u"));
    // Peers hear of it for a while; then it needs no more words.
    CHECK(nodes.a.updates().size() == 1);
    nodes.clock.advance(1min);
    CHECK(nodes.a.updates().empty());
    // A node that was away for longer still says the old word.
    CHECK(nodes.b.perSecond("u") == 3.2);
    nodes.a.applyUpdates(nodes.b.updates());
    CHECK(nodes.b.applyUpdates(nodes.a.updates()).size() == 1);
    CHECK_FALSE(nodes.b.perSecond("u"));
}

TEST_CASE("limits: a change counts from the newest answer, not from the one that arrives last "
          "[limit]")
{
    TwoNodes nodes;
    nodes.answer(nodes.a, 2.0);
    nodes.clock.advance(500ms);
    // Sent before the limit was known here: it may be older than the one that named it.
    CHECK_FALSE(nodes.answer(nodes.a, std::nullopt, 800ms));
    CHECK_FALSE(nodes.answer(nodes.a, 4.0, 800ms));
    CHECK(nodes.answer(nodes.a, 4.0, 100ms));
    nodes.clock.advance(100ms);
    CHECK_FALSE(nodes.answer(nodes.a, 2.0, 300ms)); // from before the change
    CHECK(nodes.answer(nodes.a, 3.0, 50ms));
    // Eased only by an answer to what was sent after the last one that bore it out.
    nodes.clock.advance(1s);
    nodes.answer(nodes.a, 3.0);
    CHECK_FALSE(nodes.answer(nodes.a, std::nullopt, 200ms));
    nodes.clock.advance(300ms);
    CHECK(nodes.answer(nodes.a, std::nullopt, 200ms));
    nodes.clock.advance(10ms);
    CHECK_FALSE(nodes.answer(nodes.a, 3.0, 400ms)); // an answer that was long on its way
    CHECK(nodes.answer(nodes.a, 3.0, 5ms)); // it is overloaded again
}

TEST_CASE("limits: where two nodes have read different answers at once, the stricter one holds "
          "until the next answer [limit]")
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

TEST_CASE("limits: a new life has none, and nothing is kept of upstreams that are gone [limit]")
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

TEST_CASE("limits: zero still lets through what shows that it is lifted; one beyond any process is "
          "none [limit]")
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
