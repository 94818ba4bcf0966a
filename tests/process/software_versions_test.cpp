// SPDX-License-Identifier: MIT
// Upstreams of two software versions in one service. Streams of different versions do not fit
// together.
#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <random>
#include <set>

#include "process/fleet.hpp"
#include "process/two_versions.hpp"

using namespace fordwood::process;

namespace {

constexpr int kStreams = 40;

// Streams that go on, and those among them that hold events of two versions.
struct Tally
{
    int wentOn = 0;
    int mixed = 0;
};

constexpr std::chrono::milliseconds kUsualCaller{3'000}; // how long a caller waits
constexpr std::chrono::milliseconds kPatientCaller{60'000};

Tally takeUpAll(TwoVersions &fleet, const std::vector<TwoVersions::BrokenOff> &streams, int node,
                std::chrono::milliseconds callerTimeout = kUsualCaller)
{
    Tally tally;
    for (const auto &it : streams) {
        const HttpAnswer answer = fleet.takeUp(it.id, node, "", callerTimeout);
        tally.wentOn += answer.status == 200 && answer.isComplete ? 1 : 0;
        tally.mixed += fleet.versionsOf(it.id).size() > 1 ? 1 : 0;
    }
    return tally;
}

// All callers take their streams up at the node, and all streams go on where they began.
void checkAllGoOn(TwoVersions &fleet, const std::vector<TwoVersions::BrokenOff> &streams, int node,
                  std::chrono::milliseconds callerTimeout = kUsualCaller)
{
    const Tally tally = takeUpAll(fleet, streams, node, callerTimeout);
    CHECK(tally.mixed == 0);
    CHECK(tally.wentOn == kStreams);
}

std::vector<TwoVersions::BrokenOff> beginAll(TwoVersions &fleet, int node,
                                             std::chrono::milliseconds callerTimeout
                                             = std::chrono::seconds(4))
{
    std::vector<TwoVersions::BrokenOff> streams;
    streams.reserve(kStreams);
    for (int n = 0; n < kStreams; ++n)
        streams.push_back(fleet.begin(node, callerTimeout));
    return streams;
}

} // namespace

TEST_CASE("software versions: a stream that an upstream breaks off goes on at its version [node]"
          "[versions]")
{
    TwoVersions fleet;
    for (const std::size_t it : {0U, 2U})
        fleet.upstreams[it].standin->breakStreamsAfter(2);
    int broken = 0;
    for (int n = 0; n < kStreams; ++n) {
        const std::string id = fleet.nextId();
        const HttpAnswer answer = fleet.call("GET", "/stream/1", id);
        CHECK(answer.status == 200);
        CHECK(fleet.versionsOf(id).size() == 1);
        const int runs = static_cast<int>(
            std::count_if(fleet.upstreams.begin(), fleet.upstreams.end(),
                          [&](const auto &it) { return it.standin->runs(id) > 0; }));
        broken += runs > 1 ? 1 : 0;
        CHECK(answer.isComplete);
    }
    CHECK(broken > 0);
}

TEST_CASE("software versions: a caller takes its stream up at another node after the first was "
          "killed [node][versions]")
{
    TwoVersions fleet;
    const auto streams = beginAll(fleet, 0);
    REQUIRE(fleet.waitUntilTold(1, kStreams));
    fleet.nodes[0].signal(SIGKILL);
    checkAllGoOn(fleet, streams, 1);
}

TEST_CASE("software versions: two of three nodes are killed, and callers take up twice [node]"
          "[versions]")
{
    TwoVersions fleet;
    const auto streams = beginAll(fleet, 0, kPatientCaller);
    REQUIRE(fleet.waitUntilTold(2, kStreams));
    for (const std::size_t it : {0U, 1U})
        fleet.nodes[it].signal(SIGKILL);
    for (int take = 0; take < 2; ++take)
        checkAllGoOn(fleet, streams, 2, kPatientCaller);
}

TEST_CASE("software versions: the store is away when the first node is killed [node][versions]")
{
    TwoVersions fleet;
    const auto streams = beginAll(fleet, 0);
    REQUIRE(fleet.waitUntilTold(1, kStreams));
    fleet.store.setDown(true);
    fleet.nodes[0].signal(SIGKILL);
    checkAllGoOn(fleet, streams, 1);
}

TEST_CASE("software versions: all nodes are killed: no stream goes on elsewhere [node][versions]")
{
    TwoVersions fleet;
    const auto streams = beginAll(fleet, 0);
    for (Process &it : fleet.nodes)
        it.signal(SIGKILL);
    fleet.nodes.clear();
    for (const int it : {0, 1})
        fleet.startNode(it);
    for (const int it : {0, 1})
        REQUIRE(Fleet::waitFor([&] { return fleet.isReady(it); }));
    const Tally tally = takeUpAll(fleet, streams, 1);
    CHECK(tally.mixed == 0);
    const std::string id = fleet.nextId();
    const HttpAnswer answer = fleet.takeUp(streams.front().id, 1, id);
    CHECK(answer.status == 503);
    CHECK(answer.headers.contains("retry-after"));
    for (const auto &it : fleet.upstreams)
        CHECK(it.standin->runs(id) == 0);
    CHECK(fleet.call("GET", "/stream/1", fleet.nextId(), 1).status == 200);
}

TEST_CASE("software versions: the second version appears after the streams began [node][versions]")
{
    TwoVersions fleet({"v1", "v1"});
    // With one version nothing is told, once the nodes have seen it for as long as a stream lives.
    const auto areTold = [&] {
        const double before = fleet.metric("fordwood_stream_notices_sent_total");
        fleet.begin(0);
        return fleet.metric("fordwood_stream_notices_sent_total") > before;
    };
    REQUIRE(Fleet::waitFor([&] { return !areTold(); }));
    const auto streams = beginAll(fleet, 0);
    CHECK(fleet.metric("fordwood_stream_origins", 1) < kStreams);
    for (int n = 0; n < 2; ++n)
        fleet.addUpstream("v1.1");
    REQUIRE(fleet.waitUntilTold(1, kStreams));
    fleet.nodes[0].signal(SIGKILL);
    checkAllGoOn(fleet, streams, 1);
}

TEST_CASE("software versions: callers that do not name their first attempt go on only where there "
          "is one version [node][versions]")
{
    TwoVersions fleet({"v1", "v1"});
    CHECK(fleet.takeUpUnnamed(0).status == 200);
    fleet.addUpstream("v1.1");
    REQUIRE(Fleet::waitFor([&] { return fleet.logged(0, "name=UpstreamReady") == 3; }));
    const HttpAnswer answer = fleet.takeUpUnnamed(0);
    CHECK(answer.status == 503);
    CHECK(answer.headers.contains("retry-after"));
}

TEST_CASE("software versions: a stream whose version has left is rejected at once [node][versions]")
{
    TwoVersions fleet;
    const auto streams = beginAll(fleet, 0);
    fleet.removeVersion("v1");
    for (const int it : {0, 1, 2})
        REQUIRE(Fleet::waitFor([&] { return fleet.logged(it, "name=UpstreamGone") == 2; }));
    int rejected = 0;
    for (const auto &it : streams) {
        const std::string id = fleet.nextId();
        const HttpAnswer answer = fleet.takeUp(it.id, 1, id);
        CHECK(fleet.versionsOf(it.id).size() == 1);
        if (answer.status == 200)
            continue;
        rejected += 1;
        CHECK(answer.status == 503);
        CHECK(answer.headers.contains("retry-after"));
    }
    CHECK(rejected > 0);
    CHECK(rejected < kStreams);
}

TEST_CASE("software versions: upstreams start again under their ids with another version [node]"
          "[versions]")
{
    TwoVersions fleet;
    const auto streams = beginAll(fleet, 0);
    REQUIRE(fleet.waitUntilTold(1, kStreams));
    fleet.nodes[0].signal(SIGKILL);
    for (std::size_t n = 0; n < fleet.upstreams.size(); ++n) {
        fleet.upstreams[n].version = n < 2 ? "v1.1" : "v1";
        fleet.putUpstreamRecord({"w-" + std::to_string(n),
                                 fleet.net + std::to_string(20 + n) + ":8000",
                                 fleet.upstreams[n].version, "board", "ready", 1'796'000'000'001});
    }
    REQUIRE(Fleet::waitFor([&] { return fleet.logged(1, "name=UpstreamRestarted") == 4; }));
    // The ids of upstreams say at which of them a stream began: the version of one and the same
    // upstream is another now.
    for (const auto &it : streams) {
        const std::string id = fleet.nextId();
        const HttpAnswer answer = fleet.takeUp(it.id, 1, id);
        CHECK(answer.status == 200);
        for (const auto &upstream : fleet.upstreams) {
            const bool began = upstream.standin->runs(it.id) > 0;
            const bool wentOn = upstream.standin->runs(id) > 0;
            CHECK(!(began && wentOn));
        }
    }
}

TEST_CASE("software versions: a stream goes on at the service of a split where it began [node]"
          "[versions]")
{
    TwoVersions fleet({"v1", "v1"});
    for (int n = 0; n < 2; ++n)
        fleet.addUpstream("v1", "second-board");
    fleet.putSplit({"board", "second-board"});
    for (const int it : {0, 1, 2})
        REQUIRE(Fleet::waitFor(
            [&] { return fleet.metric("fordwood_configuration_version", it) == 2; }));
    for (std::size_t n = 2; n < 4; ++n)
        fleet.upstreams[n].version = "second-board";
    const auto streams = beginAll(fleet, 0);
    REQUIRE(fleet.waitUntilTold(1, kStreams));
    fleet.nodes[0].signal(SIGKILL);
    checkAllGoOn(fleet, streams, 1);
}

namespace {

// The node has seen one version for as long as a stream lives: it takes up what it does not know.
void waitUntilSettled(TwoVersions &fleet, int node)
{
    REQUIRE(Fleet::waitFor([&] { return fleet.takeUp("unknown", node).status == 200; }));
}

// Streams that begin at the version, through the first node, after two upstreams of it have joined.
std::vector<TwoVersions::BrokenOff> beginAtNewVersion(TwoVersions &fleet,
                                                      const std::string &version)
{
    for (int n = 0; n < 2; ++n)
        fleet.addUpstream(version);
    std::vector<TwoVersions::BrokenOff> streams;
    std::vector<TwoVersions::BrokenOff> others; // stay open, so that not all go to these upstreams
    for (int n = 0; n < 3 * kStreams && streams.size() < kStreams / 2; ++n) {
        TwoVersions::BrokenOff stream = fleet.begin(0);
        const bool isNew = fleet.versionsOf(stream.id) == std::set<std::string>{version};
        (isNew ? streams : others).push_back(std::move(stream));
    }
    REQUIRE(streams.size() == kStreams / 2);
    return streams;
}

} // namespace

// Guards against a node that counts the versions it knows as all of them while it gets no changes.
TEST_CASE("software versions: a node that is cut off takes up no stream at the version that it "
          "knows alone [node][versions]")
{
    TwoVersions fleet({"v1", "v1"}, 2);
    KeyValueStandin ownStore(fleet.net + "4:7000");
    for (const char *it : {"op/config", "servers/w-0", "servers/w-1"})
        ownStore.put(it, fleet.store.value(it));
    fleet.seedAddress = fleet.net + "5:8082"; // nobody listens there
    fleet.startNode(2, fleet.net + "4:7000");
    REQUIRE(Fleet::waitFor([&] { return fleet.isReady(2); }));
    waitUntilSettled(fleet, 2);
    ownStore.setDown(true);
    const auto streams = beginAtNewVersion(fleet, "v1.1");
    const Tally tally = takeUpAll(fleet, streams, 2);
    CHECK(tally.mixed == 0);
    const HttpAnswer answer = fleet.takeUp(streams.front().id, 2);
    CHECK(answer.status == 503);
    CHECK(answer.headers.contains("retry-after"));
    const HttpAnswer unnamed = fleet.takeUpUnnamed(2);
    CHECK(unnamed.status == 503);
    CHECK(fleet.call("GET", "/stream/1", fleet.nextId(), 2).status == 200);
}

// Guards against takes that come before the node notices that it was suspended.
TEST_CASE("software versions: a node that was suspended while a version joined takes up no stream "
          "at the other one [node][versions]")
{
    TwoVersions fleet({"v1", "v1"});
    waitUntilSettled(fleet, 2);
    fleet.nodes[2].signal(SIGSTOP);
    const auto streams = beginAtNewVersion(fleet, "v1.1");
    SUBCASE("the store is away")
    {
        fleet.store.setDown(true);
    }
    SUBCASE("the store is there") { }
    for (const std::size_t it : {0U, 1U})
        fleet.nodes[it].signal(SIGKILL);
    fleet.nodes[2].signal(SIGCONT);
    CHECK(takeUpAll(fleet, streams, 2).mixed == 0);
}

// Guards against takes that are rejected because the upstreams of their version are not known yet.
TEST_CASE("software versions: streams go on at a node that was suspended while their version "
          "joined [node][versions]")
{
    TwoVersions fleet({"v1", "v1"});
    waitUntilSettled(fleet, 2);
    fleet.nodes[2].signal(SIGSTOP);
    const auto streams = beginAtNewVersion(fleet, "v1.1");
    fleet.nodes[2].signal(SIGCONT);
    const Tally tally = takeUpAll(fleet, streams, 2);
    CHECK(tally.mixed == 0);
    CHECK(tally.wentOn == kStreams / 2);
}

namespace {

// Kills, planned stops, outages of the store, rollouts and broken streams, in random order, while
// streams are open.
class Disturbances
{
public:
    Disturbances(TwoVersions &fleet, unsigned seed) : m_fleet(fleet), m_random(seed) { }

    std::size_t pick(std::size_t n) { return m_random() % n; }

    void next()
    {
        switch (pick(8)) {
        case 0:
        case 1:
            restart({pick(kNodes)});
            break;
        case 2: {
            const std::size_t n = pick(kNodes);
            restart({n, (n + 1) % kNodes});
            break;
        }
        case 3:
            m_fleet.store.setDown(true);
            restart({pick(kNodes)});
            m_fleet.store.setDown(false);
            break;
        case 4:
            stop(pick(kNodes));
            break;
        case 5:
        case 6:
            if (m_fleet.upstreams.size() < kMaxUpstreams)
                m_fleet.addUpstream("v" + std::to_string(pick(3)));
            break;
        default:
            m_fleet.upstreams[pick(m_fleet.upstreams.size())].standin->breakStreamsAfter(3);
        }
    }

    // A random node that serves.
    int servingNode()
    {
        int node = static_cast<int>(pick(kNodes));
        REQUIRE(Fleet::waitFor([&] {
            node = (node + 1) % static_cast<int>(kNodes);
            return m_fleet.isReady(node);
        }));
        return node;
    }

private:
    static constexpr std::size_t kNodes = 3;
    static constexpr std::size_t kMaxUpstreams = 12;

    void restart(const std::vector<std::size_t> &killed)
    {
        for (const std::size_t it : killed)
            m_fleet.nodes[it].kill();
        for (const std::size_t it : killed)
            startAgain(it);
    }

    void stop(std::size_t node)
    {
        m_fleet.nodes[node].terminate();
        startAgain(node);
    }

    void startAgain(std::size_t node) { m_fleet.startAgain(node); }

    TwoVersions &m_fleet;
    std::mt19937 m_random;
};

} // namespace

// FORDWOOD_SEED plays another series.
TEST_CASE("software versions: soak: no series of kills and rollouts mixes two versions [node]"
          "[versions]")
{
    constexpr int kRounds = 12;
    constexpr int kStreamsPerRound = 8;
    constexpr std::chrono::seconds kCallerTimeout{30}; // longer than two planned stops
    const char *text = std::getenv("FORDWOOD_SEED");
    const auto seed = static_cast<unsigned>(text == nullptr ? 1 : std::atoi(text));
    CAPTURE(seed);
    TwoVersions fleet;
    Disturbances disturbances(fleet, seed);
    int taken = 0;
    int wentOn = 0;
    for (int round = 0; round < kRounds; ++round) {
        std::vector<TwoVersions::BrokenOff> streams;
        streams.reserve(kStreamsPerRound);
        for (int n = 0; n < kStreamsPerRound; ++n)
            streams.push_back(fleet.begin(disturbances.servingNode(), kCallerTimeout));
        for (int take = 0; take < 2; ++take) {
            disturbances.next();
            for (const auto &it : streams) {
                const HttpAnswer answer = fleet.takeUp(it.id, disturbances.servingNode());
                CAPTURE(round);
                CAPTURE(it.id);
                CHECK(fleet.versionsOf(it.id).size() == 1);
                taken += 1;
                wentOn += answer.status == 200 ? 1 : 0;
            }
        }
    }
    CAPTURE(taken);
    CAPTURE(wentOn);
    CHECK(2 * wentOn >= taken);
    MESSAGE("of ", taken, " streams taken up ", wentOn, " went on");
}
