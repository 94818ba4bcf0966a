// SPDX-License-Identifier: MIT
#include <doctest/doctest.h>

#include <map>

#include "fordwood/manual_clock.hpp"
#include "fordwood/proxy_peers.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// Peers "n0", "n1", ... in failure domains of two: "d0", "d0", "d1", "d1", ...
std::vector<ProxyPeer> makePeers(int n)
{
    std::vector<ProxyPeer> peers;
    peers.reserve(static_cast<std::size_t>(n));
    for (int it = 0; it < n; ++it)
        peers.push_back({"n" + std::to_string(it), "10.0.0." + std::to_string(it) + ":1",
                         "d" + std::to_string(it / 2)});
    return peers;
}

} // namespace

TEST_CASE("proxy peers: without peers, or if none may be used, there is no choice")
{
    ManualClock clock;
    ProxyPeers peers(clock, "self");
    CHECK_FALSE(peers.choose({}));
    peers.setPeers(makePeers(2));
    ProxyPeers::Query query;
    query.mayPass = [](const std::string &) { return false; };
    CHECK_FALSE(peers.choose(query));
    query.mayPass = {};
    query.excluded = {"n0", "n1"};
    CHECK_FALSE(peers.choose(query));
}

TEST_CASE("proxy peers: a request that is restricted to regions passes only through their nodes")
{
    ManualClock clock;
    ProxyPeers peers(clock, "self");
    peers.setPeers(makePeers(8));
    for (std::uint64_t n = 0; n < 50; ++n) {
        ProxyPeers::Query query;
        query.hash = n;
        query.mayPass = [](const std::string &domain) { return domain == "d2"; };
        const auto chosen = peers.choose(query);
        REQUIRE(chosen);
        CHECK(chosen->failureDomain == "d2");
        peers.opened(chosen->name);
    }
}

TEST_CASE("proxy peers: a peer in the upstream's failure domain is preferred to one elsewhere")
{
    ManualClock clock;
    ProxyPeers peers(clock, "self");
    peers.setPeers(makePeers(8));
    ProxyPeers::Query query;
    query.upstreamDomain = "d3";
    CHECK(peers.choose(query)->failureDomain == "d3");
}

// Half of the peers are cut off as well, and some of them do not know it yet.
TEST_CASE("proxy peers: requests find the peers that reach upstreams and spread over them")
{
    ManualClock clock;
    ProxyPeers peers(clock, "self");
    peers.setPeers(makePeers(8));
    const std::set<std::string> refusing{"n0", "n2"};
    const std::set<std::string> unaware{"n4", "n6"};
    std::map<std::string, int> served;
    int failures = 0;
    for (std::uint64_t n = 0; n < 400; ++n) {
        clock.advance(20ms);
        std::vector<std::string> open; // ten requests run at a time
        for (int it = 0; it < 10; ++it) {
            ProxyPeers::Query query;
            query.hash = 10 * n + static_cast<std::uint64_t>(it);
            for (auto peer = peers.choose(query); peer; peer = peers.choose(query)) {
                query.excluded.insert(peer->name);
                peers.opened(peer->name);
                open.push_back(peer->name);
                if (refusing.contains(peer->name)) {
                    peers.failed(peer->name);
                } else if (unaware.contains(peer->name)) {
                    peers.reportedUnreachable(peer->name);
                } else {
                    peers.succeeded(peer->name);
                    served[peer->name] += 1;
                    break;
                }
                ++failures;
            }
        }
        for (const std::string &it : open)
            peers.closed(it);
    }
    REQUIRE(served.size() == 4);
    for (const auto &[name, n] : served)
        CHECK(n >= 600);
    CHECK(failures <= 40); // of 4,000 requests
}

TEST_CASE("proxy peers: a peer that has recovered is used again")
{
    ManualClock clock;
    ProxyPeers peers(clock, "self");
    peers.setPeers(makePeers(1));
    for (int n = 0; n < 20; ++n)
        peers.failed("n0");
    CHECK_FALSE(peers.choose({}));
    clock.advance(4s);
    CHECK(peers.choose({}));
    peers.failed("n0");
    peers.succeeded("n0");
    CHECK(peers.choose({}));
}

// Many nodes lose upstreams at the same moment and ask peers whether they reach them.
TEST_CASE("proxy peers: nodes that probe at the same time do not all ask the same peers")
{
    constexpr int kNodes = 300;
    ManualClock clock;
    std::map<std::string, int> asked;
    for (int n = 0; n < kNodes; ++n) {
        ProxyPeers peers(clock, "chooser" + std::to_string(n));
        peers.setPeers(makePeers(kNodes));
        ProxyPeers::Query query;
        query.upstreamDomain = "elsewhere";
        asked[peers.choose(query)->name] += 1;
    }
    for (const auto &[name, n] : asked)
        CHECK(n <= 10);
}
