// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_LOAD_EXCHANGE_HPP_INCLUDED
#define FORDWOOD_NODE_LOAD_EXCHANGE_HPP_INCLUDED

#include <functional>
#include <string>

#include "fordwood/clock.hpp"
#include "fordwood/load_sums.hpp"
#include "node/peer_links.hpp"
#include "node/peer_messages.hpp"

namespace fordwood::node {

// In a large fleet, what nodes tell each other of the load at the upstreams: each its own to the
// relays of its failure domain, these their sums to one relay of each other domain, and the sum of
// all to the nodes.
class LoadExchange
{
public:
    // Is told what all other nodes together have sent.
    using OnOthersLoad = std::function<void(LoadReport)>;

    struct Pace
    {
        Duration reportEvery{}; // a node to its relays
        double linkBytesPerSecond = 0.0; // of this VM
    };

    LoadExchange(const Clock &clock, PeerLinks &peers, Pace pace, OnOthersLoad onOthersLoad)
        : m_peers(peers), m_pace(pace), m_onOthersLoad(std::move(onOthersLoad)), m_sums(clock)
    { }

    void setOwn(LoadReport report) { m_sums.setOwn(std::move(report)); }

    // What a peer told of load. `isRelay`: this node is one.
    void handle(const Gossip &message, bool isRelay);

    // Sends `message`, which says all but the load, to those who need it. Returns the time until
    // the next one is due.
    Duration send(Gossip message, bool isRelay);

    // How many nodes live, by the last sum heard or made; zero: none yet.
    std::size_t liveNodes() const { return m_liveNodes; }

    // Nodes that report to this one.
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
    std::size_t m_liveNodes = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_LOAD_EXCHANGE_HPP_INCLUDED
