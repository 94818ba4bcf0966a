// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_PEER_LINKS_HPP_INCLUDED
#define FORDWOOD_NODE_PEER_LINKS_HPP_INCLUDED

#include <array>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "fordwood/clock.hpp"
#include "fordwood/standstill_watch.hpp"
#include "node/net.hpp"
#include "node/peer_messages.hpp"
#include "node/peer_roster.hpp"

namespace fordwood::node {

// Datagrams to and from the other nodes. In a small fleet each node tells each other one. In a
// large one nodes report to the relays of their failure domain, which exchange sums and tell them
// to the nodes. Without sums a message crosses to each other failure domain once, and is passed on
// there: as many datagrams as there are domains, not nodes.
class PeerLinks
{
public:
    using OnMessage = std::function<void(const Gossip &)>;
    using Self = PeerRoster::Self;

    // `smallFleet`: up to so many nodes, each tells each other one.
    PeerLinks(net::io_context &context, const Clock &clock, Self self, std::size_t smallFleet,
              OnMessage onMessage);

    // False when the address cannot be used; `ec` tells why.
    bool open(const std::string &address, ErrorCode &ec);

    // Regular work, which the node's thread does by itself too. After a standstill of the thread
    // drops what waits in the socket.
    void tick();

    void setAddress(const std::string &node, const PeerAddress &address)
    {
        m_roster.setAddress(node, address);
    }
    void removeAddress(const std::string &node) { m_roster.removeAddress(node); }

    const PeerRoster &roster() const { return m_roster; }

    // To every node, directly or passed on.
    void sendAll(const Gossip &message);

    // What this node has sent to upstreams, to the relays of its failure domain.
    void sendToRelays(const Gossip &message);

    // The sums of all nodes, to those of this failure domain. Returns the bytes sent.
    std::size_t sendToDomain(const Gossip &message);

    // The sums of this failure domain, to a relay of each other one. Returns the bytes sent.
    std::size_t sendToOtherDomains(const Gossip &message);

    // Datagrams that this node has sent.
    std::size_t datagramsSent() const { return m_datagramsSent; }

private:
    using Peer = PeerRoster::Peer;

    // What a datagram's first byte says of the message behind it.
    enum class Delivery : char {
        Direct, // from the node that wrote it
        Forward, // likewise; the receiver tells the others of its failure domain
        Forwarded, // from a node that was asked to, or that is no relay and knows one
    };

    void startTickTimer();
    // Returns the number of datagrams.
    std::size_t dropPending();
    void receive();
    void onDatagram(std::string_view datagram);
    void forward(std::string datagram, const std::vector<const Peer *> &peers);
    void send(const std::string &datagram, const Peer &peer);
    std::size_t sendToPeers(const Gossip &message, const std::vector<const Peer *> &peers);
    double forwardingDistance(const Peer &peer) const;
    void sendForForwarding(std::string datagram, const std::vector<const Peer *> &members);

    static constexpr std::size_t kMaxDatagramBytes = 65'507; // of a datagram

    PeerRoster m_roster;
    const std::size_t m_smallFleet;
    OnMessage m_onMessage;
    udp::socket m_socket;
    net::steady_timer m_tickTimer;
    StandstillWatch m_stallDetector;
    bool m_isDropping = false; // what was read before this node was seen to have stood still
    udp::endpoint m_sender;
    std::array<char, kMaxDatagramBytes> m_bytes{};
    std::size_t m_messagesSent = 0; // messages
    std::size_t m_datagramsSent = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PEER_LINKS_HPP_INCLUDED
