// SPDX-License-Identifier: MIT
// Guards against nodes that ignore the request rate that an upstream reports as its limit for all
// nodes together. Two overloaded engines reported 2.7 and 2.9 requests per second, which allows 21
// and 22 requests within four seconds. Eight nodes ignored the limit and sent 33 and 43. The
// arrival rate was 9.5 per second before the limit was reported and 8.2 after, and each node kept
// sending after it had logged lines such as
//   event=314 name=LimitNamed upstream="i-1" per_second="2.000000" source="a-17"
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

// One caller at each of the given nodes. A caller sends its next request 10 ms after each answer.
struct Callers
{
    // Sends requests for the given time and returns the number of answers by status.
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

// The highest number of arrivals in any four seconds after `from`.
std::size_t busiest(const Arrivals &arrivals, RealClock::time_point from)
{
    return fordwood::support::busiestWindow(arrivals, 4s, from);
}

} // namespace

TEST_CASE(
    "node: the limit that an upstream reports appears in the log and the metrics [node][limit]")
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
        CHECK(limited() == 1); // the last valid limit stays in force
    }
    CHECK(fleet.logged(0, "event=317") == 1);
    fleet.first.setLimit(std::nullopt);
    CHECK(callUntilLogged("event=316"));
    CHECK(Fleet::waitFor([&] { return limited() == 0; }));
}

TEST_CASE("node: all nodes together stay within the limit that an upstream reports, and rejected "
          "callers get a Retry-After [node][limit]")
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
    constexpr std::size_t kMaxArrivals = 17; // within four seconds: 1.5 x 2 x 4 + 5
    for (UpstreamStandin *it : {&fleet.first, &fleet.second}) {
        CHECK(busiest(it->arrivals(), limitsActiveFrom) <= kMaxArrivals);
        CHECK(it->totalRuns() > 0);
    }
    REQUIRE(answers.contains(200));
    CHECK(answers.at(200) >= 18); // of the 36 that both limits allow in nine seconds
    REQUIRE(answers.contains(503));
    CHECK(callers.lastRejection.body.find("upstream-limited") != std::string::npos);
    CHECK(callers.lastRejection.headers.contains("retry-after"));
}

TEST_CASE("node: in a fleet with relays, nodes learn of limits that only other nodes received, and "
          "the few nodes that have callers share them [node][limit][relays]")
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
    CHECK(answers.at(200) >= 18); // of the 36 that both limits allow in nine seconds

    // Once the limits are removed, nodes without callers learn of it from the others.
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
    "node: the limit of an upstream ends when the upstream restarts, and a node that starts gets "
    "the current limits from its peers [node][limit][lives]")
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

    // No answer contains a limit any more. The record of the restarted upstream removes the old
    // limit.
    fleet.first.setLimit(std::nullopt);
    fleet.putUpstream("i-1", "ready", 2);
    for (const int node : {0, 1})
        CHECK(Fleet::waitFor([&] { return limited(node) == 1; }));

    // The restarted node sends no requests, so it can learn the limit only from its peer.
    const int logged = fleet.logged(0, "event=314");
    fleet.nodes.erase(fleet.nodes.begin());
    fleet.startNode(0);
    REQUIRE(Fleet::waitFor([&] { return fleet.isReady(0); }));
    CHECK(Fleet::waitFor([&] { return limited(0) == 1; }));
    CHECK(fleet.logged(0, "event=314") == logged + 1);
}

TEST_CASE("node: when answers mark an upstream as draining, nodes without callers and nodes that "
          "start later learn of it, also while the platform's store is unavailable [node][drain]")
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
