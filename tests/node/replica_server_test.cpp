// SPDX-License-Identifier: MIT
// What peers get that read a node's replica of the platform's store.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fordwood/manual_clock.hpp"
#include "node/packing.hpp"
#include "node/peer_messages.hpp"
#include "node/replica_fetcher.hpp"
#include "node/replica_server.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

constexpr int kUpstreams = 10'000;

std::string recordText(int n)
{
    return R"({"service":"models","address":"10.4.)" + std::to_string(n / 250) + "."
           + std::to_string(n % 250) + R"(:8769","zone":"hall","version":"v1","slots":12,)"
           + R"("state":"ready","cold-remaining-ms":0,"sequence":1})";
}

struct ServerFixture
{
    explicit ServerFixture(double linkBytesPerSecond = 25e6)
        : server(clock, replica, metrics, limits(linkBytesPerSecond))
    { }

    static ReplicaServer::Limits limits(double linkBytesPerSecond)
    {
        ReplicaServer::Limits limits;
        limits.linkBytesPerSecond = linkBytesPerSecond;
        return limits;
    }

    void fill()
    {
        StoreChanges all{0, kUpstreams, {}};
        for (int n = 1; n <= kUpstreams; ++n)
            all.items.push_back({"servers/i-" + std::to_string(n), n, n, recordText(n)});
        REQUIRE(replica.merge(all));
    }

    void write(std::int64_t revision)
    {
        REQUIRE(replica.merge({revision - 1, revision, {{"key", revision, 1, "value"}}}));
    }

    ServedReply ask(std::string_view target) { return *server.reply(target, false); }

    double metric(const std::string &name)
    {
        const std::string text = metrics.text();
        const std::size_t at = text.find("\n" + name + " ");
        return at == std::string::npos ? 0.0 : std::stod(text.substr(at + name.size() + 2));
    }

    ManualClock clock;
    StoreReplica replica;
    adapters::Metrics metrics;
    ReplicaServer server;
};

} // namespace

// Guards against a relay that builds megabytes anew for each of the nodes that start, and holds
// them for each.
TEST_CASE("replica server: nodes that start together share one snapshot [size][start]")
{
    ServerFixture fixture;
    fixture.fill();
    std::vector<ServedReply> replies;
    for (int n = 0; n < 20; ++n) {
        replies.push_back(fixture.ask(ReplicaFetcher::kSnapshotTarget));
        fixture.write(kUpstreams + n + 1); // other nodes write their keys meanwhile
        fixture.clock.advance(20ms);
    }
    for (const ServedReply &it : replies) {
        REQUIRE(it.status == 200);
        CHECK(it.body.get() == replies.front().body.get());
    }
    CHECK(fixture.metric("fordwood_snapshots_built_total") == 1.0);

    StoreReplica started;
    const auto part = decodeReplicaPart(*unpack(*replies.front().body));
    REQUIRE(part);
    REQUIRE(started.merge(part->changes));
    REQUIRE(started.merge(fixture.replica.changesSince(started.version())));
    CHECK(started.version() == fixture.replica.version());
    CHECK(started.changesSince({}).items == fixture.replica.changesSince({}).items);
}

TEST_CASE("replica server: a snapshot is built again after a second [start]")
{
    ServerFixture fixture;
    fixture.fill();
    fixture.ask(ReplicaFetcher::kSnapshotTarget);
    fixture.write(kUpstreams + 1);
    fixture.clock.advance(1s);
    const ServedReply later = fixture.ask(ReplicaFetcher::kSnapshotTarget);
    CHECK(decodeReplicaPart(*unpack(*later.body))->changes.revision == kUpstreams + 1);
}

// Guards against copies that share a link so long that none arrives before its reader gives up.
TEST_CASE("replica server: only as many snapshots are sent at once as the link carries in a second "
          "[size][start]")
{
    constexpr double kWeakLink = 2.5e6; // 20 Mbit/s
    ServerFixture fixture(kWeakLink);
    fixture.fill();
    std::vector<ServedReply> sent;
    double bytes = 0.0;
    ServedReply reply = fixture.ask(ReplicaFetcher::kSnapshotTarget);
    while (reply.status == 200 && sent.size() < 100) {
        bytes += static_cast<double>(reply.body->size());
        sent.push_back(std::move(reply));
        reply = fixture.ask(ReplicaFetcher::kSnapshotTarget);
    }
    CHECK(reply.status == 503);
    CHECK(reply.retryAfter == 1s);
    CHECK(!sent.empty());
    CHECK(bytes <= kWeakLink);
    CHECK(fixture.server.snapshotsInFlight() == sent.size());
    sent.pop_back(); // one has arrived
    CHECK(fixture.ask(ReplicaFetcher::kSnapshotTarget).status == 200);
}

TEST_CASE("replica server: a node without a replica, and a malformed target, are answered as such "
          "[start]")
{
    ServerFixture fixture;
    CHECK(fixture.ask(ReplicaFetcher::kSnapshotTarget).status == 503);
    CHECK(fixture.ask("/replica?since=0").status == 503);
    CHECK_FALSE(fixture.server.reply("/other", false));
    fixture.fill();
    CHECK(fixture.ask("/replica?since=x").status == 400);
    fixture.write(kUpstreams + 1);
    const ServedReply changes = fixture.ask("/replica?since=" + std::to_string(kUpstreams));
    CHECK(decodeReplicaPart(*changes.body)->changes.items.size() == 1);
}

TEST_CASE("packing: bytes come back unchanged, and damaged ones are rejected [messages]")
{
    for (const std::size_t size : {0U, 1U, 100'000U}) {
        std::string bytes;
        for (std::size_t n = 0; n < size; ++n)
            bytes.push_back(static_cast<char>(n * n));
        const std::string packed = pack(bytes);
        CHECK(unpack(packed) == bytes);
        CHECK_FALSE(unpack(packed.substr(0, packed.size() / 2)));
    }
    CHECK_FALSE(unpack(std::string(16, '\xFF')));
    CHECK(pack(std::string(100'000, 'x')).size() < 2'000);
}
