// SPDX-License-Identifier: MIT
// Which reads of a peer's replica a node makes.
#include "node/replica_fetcher.hpp"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <unistd.h>

#include "fordwood/manual_clock.hpp"
#include "node/internal_server.hpp"
#include "node/packing.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// Closes each connection after the head of a request, whose target it records. Before that it may
// send a part of an answer.
class FailingPeer
{
public:
    FailingPeer(net::io_context &context, std::string part)
        : m_acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0)),
          m_part(std::move(part))
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    std::vector<std::string> targets;

private:
    void accept()
    {
        m_acceptor.async_accept([this](const ErrorCode &ec, tcp::socket socket) {
            if (ec)
                return;
            m_socket = std::make_unique<tcp::socket>(std::move(socket));
            m_socket->async_read_some(
                net::buffer(m_bytes), [this](const ErrorCode &, std::size_t n) {
                    const std::string head(m_bytes.data(), n);
                    const std::size_t at = head.find(' ') + 1;
                    targets.push_back(head.substr(at, head.find(' ', at) - at));
                    ErrorCode writeError;
                    net::write(*m_socket, net::buffer(m_part), writeError);
                    m_socket.reset();
                    accept();
                });
        });
    }

    tcp::acceptor m_acceptor;
    const std::string m_part;
    std::unique_ptr<tcp::socket> m_socket;
    std::array<char, 4'096> m_bytes{};
};

// A node whose replica ends at revision 10, and a peer that is ahead of it.
struct FetcherFixture
{
    FetcherFixture()
        : client(context, clock), roster(clock, {"n", "d", 0.0}),
          fetcher(clock, client, replica, metrics,
                  [this](const ReplicaPart &it) { replica.merge(it.changes); })
    {
        fetcher.setSeeds({}, "self");
    }

    void addPeer(const std::string &address)
    {
        Gossip message;
        message.node = "peer";
        message.failureDomain = "d";
        message.replicaAddress = address;
        message.version = {0, 100};
        roster.update(message, std::nullopt);
    }

    // Lets the node make one read, if it wants to, and waits for its end.
    void readOnce()
    {
        clock.advance(300ms);
        addPeer(peerAddress);
        fetcher.tick(roster, false);
        while (context.run_one_for(100ms) > 0) { }
    }

    net::io_context context;
    ManualClock clock;
    adapters::Metrics metrics;
    HttpClient client;
    PeerRoster roster;
    StoreReplica replica;
    ReplicaFetcher fetcher;
    std::string peerAddress;
};

} // namespace

// Guards against a node behind a weak link that asks for all keys again and again: a peer that has
// started later than the node's version sends them, and they take longer than the reader waits.
TEST_CASE("replica fetcher: after two answers that did not arrive whole, a node reads a snapshot "
          "[size][start]")
{
    FetcherFixture fixture;
    FailingPeer peer(fixture.context, "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\nbegin");
    fixture.peerAddress = peer.address();
    REQUIRE(fixture.replica.merge({0, 10, {}}));
    for (int n = 0; n < 3; ++n)
        fixture.readOnce();
    CHECK(peer.targets
          == std::vector<std::string>{"/replica?since=10", "/replica?since=10", "/snapshot"});
}

// Guards against readers that load a peer a thousand times more because it did not answer.
TEST_CASE(
    "replica fetcher: a peer that does not answer is asked for changes only, and the store is "
    "read when it has been asked for two seconds [changes]")
{
    FetcherFixture fixture;
    FailingPeer peer(fixture.context, "");
    fixture.peerAddress = peer.address();
    REQUIRE(fixture.replica.merge({0, 10, {}}));
    int storeReads = 0;
    for (int n = 0; n < 11; ++n) { // reads 300 ms apart
        fixture.readOnce();
        const bool isOverdue = fixture.fetcher.takeOverdue();
        CHECK((!isOverdue || n >= 7));
        storeReads += isOverdue ? 1 : 0;
    }
    CHECK(storeReads == 1);
    CHECK(peer.targets == std::vector<std::string>(11, "/replica?since=10"));
}

TEST_CASE(
    "replica fetcher: a node without a replica reads a snapshot, or everything from a peer of "
    "an earlier version [start]")
{
    StoreReplica full;
    REQUIRE(full.merge({0, 100, {{"a", 90, 90, "value"}}}));
    for (const bool knowsSnapshots : {true, false}) {
        FetcherFixture fixture;
        std::vector<std::string> targets;
        InternalServer server(fixture.context, [&](std::string_view target) {
            targets.emplace_back(target);
            const std::string part = encodeReplicaPart({full.changesSince({}), false});
            if (target == ReplicaFetcher::kSnapshotTarget)
                return knowsSnapshots ? makeReply(200, pack(part)) : makeReply(404);
            return makeReply(200, part);
        });
        ErrorCode ec;
        fixture.peerAddress = "127.72.1.1:" + std::to_string(20'000 + getpid() % 20'000);
        REQUIRE(server.listen(fixture.peerAddress, ec));
        fixture.readOnce();
        if (!knowsSnapshots)
            fixture.readOnce();
        CHECK(targets.front() == "/snapshot");
        CHECK(targets.size() == (knowsSnapshots ? 1 : 2));
        CHECK(fixture.replica.find("a") != nullptr);
    }
}

TEST_CASE("replica fetcher: a node that a peer puts off waits before it reads again [start]")
{
    FetcherFixture fixture;
    int reads = 0;
    InternalServer server(fixture.context, [&](std::string_view) {
        ++reads;
        ServedReply later = makeReply(503);
        later.retryAfter = 2s;
        return later;
    });
    ErrorCode ec;
    fixture.peerAddress = "127.72.1.2:" + std::to_string(20'000 + getpid() % 20'000);
    REQUIRE(server.listen(fixture.peerAddress, ec));
    for (int n = 0; n < 10; ++n) // three seconds
        fixture.readOnce();
    CHECK(reads >= 1);
    CHECK(reads <= 3); // a pause of one to three seconds each, instead of a read every 300 ms
}
