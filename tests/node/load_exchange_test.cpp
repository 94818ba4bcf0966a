// SPDX-License-Identifier: MIT
// How the nodes of a large fleet hear of the load that the others have sent.
#include "node/load_exchange.hpp"

#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/rendezvous.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

constexpr double kLinkBytesPerSecond = 1e9;

// Nodes in failure domains, on loopback addresses of this process. The strongest two of each domain
// are its relays, as long as they live.
class Fleet
{
public:
    Fleet(std::size_t domains, std::size_t nodesInEach, std::uint8_t subnet)
        : m_net("127." + std::to_string(subnet) + "." + std::to_string(getpid() % 250 + 1) + "."),
          m_domains(domains)
    {
        for (std::size_t n = 0; n < domains * nodesInEach; ++n) {
            Node node;
            node.name = "n" + std::to_string(n);
            node.domain = "d" + std::to_string(n % domains);
            node.address = m_net + std::to_string(n + 1) + ":9000";
            node.strength = n < 3 * domains ? 50.0 : 12.0;
            m_nodes.push_back(std::move(node));
        }
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            start(n);
    }

    void start(std::size_t n)
    {
        Node &node = m_nodes[n];
        node.links = std::make_unique<PeerLinks>(
            m_context, m_clock, PeerLinks::Self{node.name, node.domain, node.strength}, kSmallFleet,
            [this, n](const Gossip &it) {
                m_nodes[n].heard += 1;
                m_nodes[n].exchange->take(it, m_nodes[n].isRelay);
            });
        node.exchange = std::make_unique<LoadExchange>(
            m_clock, *node.links, LoadExchange::Pace{200ms, kLinkBytesPerSecond},
            [this, n](LoadReport it) { m_nodes[n].others = std::move(it); });
        ErrorCode ec;
        REQUIRE(node.links->open(node.address, ec));
        for (const Node &it : m_nodes)
            node.links->setAddress(it.name, {it.address, it.address, it.domain, it.strength});
    }

    void stop(std::size_t n)
    {
        m_nodes[n].links.reset();
        m_nodes[n].isRelay = false;
    }

    void makeRelay(std::size_t n) { m_nodes[n].isRelay = true; }

    // Each live node sends what is due, `rounds` times in 100 ms.
    void run(int rounds)
    {
        for (int n = 0; n < rounds; ++n) {
            for (Node &it : m_nodes) {
                if (it.links)
                    send(it);
            }
            settle();
            m_clock.advance(100ms);
        }
    }

    // Datagrams on loopback have arrived when they are sent.
    void settle()
    {
        while (m_context.poll() > 0) { }
    }

    struct Node
    {
        std::string name;
        std::string domain;
        std::string address;
        double strength = 0.0;
        bool isRelay = false;
        std::unique_ptr<PeerLinks> links;
        std::unique_ptr<LoadExchange> exchange;
        std::optional<LoadReport> others;
        std::size_t heard = 0;
    };

    std::size_t runningElsewhere(std::size_t n) const
    {
        const auto &others = m_nodes[n].others;
        return others ? others->loads.at("e").running : 0;
    }

    const std::string m_net;
    const std::size_t m_domains;
    ManualClock m_clock;
    net::io_context m_context;
    std::vector<Node> m_nodes;

private:
    void send(Node &node)
    {
        Gossip message;
        message.node = node.name;
        message.failureDomain = node.domain;
        message.gossipAddress = node.address;
        message.replicaAddress = node.address;
        message.strength = node.strength;
        message.isRelay = node.isRelay;
        LoadReport own;
        own.loads = {{"e", {1, 10, 10}}};
        node.exchange->setOwn(own);
        node.exchange->send(message, node.isRelay);
    }
};

// Relays are nodes 0 and 1 of each domain: 0 to 2 * domains - 1.
Fleet &withRelays(Fleet &fleet)
{
    for (std::size_t n = 0; n < 2 * fleet.m_domains; ++n)
        fleet.makeRelay(n);
    return fleet;
}

} // namespace

TEST_CASE("load exchange: each node hears what all others have sent, its own part left out "
          "[sums][relays]")
{
    Fleet fleet(3, 12, 81);
    withRelays(fleet).run(6);
    for (std::size_t n = 0; n < fleet.m_nodes.size(); ++n) {
        CAPTURE(n);
        CHECK(fleet.runningElsewhere(n) == 35);
        CHECK(fleet.m_nodes[n].exchange->liveNodes() == 36);
    }
}

TEST_CASE("load exchange: what a node without a duty hears and sends does not grow with the fleet "
          "[sums][relays]")
{
    const auto messages = [](std::size_t nodesInEach, std::uint8_t subnet) {
        Fleet fleet(3, nodesInEach, subnet);
        withRelays(fleet).run(5);
        const std::size_t last = fleet.m_nodes.size() - 1;
        const std::size_t heard = fleet.m_nodes[last].heard;
        const std::size_t sent = fleet.m_nodes[last].links->datagramsSent();
        fleet.run(10);
        return std::pair(fleet.m_nodes[last].heard - heard,
                         fleet.m_nodes[last].links->datagramsSent() - sent);
    };
    // Ten rounds: one message of either relay, and one to either, in each.
    CHECK(messages(8, 82) == std::pair<std::size_t, std::size_t>(20, 20));
    CHECK(messages(32, 83) == std::pair<std::size_t, std::size_t>(20, 20));
}

TEST_CASE("load exchange: nothing is lost while one relay of each failure domain is gone "
          "[sums][relays]")
{
    Fleet fleet(3, 12, 84);
    withRelays(fleet).run(6);
    for (std::size_t n = 0; n < 3; ++n)
        fleet.stop(n);
    fleet.run(5);
    for (std::size_t n = 3; n < fleet.m_nodes.size(); ++n) {
        CAPTURE(n);
        CHECK(fleet.runningElsewhere(n) >= 32);
    }
    fleet.run(10); // what the dead ones had sent counts for a second
    for (std::size_t n = 3; n < fleet.m_nodes.size(); ++n)
        CHECK(fleet.runningElsewhere(n) == 32);
}

TEST_CASE("load exchange: relays that nobody knew before are found by all [sums][relays]")
{
    Fleet fleet(3, 12, 85);
    withRelays(fleet).run(6);
    // All strong VMs lose power; weak ones of each failure domain step in.
    for (std::size_t n = 0; n < 9; ++n)
        fleet.stop(n);
    for (std::size_t n = 30; n < 36; ++n)
        fleet.makeRelay(n);
    fleet.run(25);
    for (std::size_t n = 9; n < fleet.m_nodes.size(); ++n) {
        CAPTURE(n);
        CHECK(fleet.runningElsewhere(n) == 26);
    }
}

TEST_CASE("load exchange: a node that starts again takes no part of its last life out of a sum "
          "[sums][relays]")
{
    Fleet fleet(3, 12, 86);
    withRelays(fleet).run(6);
    fleet.start(35);
    fleet.run(4);
    CHECK(fleet.runningElsewhere(35) == 35);
}
