// SPDX-License-Identifier: MIT
#include "node/peer_links.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "fordwood/rendezvous.hpp"
#include "node/datagram_socket.hpp"

namespace fordwood::node {

namespace {

// Several ticks fit into the shortest gap that counts as a stall.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

} // namespace

PeerLinks::PeerLinks(net::io_context &context, const Clock &clock, Self self,
                     std::size_t smallFleet, OnMessage onMessage,
                     const MakeTransport &makeTransport)
    : m_roster(clock, std::move(self)), m_smallFleet(smallFleet), m_onMessage(std::move(onMessage)),
      m_tickTimer(context)
{
    const auto receive
        = [this](std::string_view bytes, const udp::endpoint &from) { onDatagram(bytes, from); };
    m_transport = makeTransport ? makeTransport(receive)
                                : std::make_unique<DatagramSocket>(context, clock, receive);
}

bool PeerLinks::open(const std::string &address, ErrorCode &ec)
{
    if (!m_transport->open(address, ec))
        return false;
    startTickTimer();
    return true;
}

void PeerLinks::sendAll(const Gossip &message)
{
    m_roster.removeSilent();
    const std::string datagram = encodeDirect(message);
    // Sent directly, so that no earlier message of this node arrives after its last one.
    const bool sendsToEach = message.leaving || m_roster.size() < m_smallFleet;
    std::map<std::string, std::vector<const Peer *>> byDomain; // by failure domain
    for (const auto &[name, peer] : m_roster.peers()) {
        if (sendsToEach || m_roster.isInOwnDomain(peer) || peer.failureDomain.empty())
            send(datagram, peer);
        else
            byDomain[peer.failureDomain].push_back(&peer);
    }
    for (const auto &[domain, members] : byDomain)
        sendForForwarding(datagram, members);
    m_messagesSent += 1;
}

void PeerLinks::sendToRelays(const Gossip &message)
{
    m_roster.removeSilent();
    sendToPeers(message, m_roster.reportTargets());
}

std::size_t PeerLinks::sendToDomain(const Gossip &message)
{
    // Starts with another one each time: if the link drops the last part of a round, no node misses
    // each of them.
    std::vector<const Peer *> peers = m_roster.domainPeers();
    if (!peers.empty()) {
        m_firstInDomain = (m_firstInDomain + peers.size() / 3 + 1) % peers.size();
        std::rotate(peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(m_firstInDomain),
                    peers.end());
    }
    return sendToPeers(message, peers);
}

std::size_t PeerLinks::sendToOtherDomains(const Gossip &message)
{
    return sendToPeers(message, m_roster.otherDomainTargets());
}

std::string PeerLinks::encodeDirect(const Gossip &message)
{
    return static_cast<char>(Delivery::Direct) + encodeGossip(message);
}

void PeerLinks::sendToNextInDomain(const std::string &datagram, std::size_t n)
{
    const std::vector<const Peer *> peers = m_roster.domainPeers();
    for (std::size_t i = 0; i < std::min(n, peers.size()); ++i)
        send(datagram, *peers[m_nextInDomain++ % peers.size()]);
}

std::size_t PeerLinks::sendToPeers(const Gossip &message, const std::vector<const Peer *> &peers)
{
    const std::string datagram = encodeDirect(message);
    for (const Peer *it : peers)
        send(datagram, *it);
    return datagram.size() * peers.size();
}

void PeerLinks::send(const std::string &datagram, const Peer &peer)
{
    if (peer.gossip)
        m_transport->send(datagram, *peer.gossip, peer.replicaAddress);
}

// Messages alternate between two forwarders, so that a forwarder that has just died loses only
// every other message. Each sender picks its own two by a hash weighted by strength, which
// distributes the work.
void PeerLinks::sendForForwarding(std::string datagram, const std::vector<const Peer *> &members)
{
    constexpr std::size_t kForwarders = 2;
    std::vector<std::pair<double, const Peer *>> candidates;
    for (const Peer *it : members) {
        if (m_roster.isLive(*it) && it->gossip)
            candidates.emplace_back(forwardingDistance(*it), it);
    }
    if (candidates.empty()) {
        for (const Peer *it : members)
            send(datagram, *it);
        return;
    }
    const std::size_t n = std::min(kForwarders, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(n),
                      candidates.end());
    datagram.front() = static_cast<char>(Delivery::Forward);
    send(datagram, *candidates[m_messagesSent % n].second);
}

// Weighted rendezvous hashing: the smallest value wins, with probability proportional to strength.
double PeerLinks::forwardingDistance(const Peer &peer) const
{
    constexpr double kMinStrength = 1.0; // for unknown strengths
    const std::uint64_t hash = rendezvousWeight(stableHash(m_roster.self().name),
                                                stableHash(peer.gossip->address().to_string()));
    return -std::log(1.0 - hashFraction(hash)) / std::max(peer.strength, kMinStrength);
}

void PeerLinks::forward(std::string datagram, const std::vector<const Peer *> &peers)
{
    datagram.front() = static_cast<char>(Delivery::Forwarded);
    for (const Peer *it : peers)
        send(datagram, *it);
}

void PeerLinks::startTickTimer()
{
    tick();
    m_tickTimer.start(kTickInterval, [this] { startTickTimer(); });
}

void PeerLinks::onDatagram(std::string_view datagram, const udp::endpoint &from)
{
    const auto delivery = static_cast<Delivery>(datagram.front());
    const auto message = decodeGossip(datagram.substr(1));
    if (!message || message->node == m_roster.self().name)
        return;
    const bool isDirect = delivery != Delivery::Forwarded;
    if (delivery == Delivery::Forward)
        forward(std::string(datagram), m_roster.domainPeers());
    // The sender does not know the relays of this failure domain, and this node may not be one:
    // forward the sums to the relays, which also learn of the sender this way.
    else if (isDirect && message->scope == LoadScope::Domain)
        forward(std::string(datagram), m_roster.domainRelays());
    m_roster.update(*message, isDirect ? std::optional(from) : std::nullopt);
    m_onMessage(*message);
}

} // namespace fordwood::node
