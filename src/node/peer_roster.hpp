// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_PEER_ROSTER_HPP_INCLUDED
#define FORDWOOD_NODE_PEER_ROSTER_HPP_INCLUDED

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/proxy_peers.hpp"
#include "fordwood/relay_role.hpp"
#include "fordwood/scheduler_ranking.hpp"
#include "node/net.hpp"
#include "node/peer_messages.hpp"

namespace fordwood::node {

// A peer whose copy of the platform's store is ahead of this node's.
struct PeerAhead
{
    std::string address; // of its replica
    StoreVersion version;
};

// The other nodes: which are known and live, and which of them to send each kind of message. A peer
// becomes known through its key in the platform's store or through its own messages; it counts as
// live while its messages arrive.
class PeerRoster
{
public:
    // A relay that sends nothing for this long is replaced: its sums are too old for choosing
    // engines.
    static constexpr Duration kRelayTimeout = std::chrono::seconds(1);

    struct Self
    {
        std::string name;
        std::string failureDomain;
        double strength = 0.0; // of its VM; see vmStrength()
    };

    struct Peer
    {
        std::optional<udp::endpoint> gossip;
        bool hasKey = false; // in the platform's store
        std::optional<TimePoint> lastReceived;
        std::string replicaAddress;
        StoreVersion version; // of its copy of the store
        std::string failureDomain; // empty: unknown
        double strength = 0.0; // of its VM; zero: unknown
        std::string placementAddress; // empty: it does not schedule engines
        std::string proxyAddress; // empty: it opens no connections for peers
        bool reachesStore = false;
        bool getsStoreChanges = false;
        bool isRelay = false;
        bool followsContext = false;
    };

    PeerRoster(const Clock &clock, Self self) : m_clock(clock), m_self(std::move(self)) { }

    // A node has written its address, or its key was removed. A live peer is kept without a key.
    void setAddress(const std::string &node, const PeerAddress &address);
    void removeAddress(const std::string &node);

    // Updates the peer that wrote the message. `from`: the source address, if it came directly.
    void update(const Gossip &message, const std::optional<udp::endpoint> &from);

    // Removes peers without a key that have sent nothing for a long time.
    void removeSilent();

    const Self &self() const { return m_self; }
    const std::map<std::string, Peer> &peers() const { return m_peers; }
    std::size_t size() const { return m_peers.size(); }

    // The peers that have a key in the platform's store. The list is the same on all nodes that
    // have read up to the same revision.
    std::vector<std::string> registeredPeers() const;

    // Those of them that may schedule engines.
    std::vector<SchedulerNode> registeredSchedulers() const;

    // Those of them that open connections to upstreams for others.
    std::vector<ProxyPeer> registeredProxies() const;
    bool isLive(const Peer &peer) const;
    bool isInOwnDomain(const Peer &peer) const
    {
        return peer.failureDomain == m_self.failureDomain;
    }

    // Names of the live peers.
    std::vector<std::string> livePeers() const;

    // Time of the peer's last message; nothing: none received.
    std::optional<TimePoint> lastReceivedFrom(const std::string &node) const;

    // The live peers that reach the platform's store.
    std::vector<std::string> peersReachingStore() const;

    // Whether a live peer reaches the platform's store or gets its changes from another peer.
    bool anyPeerGetsStoreChanges() const;

    // The live peers in this node's failure domain that reach the platform's store.
    std::vector<RelayCandidate> domainPeersReachingStore() const;

    // All live peers as relay candidates.
    std::vector<RelayCandidate> liveCandidates() const;

    // The live peers that are relays.
    std::vector<RelayCandidate> relays() const;

    // The live relays in this node's failure domain. A relay sends several times a second; one that
    // sends nothing for a second is replaced, earlier than other nodes count as gone.
    std::vector<const Peer *> domainRelays() const;
    std::vector<RelayCandidate> domainRelayCandidates() const;

    // What a node of a large fleet, where relays sum up loads, knows of its peers for its role.
    // `reachesStore`: whether the platform's store answers this node.
    RelayRole::Peers relayRolePeers(bool reachesStore) const;

    // The number of nodes in this failure domain, live or not, that rank before this one as relays.
    std::size_t countHigherRanked() const;

    // The other nodes of this failure domain whose address is known.
    std::vector<const Peer *> domainPeers() const;

    // The peers to which this node reports its load: the relays of its failure domain. If no relay
    // is live, two candidates per call in rank order, until a relay is found.
    std::vector<const Peer *> reportTargets();

    // The peers to which a relay sends the sums of its domain: one relay of each other failure
    // domain, round robin. For a domain without a live relay, two candidates per call.
    std::vector<const Peer *> otherDomainTargets();

    // The live peers whose copy of the store is ahead of the version, best first: those that reach
    // the store, then those in this node's failure domain.
    std::vector<PeerAhead> findPeersAheadOf(const StoreVersion &version) const;

    // The replica address of a live peer that follows the context stores. Avoids the address that
    // failed if there is another, and prefers peers in this node's failure domain.
    std::optional<std::string> chooseContextRelay(const std::string &failed) const;

private:
    std::vector<const Peer *> rankPeers(const std::function<bool(const Peer &)> &isEligible,
                                        const std::function<bool(const Peer &)> &isPreferred) const;
    std::vector<RelayCandidate>
    candidatesWhere(const std::function<bool(const Peer &)> &predicate) const;
    std::vector<std::string> liveWhere(const std::function<bool(const Peer &)> &predicate) const;
    void erase(const std::string &node);
    bool isLiveRelay(const Peer &peer) const;
    static std::vector<const Peer *>
    nextPair(std::vector<std::pair<std::string, const Peer *>> nodes, std::size_t round);

    const Clock &m_clock;
    const Self m_self;
    std::map<std::string, Peer> m_peers;
    std::set<std::string> m_withoutKey; // names of the peers without a key
    std::map<std::string, const Peer *> m_recent; // with recent messages; few in a large fleet
    mutable std::optional<std::size_t> m_higherRanked; // cached until the known nodes change
    std::size_t m_domainRound = 0; // of sums sent to other domains
    std::size_t m_relaySearchRound = 0; // of the search for a relay of this domain
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PEER_ROSTER_HPP_INCLUDED
