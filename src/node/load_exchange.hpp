// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_LOAD_EXCHANGE_HPP_INCLUDED
#define FORDWOOD_NODE_LOAD_EXCHANGE_HPP_INCLUDED

#include <functional>
#include <optional>
#include <string>

#include "fordwood/clock.hpp"
#include "fordwood/load_sums.hpp"
#include "fordwood/relay_pace.hpp"
#include "node/peer_links.hpp"
#include "node/peer_messages.hpp"
#include "node/relay_traffic.hpp"

namespace fordwood::node {

// Exchanges the load at the upstreams between the nodes of a large fleet. Each node sends its own
// load to the relays of its failure domain. Relays send the sum of their domain to one relay of
// each other domain, and the sum of all nodes to the nodes of their domain. Where the sums are too
// large for all nodes at once, the nodes get them in turn, and between them short messages.
class LoadExchange
{
public:
    // Called with the total load that all other nodes have sent.
    using OnOthersLoad = std::function<void(LoadReport)>;

    struct Pace
    {
        Duration reportEvery{}; // interval of a node's reports to its relays
        Duration minPause{}; // between reports that have news
        double linkBytesPerSecond = 0.0; // of this VM
    };

    LoadExchange(const Clock &clock, PeerLinks &peers, adapters::Metrics &metrics, Pace pace,
                 OnOthersLoad onOthersLoad)
        : m_clock(clock), m_peers(peers), m_reportEvery(pace.reportEvery),
          m_minReportPause(pace.minPause), m_onOthersLoad(std::move(onOthersLoad)), m_sums(clock),
          m_relayPace(clock, {.linkBytesPerSecond = pace.linkBytesPerSecond}),
          m_traffic(clock, metrics, pace.linkBytesPerSecond)
    { }

    void setOwn(LoadReport report) { m_sums.setOwn(std::move(report)); }

    // Handles the load in a peer's message. `isRelay`: whether this node is a relay.
    void handle(const Gossip &message, bool isRelay);

    // Whether to send now. `hasNews`: this node has something that others should know at once.
    bool isDue(bool isRelay, bool hasNews) const;

    // Whether what is sent now reaches all nodes that need it. A relay also sends sums to a few.
    bool isMessageDue(bool isRelay, bool hasNews) const;

    // Adds the load to `message` and sends it to the peers that need it, as far as it is due.
    void send(Gossip message, bool isRelay, bool hasNews);

    // Call often: sends the last sum to further nodes.
    void tick(bool isRelay)
    {
        if (isRelay)
            continueFleetSum();
    }

    // The number of live nodes according to the last sum received or computed; zero: none yet.
    std::size_t liveNodes() const { return m_liveNodes; }

    // Number of nodes that report to this one.
    std::size_t reportingNodes() const { return m_sums.nodeCount(); }

private:
    Gossip reportIn(Gossip message);
    void sendAsRelay(const Gossip &message, bool hasNews);
    std::size_t sendDomainSum(Gossip message);
    bool startFleetSum(Gossip message);
    void continueFleetSum();
    void publishOthers(LoadReport others);

    const Clock &m_clock;
    PeerLinks &m_peers;
    const Duration m_reportEvery;
    const Duration m_minReportPause;
    OnOthersLoad m_onOthersLoad;
    LoadSums m_sums;
    SentReports m_sent;
    RelayPace m_relayPace;
    RelayTraffic m_traffic;
    std::optional<TimePoint> m_lastReport;
    std::uint64_t m_lastSum = 0; // number of the last sum for this failure domain
    std::string m_fleetSum; // that sum as it is sent
    std::size_t m_fleetSumRows = 0;
    std::size_t m_sumReceivers = 0; // that have not got it yet
    std::size_t m_liveNodes = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_LOAD_EXCHANGE_HPP_INCLUDED
