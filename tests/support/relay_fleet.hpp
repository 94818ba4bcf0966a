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

#include "adapters/observe/metrics.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/rendezvous.hpp"
#include "node/http_client.hpp"
#include "node/load_exchange.hpp"
#include "node/quarantine_distributor.hpp"
#include "node/store_client.hpp"

namespace fordwood::node {

using namespace std::chrono_literals;

inline constexpr double kLinkBytesPerSecond = 1e9;

// Nodes in several failure domains, on loopback addresses that are specific to this process. Tests
// select the relays.
class RelayFleet
{
public:
    RelayFleet(std::size_t domains, std::size_t nodesInEach, std::uint8_t subnet)
        : m_addressPrefix("127." + std::to_string(subnet) + "." + std::to_string(getpid() % 250 + 1)
                          + "."),
          m_domains(domains)
    {
        for (std::size_t n = 0; n < domains * nodesInEach; ++n) {
            Node node;
            node.name = "n" + std::to_string(n);
            node.domain = "d" + std::to_string(n % domains);
            node.address = m_addressPrefix + std::to_string(n + 1) + ":9000";
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
            [this, n](const Gossip &it) { onMessage(m_nodes[n], it); });
        node.exchange = std::make_unique<LoadExchange>(
            m_clock, *node.links, m_metrics, LoadExchange::Pace{200ms, 10ms, kLinkBytesPerSecond},
            [this, n](LoadReport it) { m_nodes[n].others = std::move(it); });
        node.quarantine = std::make_unique<QuarantineDistributor>(
            m_clock, m_store, m_replica, [this, n](const std::vector<QuarantineUpdate> &it) {
                m_nodes[n].quarantineUpdates.insert(m_nodes[n].quarantineUpdates.end(), it.begin(),
                                                    it.end());
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

    // Makes nodes 0 to 2 * domains - 1 relays: the first two of each domain.
    RelayFleet &withRelays()
    {
        for (std::size_t n = 0; n < 2 * m_domains; ++n)
            makeRelay(n);
        return *this;
    }

    // From now on every `nth` received message is dropped; zero: none.
    void dropEveryNth(std::size_t nth) { m_dropEvery = nth; }

    // Each live node sends its due messages, for `rounds` rounds of 100 ms.
    void run(int rounds)
    {
        for (int n = 0; n < rounds; ++n) {
            for (Node &it : m_nodes) {
                if (it.links)
                    send(it);
            }
            deliverAll();
            m_clock.advance(100ms);
        }
    }

    // Handles all pending messages. Datagrams on loopback arrive as soon as they are sent.
    void deliverAll()
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
        std::unique_ptr<QuarantineDistributor> quarantine;
        std::vector<QuarantineUpdate> quarantineUpdates; // received from others
        std::size_t received = 0;
    };

    std::size_t runningElsewhere(std::size_t n) const
    {
        const auto &others = m_nodes[n].others;
        return others ? others->loads.at("e").running : 0;
    }

    std::size_t domains() const { return m_domains; }
    std::vector<Node> &nodes() { return m_nodes; }

private:
    // Ignores all events of the store, which does not exist here.
    struct NullListener : StoreListener
    {
        void onStoreChanges(const StoreChanges & /*changes*/,
                            const StoreAnswerTimes & /*times*/) override
        { }
        void onReachabilityChange(bool /*reachable*/) override { }
    };

    void onMessage(Node &node, const Gossip &message)
    {
        m_receivedCount += 1;
        if (m_dropEvery > 0 && m_receivedCount % m_dropEvery == 0)
            return;
        node.received += 1;
        node.exchange->handle(message, node.isRelay);
        node.quarantine->addFromPeer(message.quarantineUpdates, node.isRelay);
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
        message.quarantineUpdates = node.quarantine->nextBatch();
        LoadReport own;
        own.loads = {{"e", {1, 10, 10}}};
        node.exchange->setOwn(own);
        node.exchange->send(message, node.isRelay, true);
    }

    const std::string m_addressPrefix;
    const std::size_t m_domains;
    ManualClock m_clock;
    adapters::Metrics m_metrics;
    net::io_context m_context;
    HttpClient m_caller{m_context, m_clock};
    StoreReplica m_replica;
    NullListener m_listener;
    StoreClient m_store{m_context, m_caller,  m_clock, m_metrics, {"127.0.0.1:1", "n"},
                        m_replica, m_listener};
    std::vector<Node> m_nodes;
    std::size_t m_dropEvery = 0;
    std::size_t m_receivedCount = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_TESTS_SUPPORT_RELAY_FLEET_HPP_INCLUDED
