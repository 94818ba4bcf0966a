// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_SUPPORT_RELAY_FLEET_HPP_INCLUDED
#define FORDWOOD_TESTS_SUPPORT_RELAY_FLEET_HPP_INCLUDED

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/rendezvous.hpp"
#include "node/http_client.hpp"
#include "node/load_exchange.hpp"
#include "node/quarantine_duty.hpp"
#include "node/store_link.hpp"

namespace fordwood::node {

using namespace std::chrono_literals;

inline constexpr double kLinkBytesPerSecond = 1e9;

// Nodes in failure domains, on loopback addresses of this process. The strongest two of each domain
// are its relays, as long as they live.
class RelayFleet
{
public:
    RelayFleet(std::size_t domains, std::size_t nodesInEach, std::uint8_t subnet)
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
            [this, n](const Gossip &it) { heard(m_nodes[n], it); });
        node.exchange = std::make_unique<LoadExchange>(
            m_clock, *node.links, LoadExchange::Pace{200ms, kLinkBytesPerSecond},
            [this, n](LoadReport it) { m_nodes[n].others = std::move(it); });
        node.quarantine = std::make_unique<QuarantineDuty>(
            m_clock, m_store, m_replica, [this, n](const std::vector<RequestNews> &it) {
                m_nodes[n].requestNews.insert(m_nodes[n].requestNews.end(), it.begin(), it.end());
            });
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

    // Relays are nodes 0 and 1 of each domain: 0 to 2 * domains - 1.
    RelayFleet &withRelays()
    {
        for (std::size_t n = 0; n < 2 * m_domains; ++n)
            makeRelay(n);
        return *this;
    }

    // From now on each so many-th message that arrives anywhere is lost; zero: none.
    void loseEach(std::size_t nth) { m_loseEach = nth; }

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
        std::unique_ptr<QuarantineDuty> quarantine;
        std::vector<RequestNews> requestNews; // told by others
        std::size_t heard = 0;
    };

    std::size_t runningElsewhere(std::size_t n) const
    {
        const auto &others = m_nodes[n].others;
        return others ? others->loads.at("e").running : 0;
    }

    std::size_t domains() const { return m_domains; }
    std::vector<Node> &nodes() { return m_nodes; }

private:
    // Hears nothing of a store that is not there.
    struct DeafListener : StoreListener
    {
        void storeTold(const StoreChanges & /*changes*/,
                       const StoreAnswerTimes & /*times*/) override
        { }
        void storeReachable(bool /*reachable*/) override { }
    };

    void heard(Node &node, const Gossip &message)
    {
        m_arrived += 1;
        if (m_loseEach > 0 && m_arrived % m_loseEach == 0)
            return;
        node.heard += 1;
        node.exchange->take(message, node.isRelay);
        node.quarantine->takeHeard(message.requestNews, node.isRelay);
    }

    void send(Node &node)
    {
        Gossip message;
        message.node = node.name;
        message.failureDomain = node.domain;
        message.gossipAddress = node.address;
        message.replicaAddress = node.address;
        message.strength = node.strength;
        message.isRelay = node.isRelay;
        message.requestNews = node.quarantine->newsForPeers();
        LoadReport own;
        own.loads = {{"e", {1, 10, 10}}};
        node.exchange->setOwn(own);
        node.exchange->send(message, node.isRelay);
    }

    const std::string m_net;
    const std::size_t m_domains;
    ManualClock m_clock;
    net::io_context m_context;
    HttpClient m_caller{m_context, m_clock};
    StoreReplica m_replica;
    DeafListener m_deaf;
    StoreLink m_store{m_context, m_caller, m_clock, "127.0.0.1:1", m_replica, m_deaf};
    std::vector<Node> m_nodes;
    std::size_t m_loseEach = 0;
    std::size_t m_arrived = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_TESTS_SUPPORT_RELAY_FLEET_HPP_INCLUDED
