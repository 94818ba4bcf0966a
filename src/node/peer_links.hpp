// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_PEER_LINKS_HPP_INCLUDED
#define FORDWOOD_NODE_PEER_LINKS_HPP_INCLUDED

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"
#include "node/datagram_transport.hpp"
#include "node/net.hpp"
#include "node/peer_messages.hpp"
#include "node/peer_roster.hpp"
#include "node/timeout_timer.hpp"

namespace fordwood::node {

// Sends and receives datagrams between nodes. In a small fleet every node sends to every other. In
// a large one, nodes report to the relays of their failure domain, which exchange sums and send
// them to the nodes. Without sums, a message is sent once to each other failure domain and
// forwarded there, so that the number of datagrams between domains grows with the number of
// domains, not of nodes.
class PeerLinks
{
public:
    using OnMessage = std::function<void(const Gossip &)>;
    using Self = PeerRoster::Self;

    // Creates the transport that delivers datagrams to the given function.
    using MakeTransport
        = std::function<std::unique_ptr<DatagramTransport>(DatagramTransport::OnDatagram)>;

    // `smallFleet`: the largest fleet in which every node sends to every other. Without
    // `makeTransport`, a UDP socket is used.
    PeerLinks(net::io_context &context, const Clock &clock, Self self, std::size_t smallFleet,
              OnMessage onMessage, const MakeTransport &makeTransport = nullptr);

    // Returns false and sets `ec` if the address cannot be used.
    bool open(const std::string &address, ErrorCode &ec);

    // Periodic work; a timer on the node's thread calls it too. After the thread has stalled, drops
    // the datagrams that wait in the socket: they would count as new, on this node and, once
    // forwarded, on nodes that did not stall. Peers send new ones several times a second.
    void tick() { m_transport->checkForStall(); }

    void setAddress(const std::string &node, const PeerAddress &address)
    {
        m_roster.setAddress(node, address);
    }
    void removeAddress(const std::string &node) { m_roster.removeAddress(node); }

    const PeerRoster &roster() const { return m_roster; }

    // Sends to every node, directly or through forwarding.
    void sendAll(const Gossip &message);

    // Sends this node's load report to the relays of its failure domain.
    void sendToRelays(const Gossip &message);

    // Sends to the nodes of this failure domain. Returns the bytes sent.
    std::size_t sendToDomain(const Gossip &message);

    // The datagram that carries the message from here to its receiver.
    static std::string encodeDirect(const Gossip &message);

    // Sends the datagram to `n` nodes of this failure domain, those that follow the ones that got
    // the last.
    void sendToNextInDomain(const std::string &datagram, std::size_t n);

    // Sends the sums of this failure domain to a relay of each other one. Returns the bytes sent.
    std::size_t sendToOtherDomains(const Gossip &message);

    // Total number of datagrams sent.
    std::size_t datagramsSent() const { return m_transport->sent(); }

    // Of these, the ones that the kernel did not take, for example because they were too long.
    std::size_t datagramsFailed() const { return m_transport->failed(); }

private:
    using Peer = PeerRoster::Peer;

    // The first byte of a datagram: how the message was delivered.
    enum class Delivery : char {
        Direct, // sent by the node that wrote it
        Forward, // as Direct; the receiver forwards it within its failure domain
        Forwarded, // by the receiver of Forward, or by a node that received sums for its relays
    };

    void startTickTimer();
    void onDatagram(std::string_view datagram, const udp::endpoint &from);
    void forward(std::string datagram, const std::vector<const Peer *> &peers);
    void send(const std::string &datagram, const Peer &peer);
    std::size_t sendToPeers(const Gossip &message, const std::vector<const Peer *> &peers);
    double forwardingDistance(const Peer &peer) const;
    void sendForForwarding(std::string datagram, const std::vector<const Peer *> &members);

    PeerRoster m_roster;
    const std::size_t m_smallFleet;
    OnMessage m_onMessage;
    std::unique_ptr<DatagramTransport> m_transport;
    TimeoutTimer m_tickTimer;
    std::size_t m_messagesSent = 0; // messages
    std::size_t m_nextInDomain = 0; // receiver of sendToNextInDomain()
    std::size_t m_firstInDomain = 0; // receiver of sendToDomain()
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PEER_LINKS_HPP_INCLUDED
