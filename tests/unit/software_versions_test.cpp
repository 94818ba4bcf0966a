// SPDX-License-Identifier: MIT
// At which software version a stream goes on that its caller takes up.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "fordwood/manual_clock.hpp"
#include "fordwood/origin_search.hpp"
#include "fordwood/served_versions.hpp"
#include "fordwood/stream_holders.hpp"
#include "fordwood/stream_origins.hpp"
#include "fordwood/upstream_directory.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

using Versions = std::set<std::string>;

const StreamOrigin kOld{"s", "v1"};

OriginKnowledge knows(Versions versions, bool isComplete = true,
                      std::optional<StreamOrigin> origin = std::nullopt)
{
    return {std::move(origin), std::move(versions), isComplete};
}

UpstreamRecord record(const std::string &id, const std::string &version)
{
    UpstreamRecord record;
    record.instanceId = id;
    record.service = "s";
    record.softwareVersion = version;
    return record;
}

std::vector<SchedulerNode> nodes(int n, int domains)
{
    std::vector<SchedulerNode> all;
    all.reserve(static_cast<std::size_t>(n));
    for (int it = 0; it < n; ++it)
        all.push_back({"n" + std::to_string(it), "10.0.0." + std::to_string(it) + ":1", 1.0,
                       "z" + std::to_string(it % domains)});
    return all;
}

} // namespace

TEST_CASE("served versions: a version counts for a stream's lifetime after its last upstream")
{
    ManualClock clock;
    ServedVersions versions(clock);
    versions.extendStreamLifetime(10s);
    versions.add("s", "v1");
    versions.add("s", "v1.1");
    versions.add("s", "v1.1");
    CHECK(versions.recent("s") == Versions{"v1", "v1.1"});
    versions.remove("s", "v1.1");
    versions.remove("s", "v1");
    CHECK(versions.hasSeveral("s"));
    clock.advance(10s);
    CHECK(versions.recent("s") == Versions{"v1.1"});
    CHECK(versions.recent("other").empty());
}

TEST_CASE("served versions: what is seen is complete only after a stream's lifetime")
{
    ManualClock clock;
    ServedVersions versions(clock);
    versions.extendStreamLifetime(10s);
    CHECK(!versions.isComplete());
    clock.advance(10s);
    CHECK(versions.isComplete());
    versions.interrupt();
    CHECK(!versions.isComplete());
    clock.advance(10s);
    versions.extendStreamLifetime(20s);
    versions.extendStreamLifetime(5s);
    CHECK(!versions.isComplete());
    clock.advance(10s);
    CHECK(versions.isComplete());
}

TEST_CASE("served versions: what came and went while no changes arrived is not known")
{
    ManualClock clock;
    ServedVersions versions(clock);
    versions.extendStreamLifetime(10s);
    clock.advance(10s);
    CHECK(versions.isComplete());
    versions.setFollowing(false);
    clock.advance(20s);
    CHECK(!versions.isComplete());
    versions.setFollowing(true);
    versions.setFollowing(true);
    CHECK(!versions.isComplete());
    clock.advance(10s);
    CHECK(versions.isComplete());
}

TEST_CASE("served versions: a longer lifetime does not bring back versions that were forgotten")
{
    ManualClock clock;
    ServedVersions versions(clock);
    versions.extendStreamLifetime(10s);
    clock.advance(60s);
    versions.extendStreamLifetime(30s);
    CHECK(!versions.isComplete());
    clock.advance(20s);
    CHECK(versions.isComplete());
}

TEST_CASE("served versions: a version that a peer has seen counts, and their number is bounded")
{
    ManualClock clock;
    ServedVersions versions(clock);
    versions.extendStreamLifetime(10s);
    versions.add("s", "v1");
    versions.observe("s", "v2");
    CHECK(versions.hasSeveral("s"));
    clock.advance(10s);
    CHECK(!versions.hasSeveral("s"));
    for (int n = 0; n < 1'000; ++n)
        versions.observe("s", "x" + std::to_string(n));
    CHECK(versions.recent("s").size() <= 32);
}

TEST_CASE("served versions: versions of rollouts long ago leave room for new ones")
{
    ManualClock clock;
    ServedVersions versions(clock);
    versions.extendStreamLifetime(10s);
    versions.add("s", "v0");
    for (int n = 1; n < 100; ++n) {
        versions.add("s", "v" + std::to_string(n));
        versions.remove("s", "v" + std::to_string(n - 1));
        clock.advance(10s);
    }
    versions.observe("s", "next");
    CHECK(versions.recent("s") == Versions{"next", "v99"});
}

TEST_CASE("served versions: upstreams that drain, restart or change their version are followed")
{
    ManualClock clock;
    UpstreamDirectory upstreams(clock, {});
    upstreams.versions().extendStreamLifetime(10s);
    upstreams.put(record("a", "v1"));
    UpstreamRecord draining = record("b", "v1.1");
    draining.draining = true;
    upstreams.put(draining);
    CHECK(upstreams.versions().hasSeveral("s"));
    upstreams.put(record("b", "v1"));
    clock.advance(10s);
    CHECK(upstreams.versions().recent("s") == Versions{"v1"});
    upstreams.remove("a", false);
    upstreams.remove("b", false);
    clock.advance(10s);
    CHECK(upstreams.versions().recent("s").empty());
}

TEST_CASE("stream origins: a stream is remembered until its caller no longer takes it up")
{
    ManualClock clock;
    StreamOrigins origins(clock);
    const TimePoint now = clock.now();
    CHECK(origins.record({1, kOld, now + 5s}));
    CHECK(!origins.record({1, {"s", "v2"}, now + 4s}));
    CHECK(origins.find(1) == kOld);
    CHECK(origins.record({1, {"s", "v2"}, now + 8s}));
    clock.advance(7s);
    origins.tick();
    CHECK(origins.find(1) == kOld);
    clock.advance(1s);
    CHECK(!origins.find(1));
    origins.tick();
    CHECK(origins.size() == 0);
    CHECK(!origins.record({2, kOld, now}));
}

TEST_CASE("stream origins: thousands of streams take bounded memory")
{
    ManualClock clock;
    StreamOrigins origins(clock, {100});
    for (std::uint64_t n = 0; n < 10'000; ++n)
        origins.record({n, kOld, clock.now() + 1s + std::chrono::milliseconds(n)});
    CHECK(origins.size() == 100);
    CHECK(origins.find(9'999) == kOld);
    CHECK(!origins.find(0));
    CHECK(origins.of("s").size() == 100);
    CHECK(origins.of("other").empty());
}

TEST_CASE("stream origins: a caller cannot name a stream of another team or route")
{
    const StreamKey key = streamKey("r-1", "team", "a.example", "/chat/");
    CHECK(key == streamKey("r-1", "team", "a.example", "/chat/"));
    CHECK(key != streamKey("r-1", "other", "a.example", "/chat/"));
    CHECK(key != streamKey("r-1", "team", "b.example", "/chat/"));
    CHECK(key != streamKey("r-1", "team", "a.example", "/other/"));
    CHECK(key != streamKey("r-2", "team", "a.example", "/chat/"));
}

TEST_CASE("origin search: a known origin is used, whoever knows it")
{
    CHECK(OriginSearch("s", knows({"v1", "v2"}, false, kOld), 2).isDone());
    OriginSearch search("s", knows({"v2"}), 2);
    search.beginRound();
    CHECK(!search.isDone());
    search.addReply(1, knows({"v1", "v2"}, true, kOld));
    CHECK(search.isDone());
    CHECK(search.result() == kOld);
}

TEST_CASE("origin search: with several versions an unknown origin is not guessed")
{
    OriginSearch search("s", knows({"v1", "v2"}), 2);
    CHECK(search.beginRound() > Duration::zero());
    search.addReply(1, knows({"v1"}));
    search.addReply(2, knows({"v1"}));
    // The stream may have begun a moment ago.
    CHECK(!search.isDone());
    CHECK(search.beginRound() > Duration::zero());
    search.addReply(1, knows({"v1"}));
    search.addReply(1, knows({"v1"}));
    CHECK(!search.isDone());
    search.addReply(2, knows({"v1"}));
    CHECK(search.isDone());
    CHECK(!search.result());
}

TEST_CASE("origin search: peers that are gone delay an answer for a bounded time")
{
    OriginSearch search("s", knows({"v1", "v2"}), 3);
    Duration total{};
    for (Duration it = search.beginRound(); it > Duration::zero(); it = search.beginRound())
        total += it;
    CHECK(total <= 200ms);
    CHECK(!search.result());
}

TEST_CASE(
    "origin search: with one version the stream goes on there, without waiting for lost peers")
{
    OriginSearch search("s", knows({"v1"}), 3);
    CHECK(search.beginRound() <= 10ms);
    CHECK(search.beginRound() == Duration::zero());
    CHECK(search.result() == kOld);
    CHECK(OriginSearch("s", knows({"v1"}), 0).result() == kOld);
}

TEST_CASE("origin search: a peer warns of a version that this node does not know of yet")
{
    OriginSearch search("s", knows({"v1"}), 2);
    search.beginRound();
    search.addReply(1, knows({"v1", "v2"}));
    CHECK(search.beginRound() > Duration::zero());
    CHECK(!search.result());
}

TEST_CASE("origin search: a process that has just started relies on a peer that has seen all")
{
    OriginSearch alone("s", knows({"v2"}, false), 1);
    while (alone.beginRound() > Duration::zero())
        alone.addReply(1, knows({"v2"}, false));
    CHECK(!alone.result());
    OriginSearch search("s", knows({"v2"}, false), 1);
    search.beginRound();
    search.addReply(1, knows({"v2"}));
    CHECK(search.isDone());
    CHECK(search.result() == StreamOrigin{"s", "v2"});
    // The last upstream of the old version has left while no process of this node ran.
    OriginSearch late("s", knows({"v2"}, false), 1);
    late.beginRound();
    late.addReply(1, knows({"v1", "v2"}));
    while (late.beginRound() > Duration::zero()) { }
    CHECK(!late.result());
}

TEST_CASE("stream holders: all nodes of a small fleet, a few of different failure domains in a "
          "large one")
{
    StreamHolders small;
    small.setNodes(nodes(8, 4));
    CHECK(small.holdersOf(7).size() == 8);
    StreamHolders large;
    large.setNodes(nodes(90, 4));
    std::map<std::string, int> load;
    for (StreamKey key = 1; key <= 9'000; ++key) {
        std::set<std::string> domains;
        const auto holders = large.holdersOf(streamKey(std::to_string(key), "", "", ""));
        for (const SchedulerNode *it : holders) {
            domains.insert(it->failureDomain);
            load[it->name] += 1;
        }
        REQUIRE(holders.size() == 4);
        CHECK(domains.size() == 4);
    }
    const auto busiest = std::max_element(
        load.begin(), load.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    CHECK(busiest->second < 2 * 9'000 * 4 / 90);
    StreamHolders oneDomain;
    oneDomain.setNodes(nodes(20, 1));
    CHECK(oneDomain.holdersOf(7).size() == 4);
}
