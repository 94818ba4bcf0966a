// SPDX-License-Identifier: MIT
#include <doctest/doctest.h>

#include <set>

#include "fordwood/manual_clock.hpp"
#include "fordwood/upstream_reach.hpp"

using namespace fordwood;
using namespace std::chrono_literals;
using State = UpstreamReach::State;

namespace {

constexpr std::size_t kUpstreams = 4;
const std::vector<std::string> kAll{"a", "b", "c", "d"};

} // namespace

TEST_CASE("upstream reach: one upstream that fails is no reason to doubt the node's own path")
{
    ManualClock clock;
    UpstreamReach reach(clock);
    for (int n = 0; n < 10; ++n) {
        reach.failed("s", "a", kUpstreams);
        reach.reachedByPeer("s", "a");
        clock.advance(100ms);
    }
    CHECK(reach.state("s") == State::Reachable);
    CHECK(reach.hasFailed("s"));
    reach.connected("s");
    CHECK_FALSE(reach.hasFailed("s"));
}

TEST_CASE("upstream reach: a node is cut off from a service once a peer reaches an upstream that "
          "it does not")
{
    ManualClock clock;
    UpstreamReach reach(clock);
    reach.failed("s", "a", kUpstreams);
    reach.failed("s", "b", kUpstreams);
    CHECK(reach.state("s") == State::Doubtful);
    reach.reachedByPeer("s", "c"); // it has not failed for this node
    CHECK(reach.state("s") == State::Doubtful);
    reach.reachedByPeer("s", "b");
    CHECK(reach.state("s") == State::CutOff);
    CHECK(reach.state("other") == State::Reachable);
    CHECK(reach.failedUpstreams("s") == std::vector<std::string>{"a", "b"});
    clock.advance(1h);
    CHECK(reach.state("s") == State::CutOff);
    reach.connected("s");
    CHECK(reach.state("s") == State::Reachable);
}

TEST_CASE("upstream reach: crashes of several upstreams among connections that succeed are no cut")
{
    ManualClock clock;
    UpstreamReach reach(clock);
    for (const char *it : {"a", "b", "c"}) {
        reach.failed("s", it, kUpstreams);
        CHECK(reach.state("s") == State::Reachable);
        reach.connected("s");
    }
}

TEST_CASE("upstream reach: failures that are far apart have separate causes")
{
    ManualClock clock;
    UpstreamReach reach(clock);
    reach.failed("s", "a", kUpstreams);
    clock.advance(6s);
    CHECK_FALSE(reach.hasFailed("s"));
    reach.failed("s", "b", kUpstreams);
    CHECK(reach.state("s") == State::Reachable);
}

TEST_CASE("upstream reach: where a service has one upstream, its failure is enough for doubt")
{
    ManualClock clock;
    UpstreamReach reach(clock);
    reach.failed("s", "a", 1);
    CHECK(reach.state("s") == State::Doubtful);
    reach.reachedByPeer("s", "a");
    CHECK(reach.state("s") == State::CutOff);
}

TEST_CASE("upstream reach: probes are bounded, and ask for what distinguishes a cut from a crash")
{
    ManualClock clock;
    UpstreamReach reach(clock);
    CHECK_FALSE(reach.takeProbe("s", kAll));
    reach.failed("s", "a", kUpstreams);
    const auto first = reach.takeProbe("s", kAll);
    REQUIRE(first);
    CHECK(first->direct != "a");
    CHECK_FALSE(first->throughPeer);
    CHECK_FALSE(reach.takeProbe("s", kAll));

    reach.failed("s", "b", kUpstreams);
    const auto second = reach.takeProbe("s", kAll);
    REQUIRE(second);
    CHECK((second->direct == "c" || second->direct == "d"));
    CHECK((second->throughPeer == "a" || second->throughPeer == "b"));
    reach.reachedByPeer("s", "a");
    REQUIRE(reach.state("s") == State::CutOff);
    int probes = 0;
    std::set<std::string> asked;
    for (int n = 0; n < 100; ++n) {
        clock.advance(100ms);
        if (const auto probe = reach.takeProbe("s", kAll)) {
            ++probes;
            asked.insert(*probe->direct);
            CHECK_FALSE(probe->throughPeer);
        }
    }
    CHECK(probes <= 40);
    CHECK(probes >= 30);
    CHECK(asked == std::set<std::string>{"a", "b"});
    // If the upstreams that failed are gone, others show whether the path works.
    clock.advance(1s);
    CHECK(reach.takeProbe("s", {"c"})->direct == "c");
}
