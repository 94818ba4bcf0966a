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
struct Pair
{
    Pair()
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
    Pair pair;
    CHECK_FALSE(pair.answer(pair.a, std::nullopt));
    CHECK(pair.a.updates().empty());
    const auto named = pair.answer(pair.a, 3.2);
    REQUIRE(named);
    CHECK(named->now == 3.2);
    CHECK_FALSE(named->before);
    CHECK_FALSE(pair.answer(pair.a, 3.2)); // nothing new
    CHECK(pair.a.limitedUpstreams() == 1);
    pair.clock.advance(2s);
    const auto heard = pair.b.applyUpdates(pair.a.updates());
    REQUIRE(heard.size() == 1);
    CHECK(heard.front().age == 2s);
    CHECK(pair.b.perSecond("u") == 3.2);
    CHECK(pair.b.applyUpdates(pair.a.updates()).empty());

    pair.clock.advance(1s);
    const auto lifted = pair.answer(pair.b, std::nullopt);
    REQUIRE(lifted);
    CHECK(lifted->before == 3.2);
    pair.a.applyUpdates(pair.b.updates());
    CHECK_FALSE(pair.a.perSecond("u"));
    CHECK(pair.a.limitedUpstreams() == 0);
}

TEST_CASE("limits: an older word does not revive a limit, and who says it is told what came after "
          "[limit]")
{
    Pair pair;
    pair.answer(pair.a, 3.2);
    const std::vector<LimitUpdate> old = pair.a.updates();
    pair.b.applyUpdates(old);
    pair.clock.advance(1s);
    pair.answer(pair.a, std::nullopt);
    CHECK(pair.a.applyUpdates(old).empty());
    CHECK_FALSE(pair.a.perSecond("u"));
    // Peers hear of it for a while; then it needs no more words.
    CHECK(pair.a.updates().size() == 1);
    pair.clock.advance(1min);
    CHECK(pair.a.updates().empty());
    // A node that was away for longer still says the old word.
    CHECK(pair.b.perSecond("u") == 3.2);
    pair.a.applyUpdates(pair.b.updates());
    CHECK(pair.b.applyUpdates(pair.a.updates()).size() == 1);
    CHECK_FALSE(pair.b.perSecond("u"));
}

TEST_CASE("limits: a change counts from the newest answer, not from the one that arrives last "
          "[limit]")
{
    Pair pair;
    pair.answer(pair.a, 2.0);
    pair.clock.advance(500ms);
    // Sent before the limit was known here: it may be older than the one that named it.
    CHECK_FALSE(pair.answer(pair.a, std::nullopt, 800ms));
    CHECK_FALSE(pair.answer(pair.a, 4.0, 800ms));
    CHECK(pair.answer(pair.a, 4.0, 100ms));
    pair.clock.advance(100ms);
    CHECK_FALSE(pair.answer(pair.a, 2.0, 300ms)); // from before the change
    CHECK(pair.answer(pair.a, 3.0, 50ms));
    // Eased only by an answer to what was sent after the last one that bore it out.
    pair.clock.advance(1s);
    pair.answer(pair.a, 3.0);
    CHECK_FALSE(pair.answer(pair.a, std::nullopt, 200ms));
    pair.clock.advance(300ms);
    CHECK(pair.answer(pair.a, std::nullopt, 200ms));
    pair.clock.advance(10ms);
    CHECK_FALSE(pair.answer(pair.a, 3.0, 400ms)); // an answer that was long on its way
    CHECK(pair.answer(pair.a, 3.0, 5ms)); // it is overloaded again
}

TEST_CASE("limits: where two nodes have read different answers at once, the stricter one holds "
          "until the next answer [limit]")
{
    Pair pair;
    pair.answer(pair.a, 5.0);
    pair.answer(pair.b, 2.0);
    pair.a.applyUpdates(pair.b.updates());
    pair.b.applyUpdates(pair.a.updates());
    CHECK(pair.a.perSecond("u") == 2.0);
    CHECK(pair.b.perSecond("u") == 2.0);
    pair.clock.advance(1s);
    CHECK(pair.answer(pair.a, 5.0));
    pair.b.applyUpdates(pair.a.updates());
    CHECK(pair.b.perSecond("u") == 5.0);
}

TEST_CASE("limits: a new life has none, and nothing is kept of upstreams that are gone [limit]")
{
    Pair pair;
    pair.answer(pair.a, 2.0);
    pair.a.forget("u");
    pair.a.addUpstream("u/2");
    CHECK_FALSE(pair.a.perSecond("u"));
    CHECK_FALSE(pair.a.perSecond("u/2"));
    CHECK(pair.a.applyUpdates({{stableHash("u"), 9, 2.0, 0s, {}}}).empty());
    CHECK_FALSE(pair.answer(pair.a, 2.0));
    CHECK(pair.a.updates().empty());
}

TEST_CASE("limits: zero still lets through what shows that it is lifted; one beyond any process is "
          "none [limit]")
{
    Pair pair;
    pair.answer(pair.a, 0.0);
    REQUIRE(pair.a.perSecond("u"));
    CHECK(*pair.a.perSecond("u") > 0.0);
    CHECK(*pair.a.perSecond("u") <= 0.2);
    pair.clock.advance(1s);
    pair.answer(pair.a, 1e300);
    CHECK_FALSE(pair.a.perSecond("u"));
}
