// SPDX-License-Identifier: MIT
// Outages of the platform's store that follow each other, seen by real nodes over real connections.
#include <doctest/doctest.h>

#include <chrono>
#include <thread>
#include <vector>

#include "process/faulty_proxy.hpp"
#include "process/node_deployment.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;
using Mode = FaultyProxy::Mode;

namespace {

constexpr int kNodes = 3;

// The time within which a change of the configuration has to be in force.
constexpr std::chrono::seconds kInForceWithin{5};

constexpr std::chrono::milliseconds kOutage{2'500};
constexpr std::chrono::milliseconds kBetweenOutages{100};

// After an outage callers are promised the newest configuration only after this time.
constexpr std::chrono::seconds kContactRegained{3};

// Nodes whose connections to the store pass a proxy.
class OutageFixture : public Deployment
{
public:
    OutageFixture() : storePath(net + "4:7000", net + "1:7000")
    {
        putConfiguration(1);
        putUpstream("i-1");
        putUpstream("i-2");
        for (int n = 0; n < kNodes; ++n)
            startNode(n, net + "4:7000");
        for (int n = 0; n < kNodes; ++n)
            REQUIRE(Fleet::waitFor([&] { return isReady(n) && logged(n, "live=\"3\"") > 0; }));
    }

    void play(const std::vector<Mode> &outages)
    {
        for (const Mode it : outages) {
            storePath.setMode(it);
            std::this_thread::sleep_for(kOutage);
            storePath.setMode(Mode::Forward);
            std::this_thread::sleep_for(kBetweenOutages);
        }
    }

    // Adds a route. Returns the time until the last node serves it.
    std::chrono::steady_clock::duration addRoute()
    {
        const auto started = std::chrono::steady_clock::now();
        putConfiguration(2, "/new/");
        for (int n = 0; n < kNodes; ++n)
            REQUIRE(Fleet::waitFor([&] { return call("GET", "/new/1", "r", n).status == 200; }));
        return std::chrono::steady_clock::now() - started;
    }

    FaultyProxy storePath;
};

} // namespace

// Guards against nodes that learn of no change for 19 s after the store is back from outages that
// followed each other.
TEST_CASE("store outage: a route that is added after several outages in a row is served in time "
          "[node][outage]")
{
    OutageFixture fleet;
    SUBCASE("reset and then silent")
    {
        fleet.play({Mode::Reset, Mode::Silent});
    }
    SUBCASE("silent and then reset")
    {
        fleet.play({Mode::Silent, Mode::Reset});
    }
    SUBCASE("four in a row")
    {
        fleet.play({Mode::Silent, Mode::Reset, Mode::Silent, Mode::Silent});
    }
    std::this_thread::sleep_for(kContactRegained);
    CHECK(fleet.addRoute() < kInForceWithin);
}
