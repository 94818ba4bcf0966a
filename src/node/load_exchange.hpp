// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_LOAD_EXCHANGE_HPP_INCLUDED
#define FORDWOOD_NODE_LOAD_EXCHANGE_HPP_INCLUDED

#include <functional>
#include <string>

#include "fordwood/clock.hpp"
#include "fordwood/load_sums.hpp"
#include "node/peer_links.hpp"
#include "node/peer_messages.hpp"
#include "node/relay_traffic.hpp"

namespace fordwood::node {

// Exchanges the load at the upstreams between the nodes of a large fleet. Each node sends its own
// load to the relays of its failure domain. Relays send the sum of their domain to one relay of
// each other domain, and the sum of all nodes to the nodes of their domain.
class LoadExchange
{
public:
    // Called with the total load that all other nodes have sent.
    using OnOthersLoad = std::function<void(LoadReport)>;

    struct Pace
    {
        Duration reportEvery{}; // interval of a node's reports to its relays
        double linkBytesPerSecond = 0.0; // of this VM
    };

    LoadExchange(const Clock &clock, PeerLinks &peers, adapters::Metrics &metrics, Pace pace,
                 OnOthersLoad onOthersLoad)
        : m_peers(peers), m_pace(pace), m_onOthersLoad(std::move(onOthersLoad)), m_sums(clock),
          m_traffic(clock, metrics, pace.linkBytesPerSecond)
    { }

    void setOwn(LoadReport report) { m_sums.setOwn(std::move(report)); }

    // Handles the load in a peer's message. `isRelay`: whether this node is a relay.
    void handle(const Gossip &message, bool isRelay);

    // Adds the load to `message` and sends it to the peers that need it. Returns the time until the
    // next one is due.
    Duration send(Gossip message, bool isRelay);

    // The number of live nodes according to the last sum received or computed; zero: none yet.
    std::size_t liveNodes() const { return m_liveNodes; }

    // Number of nodes that report to this one.
    std::size_t reportingNodes() const { return m_sums.nodeCount(); }

private:
    void report(Gossip message);
    Duration sendSums(Gossip message);
    void publishOthers(LoadReport others);

    PeerLinks &m_peers;
    const Pace m_pace;
    OnOthersLoad m_onOthersLoad;
    LoadSums m_sums;
    SentReports m_sent;
    RelayTraffic m_traffic;
    std::uint64_t m_lastSum = 0; // number of the last sum for this failure domain
    std::size_t m_liveNodes = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_LOAD_EXCHANGE_HPP_INCLUDED
