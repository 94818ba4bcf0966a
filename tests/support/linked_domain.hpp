// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_SUPPORT_LINKED_DOMAIN_HPP_INCLUDED
#define FORDWOOD_TESTS_SUPPORT_LINKED_DOMAIN_HPP_INCLUDED

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "adapters/observe/metrics.hpp"
#include "fordwood/relay_role.hpp"
#include "node/load_exchange.hpp"
#include "node/peer_links.hpp"
#include "support/simulated_network.hpp"

namespace fordwood::node {

// The nodes of one failure domain of a large fleet: a few on strong VMs, the others on weak ones.
// They decide by themselves which are relays. Relays know each change of the store at once, the
// others when a relay's message tells them.
class LinkedDomain
{
public:
    static constexpr double kStrongLink = 25e6; // bytes per second
    static constexpr double kWeakLink = 2.5e6;

    struct Size
    {
        std::size_t strong = 10;
        std::size_t weak = 160;
        std::size_t upstreams = 350; // with load
    };

    explicit LinkedDomain(Size size) : m_network(m_clock), m_size(size)
    {
        for (std::size_t n = 0; n < size.strong + size.weak; ++n)
            m_nodes.push_back(makeNode(n));
        for (Node &node : m_nodes) {
            ErrorCode ec;
            node.links->open(node.address, ec);
            for (const Node &it : m_nodes)
                node.links->setAddress(it.name, {it.address, it.address, "d", it.strength});
        }
    }

    struct Node
    {
        std::string name;
        std::string address;
        double strength = 0.0;
        double link = 0.0;
        std::unique_ptr<RelayRole> role;
        std::unique_ptr<PeerLinks> links;
        std::unique_ptr<LoadExchange> exchange;
        std::int64_t knownRevision = 0;
        bool hasNews = false;
        bool isCutOff = false;
    };

    // The store changes once in each `interval`; zero: not at all.
    void changeEvery(Duration interval)
    {
        m_changeEvery = interval;
        m_nextChange = m_clock.now();
    }

    void addLoad() { m_hasLoad = true; }

    // From now on every nth datagram is lost.
    void loseEveryNth(std::size_t n) { m_network.loseEveryNth(n); }

    // Runs all nodes. Records the longest time for which a node did not know of a change.
    void run(Duration time)
    {
        for (const TimePoint end = m_clock.now() + time; m_clock.now() < end;) {
            if (m_changeEvery > Duration::zero() && m_clock.now() >= m_nextChange)
                changeStore();
            for (Node &it : m_nodes)
                tick(it);
            m_network.run(kTick);
            recordLag();
        }
    }

    // The node keeps running, but nothing of it arrives.
    void cutOff(Node &node)
    {
        node.isCutOff = true;
        m_network.cutOff(node.address);
    }

    std::vector<Node *> relays()
    {
        std::vector<Node *> found;
        for (Node &it : m_nodes) {
            if (it.role->isRelay() && !it.isCutOff)
                found.push_back(&it);
        }
        return found;
    }

    std::vector<Node> &nodes() { return m_nodes; }
    std::size_t roleChanges() const { return m_roleChanges; }
    Duration longestLag() const { return m_longestLag; }
    void resetRecords()
    {
        m_roleChanges = 0;
        m_longestLag = Duration::zero();
    }

private:
    static constexpr Duration kTick = std::chrono::milliseconds(20);

    Node makeNode(std::size_t n)
    {
        Node node;
        const bool isStrong = n < m_size.strong;
        node.name = "n" + std::to_string(n);
        node.address = "10.0." + std::to_string(n / 250) + "." + std::to_string(n % 250 + 1) + ":1";
        node.strength = isStrong ? 50.0 : 12.0;
        node.link = isStrong ? kStrongLink : kWeakLink;
        RelayRole::Limits limits;
        limits.discovery = std::chrono::milliseconds(750);
        node.role = std::make_unique<RelayRole>(m_clock, RelayCandidate{node.name, node.strength},
                                                limits);
        node.links = std::make_unique<PeerLinks>(
            m_context, m_clock, PeerLinks::Self{node.name, "d", node.strength}, kSmallFleet,
            [this, n](const Gossip &it) { onMessage(m_nodes[n], it); },
            [this, link = node.link](DatagramTransport::OnDatagram receive) {
                return m_network.makeTransport(link, std::move(receive));
            });
        node.exchange = std::make_unique<LoadExchange>(
            m_clock, *node.links, m_metrics,
            LoadExchange::Pace{std::chrono::milliseconds(200), std::chrono::milliseconds(10),
                               node.link},
            [](const LoadReport &) {});
        return node;
    }

    void changeStore()
    {
        m_nextChange += m_changeEvery;
        m_changes.push_back(m_clock.now());
        for (Node &it : m_nodes) {
            if (it.role->followsStore()) {
                it.knownRevision = static_cast<std::int64_t>(m_changes.size());
                it.hasNews = true;
            }
        }
    }

    void onMessage(Node &node, const Gossip &message)
    {
        node.exchange->handle(message, node.role->isRelay());
        node.knownRevision = std::max(node.knownRevision, message.version.revision);
    }

    void tick(Node &node)
    {
        const bool wasRelay = node.role->isRelay();
        node.role->update(node.links->roster().relayRolePeers(true));
        if (node.role->isRelay() != wasRelay) {
            m_roleChanges += 1;
            node.hasNews = true;
        }
        if (node.role->followsStore())
            node.knownRevision = static_cast<std::int64_t>(m_changes.size());
        send(node);
    }

    void send(Node &node)
    {
        const bool isRelay = node.role->isRelay();
        node.exchange->tick(isRelay);
        if (!node.exchange->isDue(isRelay, node.hasNews))
            return;
        const bool reachesAll = node.exchange->isMessageDue(isRelay, node.hasNews);
        node.exchange->send(messageOf(node), isRelay, node.hasNews);
        node.hasNews = node.hasNews && !reachesAll;
    }

    Gossip messageOf(Node &node)
    {
        Gossip message;
        message.node = node.name;
        message.failureDomain = "d";
        message.gossipAddress = node.address;
        message.replicaAddress = node.address;
        message.strength = node.strength;
        message.version = {0, node.knownRevision};
        message.isRelay = node.role->isRelay();
        message.storeReachable = node.role->followsStore();
        message.getsStoreChanges = message.storeReachable;
        LoadReport own;
        if (m_hasLoad)
            own.loads = loadsOf(node);
        node.exchange->setOwn(own);
        return message;
    }

    // Requests at a few upstreams, different ones for each node.
    UpstreamLoads loadsOf(const Node &node) const
    {
        const auto n = static_cast<std::size_t>(&node - m_nodes.data());
        std::map<std::string, UpstreamLoad> loads;
        for (std::size_t i = n; i < m_size.upstreams; i += m_nodes.size())
            loads["engine-" + std::to_string(i)] = {1, 4'000, 60'000};
        return UpstreamLoads(loads);
    }

    void recordLag()
    {
        for (const Node &it : m_nodes) {
            const auto known = static_cast<std::size_t>(it.knownRevision);
            if (!it.isCutOff && known < m_changes.size())
                m_longestLag = std::max(m_longestLag, m_clock.now() - m_changes[known]);
        }
    }

    ManualClock m_clock;
    net::io_context m_context;
    adapters::Metrics m_metrics;
    SimulatedNetwork m_network;
    const Size m_size;
    std::vector<Node> m_nodes;
    std::vector<TimePoint> m_changes; // of the store: revision n was written at m_changes[n - 1]
    Duration m_changeEvery{};
    TimePoint m_nextChange{};
    bool m_hasLoad = false;
    std::size_t m_roleChanges = 0;
    Duration m_longestLag{};
};

} // namespace fordwood::node

#endif // FORDWOOD_TESTS_SUPPORT_LINKED_DOMAIN_HPP_INCLUDED
