// SPDX-License-Identifier: MIT
#include "node/peer_links.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>

#include "fordwood/rendezvous.hpp"

namespace fordwood::node {

namespace {

// Some ten messages long, so that lost datagrams do not make a peer seem gone.
constexpr Duration kLiveFor = std::chrono::seconds(2);

// A peer without a key in the store is forgotten after this silence.
constexpr Duration kRememberFor = std::chrono::seconds(60);

} // namespace

PeerLinks::PeerLinks(net::io_context &context, const Clock &clock, Self self,
                     std::size_t smallFleet, Heard heard)
    : m_clock(clock), m_self(std::move(self)), m_smallFleet(smallFleet), m_heard(std::move(heard)),
      m_socket(context)
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
    receive();
    return true;
}

void PeerLinks::setAddress(const std::string &node, const PeerAddress &address)
{
    if (node == m_self.name)
        return;
    Peer &peer = m_peers[node];
    peer.gossip = parseEndpoint<udp>(address.gossip);
    peer.replicaAddress = address.replica;
    peer.failureDomain = address.failureDomain;
    peer.hasKey = true;
}

void PeerLinks::removeAddress(const std::string &node)
{
    const auto it = m_peers.find(node);
    if (it == m_peers.end())
        return;
    it->second.hasKey = false;
    if (!isLive(it->second))
        m_peers.erase(it);
}

void PeerLinks::sendAll(const Gossip &message)
{
    std::erase_if(m_peers, [&](const auto &it) {
        const Peer &peer = it.second;
        return !peer.hasKey && (!peer.heard || m_clock.now() - *peer.heard > kRememberFor);
    });
    const std::string datagram = static_cast<char>(Delivery::Direct) + encodeGossip(message);
    // A last message must not be overtaken by one before it.
    const bool tellsEach = message.leaving || m_peers.size() < m_smallFleet;
    std::map<std::string, std::vector<const Peer *>> across; // by failure domain
    for (const auto &[name, peer] : m_peers) {
        if (tellsEach || isNear(peer) || peer.failureDomain.empty())
            send(datagram, peer);
        else
            across[peer.failureDomain].push_back(&peer);
    }
    for (const auto &[domain, members] : across)
        sendAcross(datagram, members);
    m_sends += 1;
}

void PeerLinks::send(const std::string &datagram, const Peer &peer)
{
    if (!peer.gossip)
        return;
    ErrorCode ec; // a datagram that is lost here is one more lost datagram
    m_socket.send_to(net::buffer(datagram), *peer.gossip, 0, ec);
    m_datagramsSent += 1;
}

// Two members in turn pass messages on, so that one that has just died costs every other message.
// Each node has two of its own, by a hash that favours strong ones: so the work is spread.
void PeerLinks::sendAcross(std::string datagram, const std::vector<const Peer *> &members)
{
    constexpr std::size_t kInTurn = 2;
    std::vector<std::pair<double, const Peer *>> order;
    for (const Peer *it : members) {
        if (isLive(*it) && it->gossip)
            order.emplace_back(distanceTo(*it), it);
    }
    if (order.empty()) {
        for (const Peer *it : members)
            send(datagram, *it);
        return;
    }
    const std::size_t n = std::min(kInTurn, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end());
    datagram.front() = static_cast<char>(Delivery::PassOn);
    send(datagram, *order[m_sends % n].second);
}

// Weighted rendezvous: the least one wins, in proportion to the strengths.
double PeerLinks::distanceTo(const Peer &peer) const
{
    constexpr double kLeastStrength = 1.0; // of one that is not known
    const std::uint64_t hash
        = rendezvousWeight(stableHash(m_self.name), stableHash(peer.gossip->address().to_string()));
    return -std::log(1.0 - hashFraction(hash)) / std::max(peer.strength, kLeastStrength);
}

void PeerLinks::passOn(std::string datagram)
{
    datagram.front() = static_cast<char>(Delivery::Passed);
    for (const auto &[name, peer] : m_peers) {
        if (isNear(peer))
            send(datagram, peer);
    }
}

bool PeerLinks::isNear(const Peer &peer) const
{
    return peer.failureDomain == m_self.failureDomain;
}

void PeerLinks::receive()
{
    m_socket.async_receive_from(net::buffer(m_bytes), m_sender,
                                [this](const ErrorCode &ec, std::size_t n) {
                                    if (ec == net::error::operation_aborted)
                                        return;
                                    if (!ec)
                                        received({m_bytes.data(), n});
                                    receive();
                                });
}

void PeerLinks::received(std::string_view datagram)
{
    if (datagram.empty())
        return;
    const auto delivery = static_cast<Delivery>(datagram.front());
    const auto message = decodeGossip(datagram.substr(1));
    if (!message || message->node == m_self.name)
        return;
    if (delivery == Delivery::PassOn)
        passOn(std::string(datagram));
    take(*message, delivery != Delivery::Passed);
}

void PeerLinks::take(const Gossip &message, bool isDirect)
{
    if (message.leaving) {
        m_peers.erase(message.node);
        m_heard(message);
        return;
    }
    Peer &peer = m_peers[message.node];
    if (isDirect)
        peer.gossip = m_sender;
    peer.heard = m_clock.now();
    peer.replicaAddress = message.replicaAddress;
    peer.revision = message.revision;
    peer.reachesStore = message.storeReachable;
    peer.strength = message.strength;
    peer.isRelay = message.isRelay;
    peer.followsContext = message.followsContext;
    m_heard(message);
}

bool PeerLinks::isLive(const Peer &peer) const
{
    return peer.heard && m_clock.now() - *peer.heard < kLiveFor;
}

std::vector<std::string> PeerLinks::liveWhere(const std::function<bool(const Peer &)> &holds) const
{
    std::vector<std::string> names;
    for (const auto &[name, peer] : m_peers) {
        if (isLive(peer) && holds(peer))
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> PeerLinks::live() const
{
    return liveWhere([](const Peer &) { return true; });
}

std::optional<TimePoint> PeerLinks::lastHeard(const std::string &node) const
{
    const auto it = m_peers.find(node);
    return it == m_peers.end() ? std::nullopt : it->second.heard;
}

std::vector<std::string> PeerLinks::reachingStore() const
{
    return liveWhere([](const Peer &it) { return it.reachesStore; });
}

std::vector<RelayCandidate>
PeerLinks::candidatesWhere(const std::function<bool(const Peer &)> &holds) const
{
    std::vector<RelayCandidate> found;
    for (const std::string &it : liveWhere(holds))
        found.push_back({it, m_peers.at(it).strength});
    return found;
}

std::vector<RelayCandidate> PeerLinks::reachingStoreIn(const std::string &failureDomain) const
{
    return candidatesWhere(
        [&](const Peer &it) { return it.reachesStore && it.failureDomain == failureDomain; });
}

std::vector<RelayCandidate> PeerLinks::liveCandidates() const
{
    return candidatesWhere([](const Peer &) { return true; });
}

std::vector<RelayCandidate> PeerLinks::relays() const
{
    return candidatesWhere([](const Peer &it) { return it.isRelay; });
}

std::optional<std::string> PeerLinks::aheadOf(std::int64_t revision) const
{
    return best([&](const Peer &it) { return it.revision > revision; },
                [](const Peer &it) { return it.reachesStore; });
}

std::optional<std::string> PeerLinks::contextFollower(const std::string &failed) const
{
    return best([](const Peer &it) { return it.followsContext; },
                [&](const Peer &it) { return it.replicaAddress != failed; });
}

// The live peer to read from among those that will do, by its address: preferred ones first, then
// those near this node, then by a hash that spreads the readers.
std::optional<std::string>
PeerLinks::best(const std::function<bool(const Peer &)> &willDo,
                const std::function<bool(const Peer &)> &isPreferred) const
{
    const std::uint64_t own = stableHash(m_self.name);
    std::optional<std::tuple<bool, bool, std::uint64_t>> most;
    std::optional<std::string> address;
    for (const auto &[name, peer] : m_peers) {
        if (!isLive(peer) || !willDo(peer))
            continue;
        const std::tuple rank(isPreferred(peer), peer.failureDomain == m_self.failureDomain,
                              rendezvousWeight(own, stableHash(name)));
        if (most && rank < *most)
            continue;
        most = rank;
        address = peer.replicaAddress;
    }
    return address;
}

} // namespace fordwood::node
