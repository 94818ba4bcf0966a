// SPDX-License-Identifier: MIT
// A node that reaches no upstream, while its callers, the store and the other nodes reach it.
#include <doctest/doctest.h>

#include "process/fleet.hpp"
#include "process/node_deployment.hpp"

using namespace fordwood::process;
using Break = Deployment::Break;

namespace {

constexpr int kRequests = 40;

// Three nodes, of which one gets cut off.
class CutOffFixture : public Deployment
{
public:
    static constexpr int kCutOff = 1;

    CutOffFixture()
    {
        start();
        for (const int it : {1, 2})
            startNode(it);
        for (const int it : {1, 2})
            REQUIRE(Fleet::waitFor([&] { return isReady(it); }));
        // The nodes know each other and have connections to both upstreams.
        for (const int it : {0, 1, 2}) {
            REQUIRE(Fleet::waitFor([&] { return logged(it, "live=\"3\"") > 0; }));
            CHECK(answered(it) == kRequests);
        }
    }

    // Sends requests of two kinds to the node. Returns how many were answered.
    int answered(int node)
    {
        int n = 0;
        for (int request = 0; request < kRequests; ++request) {
            const std::string id = "r-" + std::to_string(++m_requests);
            const bool mayRunAgain = request % 2 == 0;
            n += call(mayRunAgain ? "GET" : "POST", mayRunAgain ? "/safe/1" : "/once/1", id, node)
                             .status
                         == 200
                     ? 1
                     : 0;
            CHECK(first.runs(id) + second.runs(id) <= 1);
        }
        return n;
    }

    // Waits until the node serves its callers again; false if it does not.
    bool waitUntilServing(int node)
    {
        return Fleet::waitFor([&] { return answered(node) == kRequests; });
    }

private:
    int m_requests = 0;
};

} // namespace

TEST_CASE("cut-off node: callers are served while connections to all upstreams are refused [node]"
          "[cut]")
{
    CutOffFixture fleet;
    fleet.cutOffFromUpstreams(CutOffFixture::kCutOff, Break::Refuse);
    CHECK(fleet.waitUntilServing(CutOffFixture::kCutOff));
    fleet.restorePaths(CutOffFixture::kCutOff);
    CHECK(fleet.waitUntilServing(CutOffFixture::kCutOff));
}

TEST_CASE("cut-off node: callers are served while connections to all upstreams hang [node][cut]")
{
    CutOffFixture fleet;
    fleet.cutOffFromUpstreams(CutOffFixture::kCutOff, Break::Hang);
    CHECK(fleet.waitUntilServing(CutOffFixture::kCutOff));
    fleet.restorePaths(CutOffFixture::kCutOff);
    CHECK(fleet.waitUntilServing(CutOffFixture::kCutOff));
}
