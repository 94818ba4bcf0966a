// SPDX-License-Identifier: MIT
// Distribution of messages between nodes.
#include "node/peer_links.hpp"

#include <algorithm>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/relay_role.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// Nodes in failure domains, on loopback addresses of this process.
class Fleet
{
public:
    Fleet(std::size_t domains, std::size_t nodesInEach)
        : m_addressPrefix("127.71." + std::to_string(getpid() % 250 + 1) + ".")
    {
        for (std::size_t n = 0; n < domains * nodesInEach; ++n) {
            Node node;
            node.name = "n" + std::to_string(n);
            node.domain = "d" + std::to_string(n % domains);
            node.address = m_addressPrefix + std::to_string(n + 1) + ":9000";
            m_nodes.push_back(std::move(node));
        }
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            startNode(n);
    }

    void startNode(std::size_t n)
    {
        Node &node = m_nodes[n];
        node.links = std::make_unique<PeerLinks>(
            m_context, m_clock, PeerLinks::Self{node.name, node.domain, 0.0}, kSmallFleet,
            [this, n](const Gossip &it) { m_nodes[n].received.push_back(it.node); });
        ErrorCode ec;
        REQUIRE(node.links->open(node.address, ec));
        for (const Node &it : m_nodes)
            node.links->setAddress(it.name, {it.address, it.address, it.domain, 0.0});
    }

    void sendFrom(std::size_t n)
    {
        Gossip message;
        message.node = m_nodes[n].name;
        message.failureDomain = m_nodes[n].domain;
        m_nodes[n].links->sendAll(message);
    }

    // Sends a message that does not fit into a datagram.
    void sendTooLong(std::size_t n)
    {
        Gossip message;
        message.node = m_nodes[n].name;
        message.failureDomain = m_nodes[n].domain;
        message.draining.assign(10'000, "an upstream");
        m_nodes[n].links->sendAll(message);
    }

    std::size_t failedFrom(std::size_t n) const { return m_nodes[n].links->datagramsFailed(); }

    // Runs until no message is in flight: datagrams on loopback arrive as soon as they are sent.
    void deliverAll()
    {
        while (m_context.poll() > 0) { }
    }

    // Advances the clock while all nodes run without sending.
    void advanceSilently(Duration time)
    {
        constexpr Duration kStep = 500ms;
        for (Duration stopped{}; stopped < time; stopped += kStep) {
            m_clock.advance(kStep);
            for (const Node &it : m_nodes)
                it.links->tick();
        }
    }

    void exchangeFirstMessages()
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            sendFrom(n);
        deliverAll();
        for (Node &it : m_nodes)
            it.received.clear();
    }

    // The number of nodes that have received a message of node `n` since the first exchange, and
    // the maximum number of times that one of them did.
    std::pair<std::size_t, std::ptrdiff_t> receiversOf(std::size_t n) const
    {
        std::size_t receivers = 0;
        std::ptrdiff_t maxCount = 0;
        for (const Node &it : m_nodes) {
            const auto count = std::count(it.received.begin(), it.received.end(), m_nodes[n].name);
            receivers += count > 0 ? 1 : 0;
            maxCount = std::max(maxCount, count);
        }
        return {receivers, maxCount};
    }

    struct Node
    {
        std::string name;
        std::string domain;
        std::string address;
        std::unique_ptr<PeerLinks> links;
        std::vector<std::string> received;
    };

    const std::string m_addressPrefix;
    ManualClock m_clock;
    net::io_context m_context;
    std::vector<Node> m_nodes;
};

} // namespace

TEST_CASE("peers: in a large fleet each node receives each message once [peers][relays]")
{
    Fleet fleet(3, 6);
    fleet.exchangeFirstMessages();
    const std::size_t before = fleet.m_nodes[0].links->datagramsSent();
    fleet.sendFrom(0);
    fleet.deliverAll();
    CHECK(fleet.receiversOf(0) == std::pair<std::size_t, std::ptrdiff_t>(17, 1));
    // One to each node of its failure domain and one to each other domain, over long links.
    CHECK(fleet.m_nodes[0].links->datagramsSent() - before == 5 + 2);
}

TEST_CASE("peers: a message arrives although the node that forwarded the last one has stopped "
          "[peers][relays]")
{
    Fleet fleet(3, 6);
    fleet.exchangeFirstMessages();
    for (std::size_t stopped = 1; stopped < 18; ++stopped) {
        fleet.m_nodes[stopped].links.reset();
        fleet.sendFrom(0);
        fleet.sendFrom(0);
        fleet.deliverAll();
        CHECK(fleet.receiversOf(0).first == 16);
        for (auto &it : fleet.m_nodes)
            it.received.clear();
        fleet.startNode(stopped);
        fleet.exchangeFirstMessages();
    }
}

TEST_CASE("peers: without a live forwarder a message is sent to all [peers][relays]")
{
    Fleet fleet(3, 6);
    fleet.exchangeFirstMessages();
    fleet.advanceSilently(10s); // all others have sent nothing for too long
    fleet.sendFrom(0);
    fleet.deliverAll();
    CHECK(fleet.receiversOf(0).first == 17);
}

TEST_CASE("peers: a small fleet does not forward messages [peers]")
{
    Fleet fleet(2, 4);
    fleet.exchangeFirstMessages();
    fleet.sendFrom(0);
    fleet.deliverAll();
    CHECK(fleet.receiversOf(0) == std::pair<std::size_t, std::ptrdiff_t>(7, 1));
}

// Guards against messages that vanish: a sum over thousands of upstreams reached no node, and no
// log line or metric showed it.
TEST_CASE(
    "links: a message that is too long for a datagram is counted as not sent [messages][size]")
{
    Fleet fleet(1, 3);
    fleet.sendFrom(0);
    CHECK(fleet.failedFrom(0) == 0);
    fleet.sendTooLong(0);
    CHECK(fleet.failedFrom(0) == 2);
}
