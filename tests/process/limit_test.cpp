// SPDX-License-Identifier: MIT
// Two overloaded engines named in their answers how many requests a second they take from all nodes
// together. No node read that, and the requests went on as before: eight nodes sent 33 and 43
// requests within four seconds to engines that named 2.7 and 2.9 a second and bear 21 and 22. What
// settled it were the arrivals, 9.5 a second before the limit was named and 8.2 after, and lines
// such as
//   event=314 name=LimitNamed upstream="i-1" per_second="2.000000" source="a-17"
// at each node, with sends to that upstream going on after them.
#include <doctest/doctest.h>

#include <chrono>
#include <thread>

#include "process/node_deployment.hpp"
#include "support/busiest_window.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

namespace {

using RealClock = std::chrono::steady_clock;
using Arrivals = std::vector<RealClock::time_point>;

// Callers at some of the nodes, one at each, who come again at once.
struct Callers
{
    // The answers by status.
    std::map<long, int> callFor(const Deployment &fleet, RealClock::duration time)
    {
        std::map<long, int> all;
        std::mutex mutex;
        std::vector<std::thread> threads;
        for (const int node : nodes) {
            threads.emplace_back([&, node] {
                const auto end = RealClock::now() + time;
                for (int n = 0; RealClock::now() < end; ++n) {
                    const std::string id = std::to_string(node) + "-" + std::to_string(begun++);
                    const HttpAnswer answer = fleet.call("GET", "/safe/1", id, node);
                    const std::lock_guard lock(mutex);
                    all[answer.status] += 1;
                    if (answer.status == 503)
                        lastRejection = answer;
                    std::this_thread::sleep_for(10ms);
                }
            });
        }
        for (std::thread &it : threads)
            it.join();
        return all;
    }

    std::vector<int> nodes{0, 1};
    HttpAnswer lastRejection;
    std::atomic<int> begun{0};
};

// The most arrivals in four seconds, of those after `from`.
std::size_t busiest(const Arrivals &arrivals, RealClock::time_point from)
{
    return fordwood::support::busiestWindow(arrivals, 4s, from);
}

} // namespace

TEST_CASE("node: what an upstream says of its limit is told by log and metrics [node][limit]")
{
    Deployment fleet;
    fleet.start();
    int calls = 0;
    const auto call = [&] { fleet.call("GET", "/safe/1", "l-" + std::to_string(++calls)); };
    const auto callUntilLogged = [&](const std::string &event) {
        return Fleet::waitFor([&] {
            call();
            return fleet.logged(0, event) > 0;
        });
    };
    const auto limited = [&] { return fleet.metric("fordwood_limited_upstreams"); };
    fleet.first.setLimit("50");
    CHECK(callUntilLogged("event=314"));
    CHECK(Fleet::waitFor([&] { return limited() == 1; }));
    fleet.first.setLimit("4e1");
    CHECK(callUntilLogged("event=315"));
    for (const char *it : {"-1", "nan", "inf", "2/s"}) {
        fleet.first.setLimit(it);
        const double before = fleet.metric("fordwood_unreadable_limits_total");
        CHECK(Fleet::waitFor([&] {
            call();
            return fleet.metric("fordwood_unreadable_limits_total") > before;
        }));
        CHECK(limited() == 1); // what was known holds
    }
    CHECK(fleet.logged(0, "event=317") == 1);
    fleet.first.setLimit(std::nullopt);
    CHECK(callUntilLogged("event=316"));
    CHECK(Fleet::waitFor([&] { return limited() == 0; }));
}

TEST_CASE("node: upstreams that name a limit get no more than that from all nodes together, and "
          "callers beyond it are told when to come again [node][limit]")
{
    Deployment fleet;
    fleet.start();
    fleet.startNode(1);
    REQUIRE(Fleet::waitFor([&] { return fleet.isReady(1); }));
    fleet.first.setLimit("2");
    fleet.second.setLimit("2.0");
    Callers callers;
    callers.callFor(fleet, 3s);
    const auto limitsActiveFrom = RealClock::now();
    const std::map<long, int> answers = callers.callFor(fleet, 9s);
    constexpr std::size_t kMaxArrivals = 17; // in four seconds: 1.5 x 2 x 4 + 5
    for (UpstreamStandin *it : {&fleet.first, &fleet.second}) {
        CHECK(busiest(it->arrivals(), limitsActiveFrom) <= kMaxArrivals);
        CHECK(it->totalRuns() > 0);
    }
    REQUIRE(answers.contains(200));
    CHECK(answers.at(200) >= 18); // of 36 at the rates that they name
    REQUIRE(answers.contains(503));
    CHECK(callers.lastRejection.body.find("upstream-limited") != std::string::npos);
    CHECK(callers.lastRejection.headers.contains("retry-after"));
}

TEST_CASE("node: in a fleet with relays, nodes learn of a limit that only others were told, and "
          "the few that have callers divide it [node][limit][relays]")
{
    constexpr int kNodes = 14;
    Deployment fleet;
    fleet.start();
    for (int node = 1; node < kNodes; ++node)
        fleet.startNode(node, "", node % 2 == 0 ? "x" : "y");
    for (int node = 0; node < kNodes; ++node)
        REQUIRE(Fleet::waitFor([&] { return fleet.isReady(node); }));
    fleet.first.setLimit("2");
    fleet.second.setLimit("2");
    Callers callers;
    callers.nodes = {0, 13};
    callers.callFor(fleet, 3s);
    for (int node = 0; node < kNodes; ++node) {
        CAPTURE(node);
        CHECK(
            Fleet::waitFor([&] { return fleet.metric("fordwood_limited_upstreams", node) == 2; }));
    }
    const auto limitsActiveFrom = RealClock::now();
    const std::map<long, int> answers = callers.callFor(fleet, 9s);
    for (UpstreamStandin *it : {&fleet.first, &fleet.second})
        CHECK(busiest(it->arrivals(), limitsActiveFrom) <= 17); // 1.5 x 2 x 4 + 5
    REQUIRE(answers.contains(200));
    CHECK(answers.at(200) >= 18); // of 36 at the rates that they name

    // Lifted again: nodes without callers hear it from the others.
    fleet.first.setLimit(std::nullopt);
    fleet.second.setLimit(std::nullopt);
    callers.callFor(fleet, 4s);
    for (int node = 0; node < kNodes; ++node) {
        CAPTURE(node);
        CHECK(
            Fleet::waitFor([&] { return fleet.metric("fordwood_limited_upstreams", node) == 0; }));
    }
}

TEST_CASE(
    "node: the limit of an upstream ends with its life, and a node that starts hears of those "
    "that stand from its peers [node][limit][lives]")
{
    Deployment fleet;
    fleet.start();
    fleet.startNode(1);
    REQUIRE(Fleet::waitFor([&] { return fleet.isReady(1); }));
    const auto limited = [&](int node) { return fleet.metric("fordwood_limited_upstreams", node); };
    fleet.first.setLimit("0.5");
    fleet.second.setLimit("0.5");
    int calls = 0;
    const auto callUntilLimitedCount = [&](int node, double n) {
        return Fleet::waitFor([&] {
            fleet.call("GET", "/safe/1", "c-" + std::to_string(++calls), node);
            return limited(node) == n;
        });
    };
    REQUIRE(callUntilLimitedCount(0, 2));
    REQUIRE(Fleet::waitFor([&] { return limited(1) == 2; }));

    // No answer names a limit any more: what ends it is the record of the next life.
    fleet.first.setLimit(std::nullopt);
    fleet.putUpstream("i-1", "ready", 2);
    for (const int node : {0, 1})
        CHECK(Fleet::waitFor([&] { return limited(node) == 1; }));

    // It sends nothing itself.
    const int logged = fleet.logged(0, "event=314");
    fleet.nodes.erase(fleet.nodes.begin());
    fleet.startNode(0);
    REQUIRE(Fleet::waitFor([&] { return fleet.isReady(0); }));
    CHECK(Fleet::waitFor([&] { return limited(0) == 1; }));
    CHECK(fleet.logged(0, "event=314") == logged + 1);
}

TEST_CASE("node: that an upstream is draining, by its answers, is known to nodes without callers "
          "and to those that start later, while the platform's store is away [node][drain]")
{
    Deployment fleet;
    fleet.start();
    fleet.startNode(1);
    REQUIRE(Fleet::waitFor([&] { return fleet.isReady(1); }));
    fleet.store.setDown(true);
    fleet.first.setDraining(true);
    const auto reported
        = [&](int node) { return fleet.metric("fordwood_draining_reported_upstreams", node) == 1; };
    int calls = 0;
    REQUIRE(Fleet::waitFor([&] {
        fleet.call("GET", "/safe/1", "d-" + std::to_string(++calls));
        return reported(0);
    }));
    CHECK(Fleet::waitFor([&] { return reported(1); }));
    CHECK(fleet.logged(1, "event=319") == 1);
    fleet.startNode(2);
    REQUIRE(Fleet::waitFor([&] { return fleet.isReady(2); }));
    CHECK(Fleet::waitFor([&] { return reported(2); }));
    const std::size_t before = fleet.first.arrivals().size();
    for (int n = 0; n < 20; ++n) {
        const std::string id = "e-" + std::to_string(n);
        CHECK(fleet.call("GET", "/safe/1", id, n % 3).status == 200);
    }
    CHECK(fleet.first.arrivals().size() == before);
}
