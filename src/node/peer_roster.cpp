// SPDX-License-Identifier: MIT
#include "node/peer_roster.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "fordwood/rendezvous.hpp"

namespace fordwood::node {

namespace {

// The time of about ten messages, so that lost datagrams do not make a peer appear dead.
constexpr Duration kLiveTimeout = std::chrono::seconds(2);

// A peer without a key in the store is removed if it sends nothing for this long.
constexpr Duration kForgetAfter = std::chrono::seconds(60);

} // namespace

void PeerRoster::setAddress(const std::string &node, const PeerAddress &address)
{
    if (node == m_self.name)
        return;
    m_higherRanked.reset();
    Peer &peer = m_peers[node];
    peer.gossip = parseEndpoint<udp>(address.gossip);
    peer.replicaAddress = address.replica;
    peer.failureDomain = address.failureDomain;
    if (address.strength > 0.0)
        peer.strength = address.strength;
    peer.placementAddress = address.placement;
    peer.proxyAddress = address.proxy;
    peer.hasKey = true;
    m_withoutKey.erase(node);
}

void PeerRoster::removeAddress(const std::string &node)
{
    const auto it = m_peers.find(node);
    if (it == m_peers.end())
        return;
    it->second.hasKey = false;
    m_withoutKey.insert(node);
    if (!isLive(it->second))
        erase(node);
}

std::vector<std::string> PeerRoster::registeredPeers() const
{
    std::vector<std::string> names;
    for (const auto &[name, peer] : m_peers) {
        if (peer.hasKey)
            names.push_back(name);
    }
    return names;
}

std::vector<SchedulerNode> PeerRoster::registeredSchedulers() const
{
    std::vector<SchedulerNode> nodes;
    for (const auto &[name, peer] : m_peers) {
        if (peer.hasKey && !peer.placementAddress.empty())
            nodes.push_back({name, peer.placementAddress, peer.strength, peer.failureDomain});
    }
    return nodes;
}

std::vector<ProxyPeer> PeerRoster::registeredProxies() const
{
    std::vector<ProxyPeer> nodes;
    for (const auto &[name, peer] : m_peers) {
        if (peer.hasKey && !peer.proxyAddress.empty())
            nodes.push_back({name, peer.proxyAddress, peer.failureDomain});
    }
    return nodes;
}

void PeerRoster::erase(const std::string &node)
{
    m_higherRanked.reset();
    m_recent.erase(node);
    m_withoutKey.erase(node);
    m_peers.erase(node);
}

void PeerRoster::update(const Gossip &message, const std::optional<udp::endpoint> &from)
{
    if (message.leaving) {
        erase(message.node);
        return;
    }
    Peer &peer = m_peers[message.node];
    if (!peer.hasKey)
        m_withoutKey.insert(message.node);
    if (peer.failureDomain != message.failureDomain || peer.strength != message.strength)
        m_higherRanked.reset();
    m_recent[message.node] = &peer;
    if (from)
        peer.gossip = *from;
    else if (!peer.gossip)
        peer.gossip = parseEndpoint<udp>(message.gossipAddress);
    peer.lastReceived = m_clock.now();
    peer.replicaAddress = message.replicaAddress;
    if (!message.failureDomain.empty())
        peer.failureDomain = message.failureDomain;
    peer.version = message.version;
    peer.reachesStore = message.storeReachable;
    peer.getsStoreChanges = message.getsStoreChanges;
    peer.strength = message.strength;
    peer.isRelay = message.isRelay;
    peer.followsContext = message.followsContext;
}

void PeerRoster::removeSilent()
{
    std::vector<std::string> forgotten;
    for (const std::string &it : m_withoutKey) {
        const Peer &peer = m_peers.at(it);
        if (!peer.lastReceived || m_clock.now() - *peer.lastReceived > kForgetAfter)
            forgotten.push_back(it);
    }
    for (const std::string &it : forgotten)
        erase(it);
    std::erase_if(m_recent, [this](const auto &it) { return !isLive(*it.second); });
}

bool PeerRoster::isLive(const Peer &peer) const
{
    return peer.lastReceived && m_clock.now() - *peer.lastReceived < kLiveTimeout;
}

bool PeerRoster::isLiveRelay(const Peer &peer) const
{
    return peer.isRelay && peer.lastReceived && m_clock.now() - *peer.lastReceived < kRelayTimeout;
}

std::vector<std::string>
PeerRoster::liveWhere(const std::function<bool(const Peer &)> &predicate) const
{
    std::vector<std::string> names;
    for (const auto &[name, peer] : m_recent) {
        if (isLive(*peer) && predicate(*peer))
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> PeerRoster::livePeers() const
{
    return liveWhere([](const Peer &) { return true; });
}

std::optional<TimePoint> PeerRoster::lastReceivedFrom(const std::string &node) const
{
    const auto it = m_peers.find(node);
    return it == m_peers.end() ? std::nullopt : it->second.lastReceived;
}

std::vector<std::string> PeerRoster::peersReachingStore() const
{
    return liveWhere([](const Peer &it) { return it.reachesStore; });
}

bool PeerRoster::anyPeerGetsStoreChanges() const
{
    return std::any_of(m_recent.begin(), m_recent.end(), [this](const auto &it) {
        const Peer &peer = *it.second;
        return isLive(peer) && (peer.reachesStore || peer.getsStoreChanges);
    });
}

std::vector<RelayCandidate>
PeerRoster::candidatesWhere(const std::function<bool(const Peer &)> &predicate) const
{
    std::vector<RelayCandidate> found;
    for (const std::string &it : liveWhere(predicate))
        found.push_back({it, m_peers.at(it).strength});
    return found;
}

std::vector<RelayCandidate> PeerRoster::domainPeersReachingStore() const
{
    return candidatesWhere([this](const Peer &it) { return it.reachesStore && isInOwnDomain(it); });
}

std::vector<RelayCandidate> PeerRoster::liveCandidates() const
{
    return candidatesWhere([](const Peer &) { return true; });
}

std::vector<RelayCandidate> PeerRoster::relays() const
{
    return candidatesWhere([](const Peer &it) { return it.isRelay; });
}

std::vector<RelayCandidate> PeerRoster::domainRelayCandidates() const
{
    return candidatesWhere([this](const Peer &it) { return isLiveRelay(it) && isInOwnDomain(it); });
}

std::vector<const PeerRoster::Peer *> PeerRoster::domainRelays() const
{
    std::vector<const Peer *> found;
    for (const auto &[name, peer] : m_recent) {
        if (isLiveRelay(*peer) && isInOwnDomain(*peer))
            found.push_back(peer);
    }
    return found;
}

RelayRole::Peers PeerRoster::relayRolePeers(bool reachesStore) const
{
    const auto ownRelays = domainRelays();
    const auto anyRelay = [&ownRelays](bool Peer::*holds) {
        return std::any_of(ownRelays.begin(), ownRelays.end(),
                           [holds](const Peer *it) { return it->*holds; });
    };
    RelayRole::Peers peers;
    peers.relays = relays();
    // Counts the known nodes, since a node that has just started has received no message yet.
    peers.liveNodes = size() + 1;
    peers.relaysReachingStore = domainRelayCandidates();
    peers.higherRanked = countHigherRanked();
    peers.relayReachesStore = anyRelay(&Peer::reachesStore);
    peers.relayGetsStoreChanges = anyRelay(&Peer::getsStoreChanges);
    peers.reachesStore = reachesStore;
    return peers;
}

std::size_t PeerRoster::countHigherRanked() const
{
    if (m_higherRanked)
        return *m_higherRanked;
    std::vector<RelayCandidate> others;
    for (const auto &[name, peer] : m_peers) {
        if (isInOwnDomain(peer))
            others.push_back({name, peer.strength});
    }
    m_higherRanked = strengthRank("relay", {m_self.name, m_self.strength}, others);
    return *m_higherRanked;
}

std::vector<const PeerRoster::Peer *> PeerRoster::domainPeers() const
{
    std::vector<const Peer *> found;
    for (const auto &[name, peer] : m_peers) {
        if (isInOwnDomain(peer) && peer.gossip)
            found.push_back(&peer);
    }
    return found;
}

// Returns two of the nodes, the next two in each round, in the order in which they become relays.
std::vector<const PeerRoster::Peer *>
PeerRoster::nextPair(std::vector<std::pair<std::string, const Peer *>> nodes, std::size_t round)
{
    constexpr std::size_t kPairSize = 2; // the number of relays per failure domain
    const auto order = [key = stableHash("relay")](const auto &it) {
        return std::pair(it.second->strength, rendezvousWeight(key, stableHash(it.first)));
    };
    std::sort(nodes.begin(), nodes.end(),
              [&](const auto &a, const auto &b) { return order(a) > order(b); });
    std::vector<const Peer *> found;
    for (std::size_t n = 0; n < std::min(kPairSize, nodes.size()); ++n)
        found.push_back(nodes[(kPairSize * round + n) % nodes.size()].second);
    return found;
}

std::vector<const PeerRoster::Peer *> PeerRoster::reportTargets()
{
    std::vector<const Peer *> relays = domainRelays();
    if (!relays.empty()) {
        m_relaySearchRound = 0;
        return relays;
    }
    std::vector<std::pair<std::string, const Peer *>> candidates;
    for (const auto &[name, peer] : m_peers) {
        if (isInOwnDomain(peer) && peer.gossip)
            candidates.emplace_back(name, &peer);
    }
    return nextPair(std::move(candidates), m_relaySearchRound++);
}

std::vector<const PeerRoster::Peer *> PeerRoster::otherDomainTargets()
{
    struct Domain
    {
        std::vector<const Peer *> relays;
        std::vector<std::pair<std::string, const Peer *>> all;
    };
    std::map<std::string, Domain> domains;
    for (const auto &[name, peer] : m_peers) {
        if (isInOwnDomain(peer) || !peer.gossip)
            continue;
        Domain &domain = domains[peer.failureDomain];
        domain.all.emplace_back(name, &peer);
        if (isLiveRelay(peer))
            domain.relays.push_back(&peer);
    }
    std::vector<const Peer *> found;
    for (auto &[name, domain] : domains) {
        if (!domain.relays.empty()) {
            found.push_back(domain.relays[m_domainRound % domain.relays.size()]);
            continue;
        }
        for (const Peer *it : nextPair(std::move(domain.all), m_domainRound))
            found.push_back(it);
    }
    m_domainRound += 1;
    return found;
}

std::vector<PeerAhead> PeerRoster::findPeersAheadOf(const StoreVersion &version) const
{
    std::vector<PeerAhead> ahead;
    for (const Peer *it : rankPeers([&](const Peer &peer) { return peer.version > version; },
                                    [](const Peer &peer) { return peer.reachesStore; }))
        ahead.push_back({it->replicaAddress, it->version});
    return ahead;
}

std::optional<std::string> PeerRoster::chooseContextRelay(const std::string &failed) const
{
    const auto ranked = rankPeers([](const Peer &it) { return it.followsContext; },
                                  [&](const Peer &it) { return it.replicaAddress != failed; });
    return ranked.empty() ? std::nullopt : std::optional(ranked.front()->replicaAddress);
}

// Returns the eligible live peers: preferred ones first, then those in this node's failure domain,
// then by a hash that distributes the readers over the peers.
std::vector<const PeerRoster::Peer *>
PeerRoster::rankPeers(const std::function<bool(const Peer &)> &isEligible,
                      const std::function<bool(const Peer &)> &isPreferred) const
{
    const std::uint64_t own = stableHash(m_self.name);
    std::vector<std::pair<std::tuple<bool, bool, std::uint64_t>, const Peer *>> ranked;
    for (const auto &[name, peer] : m_recent) {
        if (isLive(*peer) && isEligible(*peer))
            ranked.push_back({{isPreferred(*peer), isInOwnDomain(*peer),
                               rendezvousWeight(own, stableHash(name))},
                              peer});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<const Peer *> peers;
    peers.reserve(ranked.size());
    for (const auto &[rank, peer] : ranked)
        peers.push_back(peer);
    return peers;
}

} // namespace fordwood::node
