// SPDX-License-Identifier: MIT
#include "node/peer_roster.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "fordwood/rendezvous.hpp"

namespace fordwood::node {

namespace {

// Some ten messages long, so that lost datagrams do not make a peer seem gone.
constexpr Duration kLiveFor = std::chrono::seconds(2);

// A relay that does not speak for so long is replaced: what it told is too old to choose engines
// by.
constexpr Duration kRelaySilence = std::chrono::seconds(1);

// A peer without a key in the store is forgotten after this silence.
constexpr Duration kRememberFor = std::chrono::seconds(60);

} // namespace

void PeerRoster::setAddress(const std::string &node, const PeerAddress &address)
{
    if (node == m_self.name)
        return;
    m_knownBefore.reset();
    Peer &peer = m_peers[node];
    peer.gossip = parseEndpoint<udp>(address.gossip);
    peer.replicaAddress = address.replica;
    peer.failureDomain = address.failureDomain;
    if (address.strength > 0.0)
        peer.strength = address.strength;
    peer.hasKey = true;
}

void PeerRoster::removeAddress(const std::string &node)
{
    const auto it = m_peers.find(node);
    if (it == m_peers.end())
        return;
    it->second.hasKey = false;
    if (!isLive(it->second))
        erase(node);
}

std::vector<std::string> PeerRoster::withKey() const
{
    std::vector<std::string> names;
    for (const auto &[name, peer] : m_peers) {
        if (peer.hasKey)
            names.push_back(name);
    }
    return names;
}

void PeerRoster::erase(const std::string &node)
{
    m_knownBefore.reset();
    m_heard.erase(node);
    m_peers.erase(node);
}

void PeerRoster::heard(const Gossip &message, const std::optional<udp::endpoint> &from)
{
    if (message.leaving) {
        erase(message.node);
        return;
    }
    Peer &peer = m_peers[message.node];
    if (peer.failureDomain != message.failureDomain || peer.strength != message.strength)
        m_knownBefore.reset();
    m_heard[message.node] = &peer;
    if (from)
        peer.gossip = *from;
    else if (!peer.gossip)
        peer.gossip = parseEndpoint<udp>(message.gossipAddress);
    peer.heard = m_clock.now();
    peer.replicaAddress = message.replicaAddress;
    if (!message.failureDomain.empty())
        peer.failureDomain = message.failureDomain;
    peer.version = message.version;
    peer.reachesStore = message.storeReachable;
    peer.hearsStore = message.hearsStore;
    peer.strength = message.strength;
    peer.isRelay = message.isRelay;
    peer.followsContext = message.followsContext;
}

void PeerRoster::forgetSilent()
{
    std::vector<std::string> forgotten;
    for (const auto &[name, peer] : m_peers) {
        if (!peer.hasKey && (!peer.heard || m_clock.now() - *peer.heard > kRememberFor))
            forgotten.push_back(name);
    }
    for (const std::string &it : forgotten)
        erase(it);
    std::erase_if(m_heard, [this](const auto &it) { return !isLive(*it.second); });
}

bool PeerRoster::isLive(const Peer &peer) const
{
    return peer.heard && m_clock.now() - *peer.heard < kLiveFor;
}

bool PeerRoster::isLiveRelay(const Peer &peer) const
{
    return peer.isRelay && peer.heard && m_clock.now() - *peer.heard < kRelaySilence;
}

std::vector<std::string> PeerRoster::liveWhere(const std::function<bool(const Peer &)> &holds) const
{
    std::vector<std::string> names;
    for (const auto &[name, peer] : m_heard) {
        if (isLive(*peer) && holds(*peer))
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> PeerRoster::live() const
{
    return liveWhere([](const Peer &) { return true; });
}

std::optional<TimePoint> PeerRoster::lastHeard(const std::string &node) const
{
    const auto it = m_peers.find(node);
    return it == m_peers.end() ? std::nullopt : it->second.heard;
}

std::vector<std::string> PeerRoster::reachingStore() const
{
    return liveWhere([](const Peer &it) { return it.reachesStore; });
}

bool PeerRoster::hearsStore() const
{
    return std::any_of(m_heard.begin(), m_heard.end(), [this](const auto &it) {
        const Peer &peer = *it.second;
        return isLive(peer) && (peer.reachesStore || peer.hearsStore);
    });
}

std::vector<RelayCandidate>
PeerRoster::candidatesWhere(const std::function<bool(const Peer &)> &holds) const
{
    std::vector<RelayCandidate> found;
    for (const std::string &it : liveWhere(holds))
        found.push_back({it, m_peers.at(it).strength});
    return found;
}

std::vector<RelayCandidate> PeerRoster::reachingStoreNear() const
{
    return candidatesWhere([this](const Peer &it) { return it.reachesStore && isNear(it); });
}

std::vector<RelayCandidate> PeerRoster::liveCandidates() const
{
    return candidatesWhere([](const Peer &) { return true; });
}

std::vector<RelayCandidate> PeerRoster::relays() const
{
    return candidatesWhere([](const Peer &it) { return it.isRelay; });
}

std::vector<RelayCandidate> PeerRoster::relayCandidatesNear() const
{
    return candidatesWhere([this](const Peer &it) { return isLiveRelay(it) && isNear(it); });
}

std::vector<const PeerRoster::Peer *> PeerRoster::relaysNear() const
{
    std::vector<const Peer *> found;
    for (const auto &[name, peer] : m_heard) {
        if (isLiveRelay(*peer) && isNear(*peer))
            found.push_back(peer);
    }
    return found;
}

std::size_t PeerRoster::knownBefore() const
{
    if (m_knownBefore)
        return *m_knownBefore;
    std::vector<RelayCandidate> others;
    for (const auto &[name, peer] : m_peers) {
        if (isNear(peer))
            others.push_back({name, peer.strength});
    }
    m_knownBefore = strengthRank("relay", {m_self.name, m_self.strength}, others);
    return *m_knownBefore;
}

std::vector<const PeerRoster::Peer *> PeerRoster::near() const
{
    std::vector<const Peer *> found;
    for (const auto &[name, peer] : m_peers) {
        if (isNear(peer) && peer.gossip)
            found.push_back(&peer);
    }
    return found;
}

// Two of the nodes, the next two with each turn, in the order in which they become relays.
std::vector<const PeerRoster::Peer *>
PeerRoster::inTurn(std::vector<std::pair<std::string, const Peer *>> nodes, std::size_t turn)
{
    constexpr std::size_t kAtOnce = 2; // as many as there are relays
    const auto order = [key = stableHash("relay")](const auto &it) {
        return std::pair(it.second->strength, rendezvousWeight(key, stableHash(it.first)));
    };
    std::sort(nodes.begin(), nodes.end(),
              [&](const auto &a, const auto &b) { return order(a) > order(b); });
    std::vector<const Peer *> found;
    for (std::size_t n = 0; n < std::min(kAtOnce, nodes.size()); ++n)
        found.push_back(nodes[(kAtOnce * turn + n) % nodes.size()].second);
    return found;
}

std::vector<const PeerRoster::Peer *> PeerRoster::relaysToTell()
{
    std::vector<const Peer *> relays = relaysNear();
    if (!relays.empty()) {
        m_search = 0;
        return relays;
    }
    std::vector<std::pair<std::string, const Peer *>> candidates;
    for (const auto &[name, peer] : m_peers) {
        if (isNear(peer) && peer.gossip)
            candidates.emplace_back(name, &peer);
    }
    return inTurn(std::move(candidates), m_search++);
}

std::vector<const PeerRoster::Peer *> PeerRoster::oneOfEachOtherDomain()
{
    struct Domain
    {
        std::vector<const Peer *> relays;
        std::vector<std::pair<std::string, const Peer *>> all;
    };
    std::map<std::string, Domain> domains;
    for (const auto &[name, peer] : m_peers) {
        if (isNear(peer) || !peer.gossip)
            continue;
        Domain &domain = domains[peer.failureDomain];
        domain.all.emplace_back(name, &peer);
        if (isLiveRelay(peer))
            domain.relays.push_back(&peer);
    }
    std::vector<const Peer *> found;
    for (auto &[name, domain] : domains) {
        if (!domain.relays.empty()) {
            found.push_back(domain.relays[m_turn % domain.relays.size()]);
            continue;
        }
        for (const Peer *it : inTurn(std::move(domain.all), m_turn))
            found.push_back(it);
    }
    m_turn += 1;
    return found;
}

std::optional<std::string> PeerRoster::aheadOf(const StoreVersion &version) const
{
    return best([&](const Peer &it) { return it.version > version; },
                [](const Peer &it) { return it.reachesStore; });
}

std::optional<std::string> PeerRoster::contextFollower(const std::string &failed) const
{
    return best([](const Peer &it) { return it.followsContext; },
                [&](const Peer &it) { return it.replicaAddress != failed; });
}

// The live peer to read from among those that will do, by its address: preferred ones first, then
// those near this node, then by a hash that spreads the readers.
std::optional<std::string>
PeerRoster::best(const std::function<bool(const Peer &)> &willDo,
                 const std::function<bool(const Peer &)> &isPreferred) const
{
    const std::uint64_t own = stableHash(m_self.name);
    std::optional<std::tuple<bool, bool, std::uint64_t>> most;
    std::optional<std::string> address;
    for (const auto &[name, peer] : m_heard) {
        if (!isLive(*peer) || !willDo(*peer))
            continue;
        const std::tuple rank(isPreferred(*peer), isNear(*peer),
                              rendezvousWeight(own, stableHash(name)));
        if (most && rank < *most)
            continue;
        most = rank;
        address = peer->replicaAddress;
    }
    return address;
}

} // namespace fordwood::node
