// SPDX-License-Identifier: MIT
// How messages between nodes spread.
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
        : m_net("127.71." + std::to_string(getpid() % 250 + 1) + ".")
    {
        for (std::size_t n = 0; n < domains * nodesInEach; ++n) {
            Node node;
            node.name = "n" + std::to_string(n);
            node.domain = "d" + std::to_string(n % domains);
            node.address = m_net + std::to_string(n + 1) + ":9000";
            m_nodes.push_back(std::move(node));
        }
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            start(n);
    }

    void start(std::size_t n)
    {
        Node &node = m_nodes[n];
        node.links = std::make_unique<PeerLinks>(
            m_context, m_clock, PeerLinks::Self{node.name, node.domain, 0.0}, kSmallFleet,
            [this, n](const Gossip &it) { m_nodes[n].heard.push_back(it.node); });
        ErrorCode ec;
        REQUIRE(node.links->open(node.address, ec));
        for (const Node &it : m_nodes)
            node.links->setAddress(it.name, {it.address, it.address, it.domain, 0.0});
    }

    void say(std::size_t n)
    {
        Gossip message;
        message.node = m_nodes[n].name;
        message.failureDomain = m_nodes[n].domain;
        m_nodes[n].links->sendAll(message);
    }

    // Until nothing is under way any more: datagrams on loopback have arrived when they are sent.
    void settle()
    {
        while (m_context.poll() > 0) { }
    }

    // In which all nodes run and say nothing.
    void pause(Duration time)
    {
        constexpr Duration kStep = 500ms;
        for (Duration gone{}; gone < time; gone += kStep) {
            m_clock.advance(kStep);
            for (const Node &it : m_nodes)
                it.links->tick();
        }
    }

    void introduceAll()
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            say(n);
        settle();
        for (Node &it : m_nodes)
            it.heard.clear();
    }

    // How many of the others have heard node `n` since the introduction, and how often at most.
    std::pair<std::size_t, std::ptrdiff_t> hearersOf(std::size_t n) const
    {
        std::size_t hearers = 0;
        std::ptrdiff_t most = 0;
        for (const Node &it : m_nodes) {
            const auto times = std::count(it.heard.begin(), it.heard.end(), m_nodes[n].name);
            hearers += times > 0 ? 1 : 0;
            most = std::max(most, times);
        }
        return {hearers, most};
    }

    struct Node
    {
        std::string name;
        std::string domain;
        std::string address;
        std::unique_ptr<PeerLinks> links;
        std::vector<std::string> heard;
    };

    const std::string m_net;
    ManualClock m_clock;
    net::io_context m_context;
    std::vector<Node> m_nodes;
};

} // namespace

TEST_CASE("peers: in a large fleet each node hears each message once [peers][relays]")
{
    Fleet fleet(3, 6);
    fleet.introduceAll();
    const std::size_t before = fleet.m_nodes[0].links->datagramsSent();
    fleet.say(0);
    fleet.settle();
    CHECK(fleet.hearersOf(0) == std::pair<std::size_t, std::ptrdiff_t>(17, 1));
    // To its own failure domain, and one to each other: those cross long links.
    CHECK(fleet.m_nodes[0].links->datagramsSent() - before == 5 + 2);
}

TEST_CASE("peers: a message comes through although the node that passed on the last one is gone "
          "[peers][relays]")
{
    Fleet fleet(3, 6);
    fleet.introduceAll();
    for (std::size_t gone = 1; gone < 18; ++gone) {
        fleet.m_nodes[gone].links.reset();
        fleet.say(0);
        fleet.say(0);
        fleet.settle();
        CHECK(fleet.hearersOf(0).first == 16);
        for (auto &it : fleet.m_nodes)
            it.heard.clear();
        fleet.start(gone);
        fleet.introduceAll();
    }
}

TEST_CASE("peers: nobody live to pass a message on: all are told [peers][relays]")
{
    Fleet fleet(3, 6);
    fleet.introduceAll();
    fleet.pause(10s); // all others have fallen silent
    fleet.say(0);
    fleet.settle();
    CHECK(fleet.hearersOf(0).first == 17);
}

TEST_CASE("peers: a small fleet needs nobody to pass messages on [peers]")
{
    Fleet fleet(2, 4);
    fleet.introduceAll();
    fleet.say(0);
    fleet.settle();
    CHECK(fleet.hearersOf(0) == std::pair<std::size_t, std::ptrdiff_t>(7, 1));
}
