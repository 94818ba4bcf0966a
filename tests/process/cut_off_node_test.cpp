// SPDX-License-Identifier: MIT
// A node that reaches no upstream, while its callers, the store and the other nodes reach it.
#include <doctest/doctest.h>

#include <csignal>

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

TEST_CASE("cut-off node: several cut-off nodes use the others, and do not pass requests on to each "
          "other [node][cut]")
{
    CutOffFixture fleet;
    for (const int it : {1, 2})
        fleet.cutOffFromUpstreams(it, Break::Refuse);
    for (const int it : {1, 2})
        CHECK(fleet.waitUntilServing(it));
    fleet.cutOffFromUpstreams(0, Break::Refuse);
    REQUIRE(Fleet::waitFor([&] { return fleet.answered(1) == 0; }));
    const HttpAnswer answer = fleet.call("POST", "/once/1", "not-run", 1);
    CHECK(answer.status == 503);
    CHECK(answer.headers.contains("retry-after"));
    CHECK(fleet.first.runs("not-run") + fleet.second.runs("not-run") == 0);
    fleet.restorePaths(2);
    for (const int it : {0, 1, 2})
        CHECK(fleet.waitUntilServing(it));
}

TEST_CASE("cut-off node: a stream through a peer is resumed at another upstream [node][cut]")
{
    CutOffFixture fleet;
    fleet.cutOffFromUpstreams(CutOffFixture::kCutOff, Break::Refuse);
    REQUIRE(fleet.waitUntilServing(CutOffFixture::kCutOff));
    fleet.first.breakStreamsAfter(2);
    bool wasBroken = false;
    for (int n = 0; n < 30 && !wasBroken; ++n) {
        const std::string id = "s-" + std::to_string(n);
        const HttpAnswer answer = fleet.call("GET", "/stream/1", id, CutOffFixture::kCutOff);
        CHECK(answer.status == 200);
        CHECK(answer.isComplete);
        wasBroken = fleet.first.runs(id) == 1;
        if (wasBroken)
            CHECK(fleet.second.lastField("Last-Event-Id") == "2");
    }
    CHECK(wasBroken);
}

TEST_CASE("cut-off node: a request that may run once is not repeated when its peer dies "
          "[node][cut][at-most-once]")
{
    CutOffFixture fleet;
    fleet.cutOffFromUpstreams(CutOffFixture::kCutOff, Break::Refuse);
    REQUIRE(fleet.waitUntilServing(CutOffFixture::kCutOff));
    const auto killPeers = [&](const std::string &, const std::string &) {
        for (const std::size_t it : {0U, 2U})
            fleet.nodes[it].signal(SIGKILL);
    };
    for (UpstreamStandin *it : {&fleet.first, &fleet.second})
        it->endOnRequest("/once/fatal", UpstreamStandin::NextLife::SameId, killPeers);
    const HttpAnswer answer = fleet.call("POST", "/once/fatal", "fatal", CutOffFixture::kCutOff);
    CHECK((answer.status == 502 || answer.status == 504));
    // No node reaches an upstream any more.
    const HttpAnswer later = fleet.call("POST", "/once/1", "later", CutOffFixture::kCutOff);
    CHECK(later.status == 503);
    CHECK(fleet.first.runs("later") + fleet.second.runs("later") == 0);
}

TEST_CASE("cut-off node: a planned stop of a peer ends no answer that passes through it "
          "[node][cut][stop]")
{
    constexpr int kEvents = 200;
    CutOffFixture fleet;
    fleet.cutOffFromUpstreams(CutOffFixture::kCutOff, Break::Refuse);
    REQUIRE(fleet.waitUntilServing(CutOffFixture::kCutOff));
    for (UpstreamStandin *it : {&fleet.first, &fleet.second})
        it->setStreams(kEvents, 20'000);
    // The caller does not read, so that the answer is still on its way when the peers stop.
    IdleConnection caller(fleet.host(CutOffFixture::kCutOff) + ":8080");
    REQUIRE(caller.exchange("GET /stream/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: s\r\n"
                            "Credential: key-t\r\n\r\n",
                            "200 OK"));
    for (const std::size_t it : {0U, 2U})
        fleet.nodes[it].signal(SIGTERM);
    for (const int it : {0, 2})
        REQUIRE(Fleet::waitFor([&] { return !fleet.isReady(it); }));
    CHECK(caller.exchange("", "id: " + std::to_string(kEvents)));
    CHECK(fleet.first.runs("s") + fleet.second.runs("s") == 1);
    for (const std::size_t it : {0U, 2U})
        CHECK(fleet.nodes[it].wait() == 0);
}

TEST_CASE("cut-off node: invalid requests to a proxy are rejected [node][cut][bad-input]")
{
    Deployment fleet;
    fleet.start();
    const std::string proxy = fleet.host(0) + ":8085";
    const auto request = [](const std::string &upstream) {
        return "GET /upstream HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\n"
               "Upgrade: fordwood-proxy\r\nFordwood-Upstream: "
               + upstream + "\r\n\r\n";
    };
    CHECK(rawCall(proxy, "nonsense\r\n\r\n").empty());
    CHECK(rawCall(proxy, std::string(10'000, 'x')).empty());
    CHECK(rawCall(proxy, "GET / HTTP/1.1\r\nHost: peer\r\n\r\n").starts_with("HTTP/1.1 400"));
    CHECK(rawCall(proxy, request("127.0.0.1:22")).starts_with("HTTP/1.1 503"));
    CHECK(rawCall(proxy, request("")).starts_with("HTTP/1.1 503"));
    // A request that is sent together with its upgrade could reach the upstream twice.
    CHECK(rawCall(proxy, request("i-1@1796000000001") + "GET / HTTP/1.1\r\n\r\n")
              .starts_with("HTTP/1.1 400"));
    CHECK(fleet.first.totalRuns() + fleet.second.totalRuns() == 0);
    CHECK(fleet.call("GET", "/safe/1", "r-1").status == 200);
}
