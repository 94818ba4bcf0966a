// SPDX-License-Identifier: MIT
// The restart of all nodes at the same moment, before a store with a link of a limited rate.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

#include "process/node_deployment.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

namespace {

constexpr int kNodes = 40;

// The time within which callers are promised to be served again.
constexpr std::chrono::seconds kServedWithin{18};

// The time in which relays take and leave their roles.
constexpr std::chrono::seconds kSettled{3};

// Ten pages of content. The link carries a page for every node in two seconds, longer than a call
// of the store may take.
constexpr int kUpstreamRecords = 1'000;
constexpr std::size_t kPageItems = 100;
constexpr double kPageBytes = 48'000;
constexpr double kLinkBytesPerSecond = kNodes * kPageBytes / 2.0;

// Nodes of two failure domains that have written their keys, and a store that has filled up since.
class LargeFleet : public Deployment
{
public:
    LargeFleet()
    {
        putConfiguration(1);
        putUpstream("i-1");
        putUpstream("i-2");
        startAll();
        REQUIRE(Fleet::waitFor([&] { return readyNodes() == kNodes && knowEachOther(); }));
        // Records of another service, padded to the size that records of a fleet have.
        for (int n = 0; n < kUpstreamRecords; ++n)
            putUpstreamRecord({"other-" + std::to_string(n) + std::string(100, 'x'), net + "2:8000",
                               "v1", "other"});
        std::this_thread::sleep_for(kSettled);
        store.setLink(kPageItems, kLinkBytesPerSecond);
    }

    void startAll()
    {
        for (int n = 0; n < kNodes; ++n)
            startNode(n, "", n % 2 == 0 ? "x" : "y");
    }

    // All VMs lose power at the same moment and start again.
    void loseAndRegainPower()
    {
        for (Process &it : nodes)
            it.kill();
        nodes.clear();
        startAll();
    }

    int readyNodes() const
    {
        int n = 0;
        for (int node = 0; node < kNodes; ++node)
            n += isReady(node) ? 1 : 0;
        return n;
    }

private:
    bool knowEachOther() const
    {
        int n = 0;
        for (int node = 0; node < kNodes; ++node)
            n += logged(node, "live=\"" + std::to_string(kNodes) + "\"") > 0 ? 1 : 0;
        return n == kNodes;
    }
};

} // namespace

// Guards against a fleet that does not come back: all nodes read the store at once, no page arrived
// in time, and each began its read anew.
TEST_CASE("fleet restart: nodes that all lose power serve again while the store's link carries few "
          "reads at a time [node][start]")
{
    LargeFleet fleet;
    fleet.loseAndRegainPower();
    const auto restarted = std::chrono::steady_clock::now();
    int ready = 0;
    while (ready < kNodes && std::chrono::steady_clock::now() - restarted < kServedWithin)
        ready = fleet.readyNodes();
    CHECK(ready == kNodes);
    int served = 0;
    for (int n = 0; n < kNodes; ++n)
        served += fleet.call("GET", "/safe/1", "r" + std::to_string(n), n).status == 200 ? 1 : 0;
    CHECK(served == kNodes);
}
