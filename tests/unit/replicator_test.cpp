// SPDX-License-Identifier: MIT
#include "fordwood/replicator.hpp"

#include <doctest/doctest.h>

#include "support/replica_fleet.hpp"

using namespace fordwood;
using namespace std::chrono_literals;
using support::ReplicaFleet;

namespace {

using Pieces = std::map<std::string, std::string>;

Pieces piecesOf(const std::string &variant)
{
    Pieces pieces;
    for (int it = 0; it < 20; ++it)
        pieces["piece-" + std::to_string(it)] = std::string(500, 'x') + std::to_string(it);
    pieces["piece-7"] = std::string(250, 'a') + variant + std::string(250, 'b');
    return pieces;
}

int countSuspecting(const ReplicaFleet &fleet, int node)
{
    int n = 0;
    for (int it = 0; it < fleet.nodes(); ++it)
        n += fleet.isAlive(it)
                     && fleet.replicator(it).isSuspected("node-" + std::to_string(10'000 + node))
                 ? 1
                 : 0;
    return n;
}

} // namespace

TEST_CASE("delta: a splice contains only the difference and applies only to its base [delta]")
{
    const adapters::ProtoHeadCodec codec;
    const auto digest = [&](const std::string &bytes) { return codec.digest(bytes); };
    const auto stored = [&](const Pieces &pieces) {
        std::vector<StoredPiece> result;
        for (const auto &[name, text] : pieces)
            result.push_back({name, codec.digest(text), text});
        return result;
    };
    Pieces before = piecesOf("one");
    Pieces after = piecesOf("three");
    after.erase("piece-3");
    after["piece-new"] = "n";
    const ConfigDelta delta = makeDelta(stored(before), "m", stored(after));
    REQUIRE(delta.splices.size() == 2);
    CHECK(delta.removed == std::vector<std::string>{"piece-3"});
    for (const PieceSplice &it : delta.splices)
        CHECK(it.middle.size() <= 5);
    const auto result = applyDelta(stored(before), delta, digest);
    REQUIRE(result);
    for (const StoredPiece &it : *result)
        CHECK(after.at(it.name) == it.text);
    CHECK_FALSE(applyDelta(stored(piecesOf("other")), delta, digest));
    CHECK_FALSE(applyDelta({}, delta, digest));
    ConfigDelta corrupt = delta;
    corrupt.splices[0].suffixLength = 1 << 30;
    CHECK_FALSE(applyDelta(stored(before), corrupt, digest));
}

TEST_CASE("tree: two relays per domain, bounded fan-out, two parents for other nodes [membership]")
{
    std::vector<Member> members;
    members.reserve(300);
    for (int it = 0; it < 300; ++it)
        members.push_back({"n" + std::to_string(it), "d" + std::to_string(it % 4), "r", "", false});
    int relays = 0;
    std::map<std::string, int> children;
    for (const Member &it : members) {
        const TreePosition position = treePosition(it.name, it.failureDomain, members);
        relays += position.isRelay ? 1 : 0;
        CHECK(position.parents.size() == (position.isRelay ? 0 : 2));
        CHECK(position.children.size() <= 2 * kFanOut);
        CHECK(position.neighbours.size() <= 4);
        for (const std::string &parent : position.parents)
            ++children[parent];
    }
    CHECK(relays == 8);
    for (const Member &it : members)
        CHECK(
            children[it.name]
            == static_cast<int>(treePosition(it.name, it.failureDomain, members).children.size()));
}

TEST_CASE(
    "replicator: only relays read the platform, and all nodes serve a new version [spreading]")
{
    ReplicaFleet fleet(60, 3);
    REQUIRE(fleet.submit(piecesOf("one")) == 1);
    REQUIRE(fleet.runUntilServed(1, 30s));
    fleet.run(20s);
    int reading = 0;
    for (int it = 0; it < fleet.nodes(); ++it)
        reading += fleet.replicator(it).readsPlatform() ? 1 : 0;
    CHECK(reading == 6);
    CHECK(fleet.relays() == 6);

    fleet.resetCounters();
    REQUIRE(fleet.submit(piecesOf("two")) == 2);
    Duration took{0};
    CHECK(fleet.runUntilServed(2, 5s, &took));
    CHECK(took <= 1s);
    for (int it = 0; it < fleet.nodes(); ++it)
        CHECK(fleet.text(it, "piece-7").find("two") != std::string::npos);
    // The pieces of 22 kB are not sent; the change itself is a few bytes.
    CHECK(fleet.bytes() / 60 < 2000);
}

TEST_CASE("replicator: a version is in effect in 5 s after 8 % of the nodes failed [spreading]")
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        CAPTURE(seed);
        ReplicaFleet fleet(200, 4, seed);
        REQUIRE(fleet.submit(piecesOf("one")) == 1);
        REQUIRE(fleet.runUntilServed(1, 30s));
        fleet.run(20s);
        std::mt19937_64 random(seed);
        for (int it = 0; it < 16; ++it)
            fleet.kill(static_cast<int>(random() % 200));
        REQUIRE(fleet.submit(piecesOf("two")) == 2);
        CHECK(fleet.runUntilServed(2, 5s));
        CHECK_FALSE(fleet.versionEverDecreased());
    }
}

TEST_CASE("replicator: a dead node is suspected by all until it is restarted [membership]")
{
    ReplicaFleet fleet(40, 2);
    fleet.submit(piecesOf("one"));
    fleet.runUntilServed(1, 30s);
    fleet.run(20s);
    fleet.kill(5);
    fleet.run(15s);
    CHECK(countSuspecting(fleet, 5) == 39);
    fleet.restart(5);
    fleet.run(15s);
    CHECK(countSuspecting(fleet, 5) == 0);
    CHECK(fleet.version(5) == 1);
}

TEST_CASE("replicator: a paused node is suspected until it continues [membership]")
{
    ReplicaFleet fleet(40, 2);
    fleet.submit(piecesOf("one"));
    fleet.runUntilServed(1, 30s);
    fleet.run(20s);
    fleet.setPaused(3, true);
    fleet.run(20s);
    CHECK(countSuspecting(fleet, 3) >= 38);
    fleet.submit(piecesOf("two"));
    fleet.setPaused(3, false);
    fleet.run(20s);
    CHECK(countSuspecting(fleet, 3) == 0);
    CHECK(fleet.version(3) == 2);
}

TEST_CASE("replicator: an isolated domain continues serving, then catches up [partition]")
{
    ReplicaFleet fleet(40, 4);
    fleet.submit(piecesOf("one"));
    fleet.runUntilServed(1, 30s);
    fleet.run(20s);
    fleet.setDomainIsolated("domain-1", true);
    REQUIRE(fleet.submit(piecesOf("two")) == 2);
    fleet.run(30s);
    CHECK(fleet.version(1) == 1);
    CHECK(fleet.version(0) == 2);
    fleet.setDomainIsolated("domain-1", false);
    CHECK(fleet.runUntilServed(2, 20s));
    CHECK_FALSE(fleet.versionEverDecreased());
}

TEST_CASE("replicator: without the platform, nodes still get versions from relays [partition]")
{
    ReplicaFleet fleet(24, 3);
    fleet.submit(piecesOf("one"));
    fleet.runUntilServed(1, 30s);
    fleet.run(20s);
    // The relays read the version just before the platform goes down; it reaches all nodes.
    REQUIRE(fleet.submit(piecesOf("two")) == 2);
    fleet.run(200ms);
    fleet.setPlatformDown(true);
    CHECK(fleet.runUntilServed(2, 10s));
}

TEST_CASE("replicator: a new node in an outage gets the newest version from its seeds [outage]")
{
    ReplicaFleet fleet(16, 2);
    fleet.submit(piecesOf("one"));
    fleet.runUntilServed(1, 30s);
    fleet.run(20s);
    fleet.setPlatformDown(true);
    fleet.setUseSeeds(true);
    fleet.restart(9);
    fleet.run(10s);
    CHECK(fleet.version(9) == 1);
    CHECK(fleet.replicator(9).members().size() == 16);
}

TEST_CASE("replicator: an older restored head is not applied and raises an alarm [outage]")
{
    ReplicaFleet fleet(16, 2);
    fleet.submit(piecesOf("one"));
    fleet.submit(piecesOf("two"));
    fleet.submit(piecesOf("three"));
    REQUIRE(fleet.runUntilServed(3, 30s));
    const auto before = fleet.alarms();
    fleet.restoreOldHead(1);
    fleet.run(20s);
    CHECK(fleet.alarms() > before);
    for (int it = 0; it < fleet.nodes(); ++it)
        CHECK(fleet.version(it) == 3);
    // A restarted node also gets the newest version, from its peers.
    fleet.restart(4);
    fleet.run(20s);
    CHECK(fleet.version(4) == 3);
    CHECK(fleet.firstServed(4) == 3); // it never served the older version
}

TEST_CASE("replicator: a leaving upstream is known on all nodes after the list's lag [leaving]")
{
    ReplicaFleet fleet(40, 2);
    fleet.submit(piecesOf("one"));
    fleet.runUntilServed(1, 30s);
    fleet.run(20s);
    fleet.setListLag(3s);
    fleet.setLeavingUpstream("up-1", true);
    fleet.run(6s);
    for (int it = 0; it < fleet.nodes(); ++it)
        CHECK(fleet.replicator(it).list().leavingUpstreams.count("up-1") == 1);
}

TEST_CASE("replicator: if all relays of a domain die, other nodes replace them [recovery]")
{
    ReplicaFleet fleet(40, 2);
    fleet.submit(piecesOf("one"));
    fleet.runUntilServed(1, 30s);
    fleet.run(20s);
    for (int it = 0; it < fleet.nodes(); ++it) {
        if (it % 2 == 0 && fleet.replicator(it).isRelay())
            fleet.kill(it);
    }
    fleet.run(30s);
    REQUIRE(fleet.submit(piecesOf("two")) == 2);
    CHECK(fleet.runUntilServed(2, 5s));
    CHECK(fleet.relays() == 4);
}
