// SPDX-License-Identifier: MIT
// The planned stop of a node that connects another one, which reaches no upstream, to upstreams.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "process/stop_fleet.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

namespace {

using RealClock = StopFleet::RealClock;

bool isWhole(const HttpAnswer &answer)
{
    return answer.isComplete && answer.status == 200;
}

// Three nodes, of which the second reaches no upstream.
class ProxyStopFixture : public StopFleet
{
public:
    static constexpr int kCutOff = 1;
    static constexpr int kUpstreams = 2;

    ProxyStopFixture() : StopFleet(3, kUpstreams, 2'000ms)
    {
        for (const int it : {0, 1, 2})
            REQUIRE(Fleet::waitFor([&] { return logged(it, "live=\"3\"") > 0; }));
        std::vector<std::string> hosts;
        hosts.reserve(kUpstreams);
        for (int n = 0; n < kUpstreams; ++n)
            hosts.push_back(upstreamHost(n));
        cutOffFrom(kCutOff, Break::Refuse, hosts);
        // A peer that has failed at first is passed over for up to 4 s.
        int n = 0;
        REQUIRE(Fleet::waitFor([&] {
            constexpr auto kGaugeInterval = 100ms;
            const std::string id = "earlier-" + std::to_string(++n) + "-";
            auto calls = call(kShortRequests, "once", 5 * kGaugeInterval, id);
            std::this_thread::sleep_for(3 * kGaugeInterval);
            const bool areBothUsed = metric("fordwood_proxied_connections", 0) > 0.0
                                     && metric("fordwood_proxied_connections", 2) > 0.0;
            return wholeOf(std::move(calls)) == kShortRequests && areBothUsed;
        }));
    }

    static constexpr int kShortRequests = 24;

    // Sends requests to the cut-off node at the same time, each on a connection of its own.
    std::vector<std::future<HttpAnswer>> call(int count, const std::string &route,
                                              std::chrono::milliseconds length,
                                              const std::string &id) const
    {
        std::vector<std::future<HttpAnswer>> calls;
        calls.reserve(static_cast<std::size_t>(count));
        for (int n = 0; n < count; ++n)
            calls.push_back(std::async(std::launch::async, [this, route, length, id, n] {
                return callOnce(kCutOff, route, length, id + std::to_string(n));
            }));
        return calls;
    }

    // How many of the answers are whole.
    static int wholeOf(std::vector<std::future<HttpAnswer>> calls)
    {
        return static_cast<int>(
            std::count_if(calls.begin(), calls.end(), [](auto &it) { return isWhole(it.get()); }));
    }

    // The peer that carries the most connections of the cut-off node.
    std::size_t busiestPeer() const
    {
        const auto carried
            = [this](int node) { return metric("fordwood_proxied_connections", node); };
        REQUIRE(Fleet::waitFor([&] { return carried(0) + carried(2) > 0.0; }));
        return carried(0) > carried(2) ? 0 : 2;
    }

    // Waits until upstreams have begun so many requests whose ids begin with `id`.
    void waitUntilBegun(int count, const std::string &id) const
    {
        REQUIRE(Fleet::waitFor([&] {
            for (int n = 0; n < count; ++n) {
                if (runs(id + std::to_string(n)).empty())
                    return false;
            }
            return true;
        }));
    }
};

} // namespace

// Guards against upstreams that are paused at a cut-off node because its peer has stopped.
TEST_CASE("stopped peer: connections that end with it do not count against upstreams "
          "[node][stop][cut]")
{
    constexpr int kOpen = 24;
    ProxyStopFixture fleet;
    auto open = fleet.call(kOpen, "once", 4'000ms, "open-");
    fleet.waitUntilBegun(kOpen, "open-");
    PlannedStop stop(fleet, fleet.busiestPeer());
    CHECK(stop.finish() == 0);
    auto later = fleet.call(ProxyStopFixture::kShortRequests, "once", 20ms, "later-");
    CHECK(ProxyStopFixture::wholeOf(std::move(later)) == ProxyStopFixture::kShortRequests);
    // Those that went through another peer are whole. The others may have run.
    int whole = 0;
    for (std::future<HttpAnswer> &it : open) {
        const HttpAnswer answer = it.get();
        CHECK((isWhole(answer) || answer.status == 502));
        whole += isWhole(answer) ? 1 : 0;
    }
    CHECK(whole < kOpen);
}

// Guards against requests that are lost with a peer though they may be repeated.
TEST_CASE("stopped peer: requests that may be repeated are sent again elsewhere [node][stop][cut]")
{
    constexpr int kOpen = 24;
    ProxyStopFixture fleet;
    auto open = fleet.call(kOpen, "safe", 3'000ms, "open-");
    fleet.waitUntilBegun(kOpen, "open-");
    PlannedStop stop(fleet, fleet.busiestPeer());
    CHECK(stop.finish() == 0);
    int repeated = 0;
    for (int n = 0; n < kOpen; ++n) {
        const HttpAnswer answer = open[static_cast<std::size_t>(n)].get();
        const std::size_t runs = fleet.runs("open-" + std::to_string(n)).size();
        // Repetitions are limited by the node's budget.
        CHECK((isWhole(answer) || (runs == 1 && answer.status == 502)));
        repeated += runs > 1 ? 1 : 0;
    }
    CHECK(repeated > 0);
}

// Guards against requests that are sent through a peer which will not see their end.
TEST_CASE("stopped peer: requests that come during its stop are answered [node][stop][cut]")
{
    constexpr auto kInterval = 20ms;
    constexpr int kRequests = 125; // until after its end
    ProxyStopFixture fleet;
    PlannedStop stop(fleet, 0);
    std::vector<std::future<HttpAnswer>> calls;
    for (int n = 0; n < kRequests; ++n) {
        std::this_thread::sleep_until(stop.begin() + n * kInterval);
        auto call = fleet.call(1, "once", 400ms, "late-" + std::to_string(n) + "-");
        calls.push_back(std::move(call.front()));
    }
    CHECK(stop.finish() == 0);
    for (int n = 0; n < kRequests; ++n) {
        const HttpAnswer answer = calls[static_cast<std::size_t>(n)].get();
        CAPTURE(n);
        CAPTURE(answer.status);
        CAPTURE(answer.body);
        CHECK(isWhole(answer));
    }
}

// Guards against peers that ask a node which has ended until the store tells that it has.
TEST_CASE("stopped node: its peers no longer ask it, also while the store is away [node][stop]")
{
    StopFleet fleet(3, 1, 2'000ms);
    const auto peersOfSecond = [&] { return fleet.metric("fordwood_stream_peers", 1); };
    REQUIRE(Fleet::waitFor([&] { return peersOfSecond() == 2.0; }));
    SUBCASE("the store answers") { }
    SUBCASE("the store is away")
    {
        fleet.store.setDown(true);
    }
    PlannedStop stop(fleet, 0);
    CHECK(stop.finish() == 0);
    const RealClock::time_point until = RealClock::now() + 1s;
    while (peersOfSecond() != 1.0 && RealClock::now() < until)
        std::this_thread::sleep_for(10ms);
    CHECK(peersOfSecond() == 1.0);
}
