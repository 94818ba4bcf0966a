// SPDX-License-Identifier: MIT
#include "node/peer_links.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "adapters/observe/event_log.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// Several ticks fit into the shortest gap that counts as a stall.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

// A message that cannot be sent to one peer usually cannot be sent to the others either.
constexpr Duration kFailureLogInterval = std::chrono::seconds(1);

// Bound on the datagrams dropped in one call; socket buffers hold fewer.
constexpr std::size_t kMaxDroppedDatagrams = 100'000;

} // namespace

PeerLinks::PeerLinks(net::io_context &context, const Clock &clock, Self self,
                     std::size_t smallFleet, OnMessage onMessage)
    : m_clock(clock), m_roster(clock, std::move(self)), m_smallFleet(smallFleet),
      m_onMessage(std::move(onMessage)), m_socket(context), m_tickTimer(context),
      m_stallDetector(clock)
{ }

bool PeerLinks::open(const std::string &address, ErrorCode &ec)
{
    const auto endpoint = parseEndpoint<udp>(address);
    if (!endpoint) {
        ec = net::error::invalid_argument;
        return false;
    }
    m_socket.open(endpoint->protocol(), ec);
    if (!ec)
        m_socket.bind(*endpoint, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec)
        return false;
    m_stallDetector.poll(); // the thread does not run before this
    startTickTimer();
    receive();
    return true;
}

void PeerLinks::sendAll(const Gossip &message)
{
    m_roster.removeSilent();
    const std::string datagram = static_cast<char>(Delivery::Direct) + encodeGossip(message);
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
    return sendToPeers(message, m_roster.domainPeers());
}

std::size_t PeerLinks::sendToOtherDomains(const Gossip &message)
{
    return sendToPeers(message, m_roster.otherDomainTargets());
}

std::size_t PeerLinks::sendToPeers(const Gossip &message, const std::vector<const Peer *> &peers)
{
    const std::string datagram = static_cast<char>(Delivery::Direct) + encodeGossip(message);
    for (const Peer *it : peers)
        send(datagram, *it);
    return datagram.size() * peers.size();
}

void PeerLinks::send(const std::string &datagram, const Peer &peer)
{
    if (!peer.gossip)
        return;
    ErrorCode ec;
    m_socket.send_to(net::buffer(datagram), *peer.gossip, 0, ec);
    m_datagramsSent += 1;
    if (ec)
        recordSendFailure(datagram.size(), peer, ec);
}

// Receivers tolerate lost datagrams, so nothing is repeated.
void PeerLinks::recordSendFailure(std::size_t bytes, const Peer &peer, const ErrorCode &cause)
{
    m_datagramsFailed += 1;
    if (m_clock.now() < m_nextFailureLog)
        return;
    m_nextFailureLog = m_clock.now() + kFailureLogInterval;
    logEvent(Event::DatagramNotSent, {{"peer", peer.replicaAddress},
                                      {"bytes", bytes},
                                      {"error", cause.message()},
                                      {"failed", m_datagramsFailed}});
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
    m_tickTimer.expires_after(kTickInterval);
    m_tickTimer.async_wait([this](const ErrorCode &ec) {
        if (!ec)
            startTickTimer();
    });
}

void PeerLinks::tick()
{
    const Duration stallTime = m_stallDetector.poll();
    if (stallTime == Duration::zero())
        return;
    const std::size_t dropped = dropPending();
    logEvent(Event::StoodStill,
             {{"stood_still_ms", std::chrono::floor<std::chrono::milliseconds>(stallTime).count()},
              {"datagrams_dropped", dropped}});
}

// Messages received during a stall would count as new, on this node and, once forwarded, on nodes
// that did not stall. Peers send new ones several times a second.
std::size_t PeerLinks::dropPending()
{
    std::array<char, 1> byte{};
    udp::endpoint from;
    ErrorCode ec;
    std::size_t n = 0;
    while (n < kMaxDroppedDatagrams && !ec) {
        m_socket.receive_from(net::buffer(byte), from, 0, ec);
        n += ec ? 0 : 1;
    }
    // One datagram may have been read already, with its handler queued behind this one.
    m_isDropping = true;
    net::post(m_socket.get_executor(), [this] { m_isDropping = false; });
    return n;
}

void PeerLinks::receive()
{
    m_socket.async_receive_from(net::buffer(m_bytes), m_sender,
                                [this](const ErrorCode &ec, std::size_t n) {
                                    if (ec == net::error::operation_aborted)
                                        return;
                                    if (!ec)
                                        onDatagram({m_bytes.data(), n});
                                    receive();
                                });
}

void PeerLinks::onDatagram(std::string_view datagram)
{
    tick();
    if (m_isDropping || datagram.empty())
        return;
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
    m_roster.update(*message, isDirect ? std::optional(m_sender) : std::nullopt);
    m_onMessage(*message);
}

} // namespace fordwood::node
